#ifndef GWROUTED_ROUTER_H
#define GWROUTED_ROUTER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "admin.h"
#include "config.h"
#include "fleet.h"
#include "gw/runtime.h"
#include "http/httpd.h"
#include "hold.h"
#include "instance.h"
#include "metrics.h"
#include "pool.h"
#include "request.h"
#include "settings.h"
#include "spill.h"
#include "view.h"

/* State of the router process, shared by its modules. */
struct router {
	gw_rt_t *rt;
	const settings_t *settings;
	uint64_t boot_id;
	uint64_t next_attempt_number;
	GRand *rand;
	config_t config;
	view_t view;
	member_router_contact_t contact;
	GHashTable *pools;	 /* name -> pool_t; entries stay */
	GQueue slot_holds;	 /* slot_hold_t */
	GQueue requests;	 /* request_t, all that have not ended */
	uint32_t open_responses; /* responses not yet sent completely */
	metrics_t metrics;
	fleet_t *fleet;
	spill_t *spill;
	gw_httpd_t *caller_httpd;
	gw_addr_t caller_addr;
	admin_t *admin;
	gw_timer_t tick;
	bool draining;
	bool drained; /* the process is about to exit; it takes no requests */
};

router_t *router_new(gw_rt_t *, const settings_t *);
int router_listen(router_t *, gw_err_t *);
void router_free(router_t *);
pool_t *router_get_pool(router_t *, const char *name);
void router_refresh(router_t *);
void router_manifest_changed(router_t *);
void router_attempt_ended(router_t *, instance_t *, bool was_time_bound);
void router_count_outcome(router_t *, router_outcome_t);
void router_count_reason(router_t *, reason_t);
bool router_is_ready(const router_t *);

#endif
