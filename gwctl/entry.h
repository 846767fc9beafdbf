#ifndef GWCTL_ENTRY_H
#define GWCTL_ENTRY_H

#include <jansson.h>

#include "ctl.h"

/*
 * Requests to gwentryd processes, at the ports of their metrics. Each answers
 * for the shards that it owns and names the owners of the others.
 */

/* One process that was asked. */
typedef struct {
	char address[GW_ADDR_TEXT_BYTES];
	gw_addr_t addr;
	bool is_asked;
	bool is_done;
	json_t *body; /* NULL without a response in JSON */
	gw_err_t err; /* GW_OK with a response */
	int status;   /* 0 without a response */
} entry_process_t;

/*
 * Asks the processes of --address, and then the owners that they name, until
 * all are asked or is_enough() says so. Returns the processes, to be freed with
 * entry_free_all(). Exits the program without a valid --address.
 */
GPtrArray *entry_ask_all(
    ctl_t *, const char *path, bool (*is_enough)(const entry_process_t *));
void entry_free_all(GPtrArray *processes);
/* Returns a member of a JSON object that is a string, else "". */
const char *entry_text(const json_t *, const char *name);
/* Returns the process that answered under this address, or NULL. */
const entry_process_t *entry_find(
    const GPtrArray *processes, const char *owner);

#endif
