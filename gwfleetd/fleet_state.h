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
	gw_histogram_t *tick_us;
} fleet_metrics_t;

/*
 * The state machine's whole state; see fleet.h. Times are of the injected
 * clock; 0 is "not yet".
 */
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

	/* The table: on the planner its own, else the last one received. */
	record_t table_record;
	member_table_t *table; /* NULL: none known */
	member_table_t *draft; /* the version being written; or NULL */
	bool table_dirty; /* draft a version without waiting for the round */
	bool claimed;	  /* the stored table has this planner's epoch */
	char *table_text; /* the encoded table, for PeerState */

	generation_t generation;
	fleetwide_t fleetwide;
	record_t status_record;
	uint64_t status_sent_us;
	uint64_t status_generation; /* in the last status written */
	bool status_read;	    /* the stored status was read this term */

	record_t waves_record;
	GPtrArray *waves;   /* plan_wave_t */
	bool waves_loaded;  /* read from the store in this term */
	bool waves_changed; /* must be written to the store */
	void *wave_request; /* answered when the waves are written; or NULL */

	GPtrArray *routers;  /* router_t; its first member is the contact */
	GPtrArray *sessions; /* session_t */
	GHashTable *grants;  /* instance id -> instance_grants_t */
	GHashTable *ended_router_keys; /* of processes that have ended */
	uint64_t view_sequence; /* last number used, over all connections */
	uint64_t grants_divided_us;
	bool grants_dirty; /* demand, an Ack or the table changed */
	/* Routers may hold grants of a previous planner unreported. */
	bool grants_inherited;

	/* What a follower knows of the planner, from PeerState messages. */
	char planner_id[GW_NAME_BYTES];
	uint64_t planner_epoch;
	uint64_t planner_seen_us;
	uint64_t peers_notified_us;

	/* The platform. */
	GPtrArray *list;     /* platform_instance_t of the newest list */
	uint64_t list_as_of; /* the platform's time of that list */
	uint64_t list_requested_us;
	uint64_t list_received_us;
	bool list_pending;   /* the last request is unanswered */
	GHashTable *reboots; /* instance id -> reboot_t */

	struct jobs *jobs; /* NULL: no jobs are placed */

	plan_lending_t *lending;
	uint64_t round_began_us; /* when the last round began */
};

uint64_t fleet_now_us(const fleet_t *);

#endif
