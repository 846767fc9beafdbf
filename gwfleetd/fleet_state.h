#ifndef FLEET_STATE_H
#define FLEET_STATE_H

#include "calls.h"
#include "decision.h"
#include "election.h"
#include "fleet.h"
#include "fleetwide.h"
#include "generation.h"
#include "record.h"

/* Counters and gauges of /metrics. */
typedef struct {
	gw_metric_t *store_reads;
	gw_metric_t *store_writes;
	gw_metric_t *store_errors;
	gw_metric_t *elections;
	gw_metric_t *step_downs;
	gw_metric_t *views_full;
	gw_metric_t *views_delta;
	gw_metric_t *contacts;
	gw_metric_t *contacts_refused;
	gw_metric_t *decisions;
	gw_metric_t *generation;
	gw_metric_t *table_version;
	gw_metric_t *is_planner;
	gw_histogram_t *round_us;
} fleet_metrics_t;

/* The state machine's whole state; see fleet.h. */
struct fleet {
	fleet_config_t config;
	const fleet_ops_t *ops;
	void *ctx;
	const gw_clock_t *clock;
	fleet_metrics_t metrics;
	calls_t calls;
	decisions_t decisions;
	bool stopping;

	election_t election;

	/* The table: this planner's, or the last that a planner sent. */
	record_t table_record;
	member_table_t *table; /* NULL: none known */
	member_table_t *draft; /* being written */
	bool dirty;   /* the table may have to change before the next round */
	bool claimed; /* the table carries this planner's epoch */
	char *table_text; /* as in the store, for PeerState */

	generation_t generation;
	fleetwide_t fleetwide;
	record_t status_record;
	uint64_t status_sent_us;
	uint64_t status_generation; /* in the last status written */
	bool status_read;

	record_t waves_record;
	GPtrArray *waves; /* plan_wave_t */
	bool waves_loaded;
	bool waves_changed;
	void *wave_request; /* waits for the waves to be written */

	GPtrArray *routers;  /* router_t; its first member is the contact */
	GPtrArray *sessions; /* session_t */
	GHashTable *grants;  /* instance id -> instance_grants_t */
	GHashTable *ended;   /* keys of routers whose end is known */
	uint64_t view_sequence;
	uint64_t grants_divided_us;
	bool grants_dirty; /* demand, an Ack or the table changed */
	bool inherited;	   /* grants of an earlier planner may be unreported */

	/* The follower's view of the planner. */
	char planner_id[GW_NAME_BYTES];
	uint64_t planner_epoch;
	uint64_t planner_seen_us;
	uint64_t peers_told_us;

	/* The platform. */
	GPtrArray *list; /* platform_instance_t of the last list */
	uint64_t list_as_of;
	uint64_t list_asked_us;
	uint64_t list_taken_us;
	bool list_waits;
	GHashTable *reboots; /* instance id -> reboot_t */

	struct jobs *jobs; /* NULL: no jobs are placed */

	plan_lending_t *lending;
	uint64_t round_us; /* when the last round began */
};

uint64_t fleet_now_us(const fleet_t *);

#endif
