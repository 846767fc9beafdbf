#ifndef GWROUTED_SETTINGS_H
#define GWROUTED_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "gw/addr.h"
#include "gw/err.h"
#include "policy/choice.h"
#include "policy/fairq.h"

/* Settings of the router; described in gwrouted(8). */
typedef struct {
	gw_addr_t listen;
	gw_addr_t admin;
	char *node_id;
	char *data_centre;
	GArray *fleet; /* gw_addr_t of the gwfleetd of the data centre */
	char *spill_text;
	GArray *spill; /* gw_addr_t of routers of other data centres */
	uint32_t queue_max;
	uint32_t body_max_bytes;
	uint32_t connections_max;
	uint32_t caller_idle_ms;
	uint32_t endpoint_idle_ms;
	uint32_t deadline_ms;
	uint32_t drain_delay_ms;
	uint32_t drain_linger_ms;
	uint32_t drain_max_ms;
	char *choice_text;
	char *queue_text;
	const choice_ops_t *choice;
	const fairq_ops_t *queue;
} settings_t;

int settings_load(settings_t *, int argc, char **argv, gw_err_t *);

#endif
