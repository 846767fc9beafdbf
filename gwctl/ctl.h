#ifndef GWCTL_CTL_H
#define GWCTL_CTL_H

#include <stdbool.h>

#include "gw/addr.h"
#include "gw/err.h"
#include "gw/runtime.h"
#include "manifest/manifest.h"
#include "store/store.h"

#define ROOT_KEY "/gw/manifest/root"

/* Names for the exit statuses that gwctl.1 gives a special meaning. */
#define EXIT_DIFFERS 1
#define EXIT_NOT_ANSWERED 1
#define EXIT_ENTRY_USAGE 2
#define EXIT_NOT_IN_FORCE EX_NOHOST
#define EXIT_OUTCOME_UNKNOWN EX_IOERR
#define EXIT_CONFLICT EX_TEMPFAIL

/* The options, and the state that the sub-commands share. */
typedef struct {
	gw_addr_t store_addr;
	gw_addr_t admin_addr;
	const char *entry_addresses; /* separated by commas; NULL: none */
	uint32_t timeout_ms;	     /* of one call */
	bool json;
	bool expect_set;
	uint64_t expect_generation; /* valid if expect_set; 0: no manifest */
	bool wait;
	uint32_t wait_timeout_s;
	char applied_by[MANIFEST_NAME_BYTES];
	gw_rt_t *rt;
	store_t *store;
} ctl_t;

/* The root record as read; root is NULL when the store has none. */
typedef struct {
	manifest_root_t *root;
	uint64_t mod_revision;	 /* of the record; 0 when there is none */
	uint64_t store_revision; /* of the whole store at the read */
} stored_root_t;

#endif
