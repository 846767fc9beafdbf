#ifndef GWCTL_CTL_H
#define GWCTL_CTL_H

#include <stdbool.h>

#include "gw/addr.h"
#include "gw/err.h"
#include "gw/runtime.h"
#include "manifest/manifest.h"
#include "store/store.h"

#define ROOT_KEY "/gw/manifest/root"

/* Exit statuses with a meaning of their own; gwctl.1 lists them. */
#define EXIT_DIFFERS 1
#define EXIT_NOT_EVERYWHERE EX_NOHOST
#define EXIT_OUTCOME_UNKNOWN EX_IOERR
#define EXIT_CONFLICT EX_TEMPFAIL

/* Options, and what the sub-commands share. */
typedef struct {
	gw_addr_t store_addr;
	gw_addr_t admin_addr;
	uint32_t timeout_ms;
	bool json;
	bool expect_set;
	uint64_t expect_generation;
	bool wait;
	uint32_t wait_timeout_s;
	char applied_by[MANIFEST_NAME_BYTES];
	gw_rt_t *rt;
	store_t *store;
} ctl_t;

/* A root record as read; root is NULL when the store has none. */
typedef struct {
	manifest_root_t *root;
	uint64_t mod_revision;
	uint64_t store_revision;
} held_root_t;

#endif
