#ifndef GWENTRYD_INSPECT_H
#define GWENTRYD_INSPECT_H

#include <h2o.h>

#include "gw/addr.h"
#include "layout.h"
#include "owners.h"
#include "roles.h"
#include "stats.h"
#include "view.h"

/*
 * Operators' requests: what teams run, hold and wait for, and why a job waits.
 * A process knows that of the shards that it owns, and names the owners of the
 * others. Nothing can be changed, and no key is shown.
 */
typedef struct {
	const owners_t *owners;
	const roles_t *roles;
	const layout_t *layout;
	const view_t *view;
	const stats_t *stats;
	gw_addr_t peer; /* of this process, for other processes */
	gw_addr_t own;	/* of this process, for operators */
} inspect_t;

/*
 * Replies to GET /teams and GET /jobs/ID. Returns false, without a reply, for
 * any other path.
 */
bool inspect_reply(const inspect_t *, h2o_req_t *);
/* Appends the metrics of teams in the shards that this process owns. */
void inspect_append_metrics(const inspect_t *, GString *);

#endif
