#ifndef GW_SETTING_H
#define GW_SETTING_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "gw/addr.h"
#include "gw/err.h"

typedef enum {
	GW_SETTING_TEXT,  /* dest: char **, owned by the caller */
	GW_SETTING_U32,	  /* dest: uint32_t *, from min to max */
	GW_SETTING_ADDR,  /* dest: gw_addr_t *, IP:PORT */
	GW_SETTING_ADDRS, /* dest: GArray ** of gw_addr_t, comma-separated */
	GW_SETTING_FLAG	  /* dest: bool *; no argument */
} gw_setting_kind_t;

/*
 * One setting, read from --name VALUE on the command line, else from the
 * environment variable GW_NAME (upper case, '-' written as '_'), else from
 * initial, the default. A setting whose initial is NULL is mandatory.
 */
typedef struct {
	const char *name;
	gw_setting_kind_t kind;
	void *dest;
	const char *initial;
	const char *help;
	uint32_t min; /* min and max: inclusive, GW_SETTING_U32 only */
	uint32_t max;
} gw_setting_t;

int gw_settings_load(const gw_setting_t *, size_t count, int argc, char **argv,
    const char *doc, gw_err_t *);

#endif
