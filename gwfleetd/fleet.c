#include <string.h>

#include "fleet_state.h"
#include "grants.h"
#include "jobs.h"
#include "planner.h"
#include "placement.h"
#include "reboot.h"
#include "router.h"
#include "session.h"
#include "status.h"
#include "table.h"
#include "wave.h"

static void
add_metrics(fleet_metrics_t *m, gw_metrics_t *set)
{
	const gw_metric_kind_t counter = GW_METRIC_COUNTER;
	const gw_metric_kind_t gauge = GW_METRIC_GAUGE;

	m->store_reads = gw_metrics_add(set, counter,
	    "gwfleetd_store_reads_total", "", "reads sent to the store");
	m->store_writes =
	    gw_metrics_add(set, counter, "gwfleetd_store_writes_total", "",
		"writes and lease calls sent to the store");
	m->store_errors =
	    gw_metrics_add(set, counter, "gwfleetd_store_errors_total", "",
		"store calls without a usable answer");
	m->elections = gw_metrics_add(
	    set, counter, "gwfleetd_elections_total", "", "elections won");
	m->step_downs = gw_metrics_add(
	    set, counter, "gwfleetd_step_downs_total", "", "terms ended");
	m->views_full = gw_metrics_add(set, counter, "gwfleetd_views_total",
	    "kind=\"full\"", "views sent to routers");
	m->views_delta = gw_metrics_add(set, counter, "gwfleetd_views_total",
	    "kind=\"delta\"", "views sent to routers");
	m->contacts = gw_metrics_add(
	    set, counter, "gwfleetd_contacts_total", "", "heartbeats answered");
	m->contacts_refused =
	    gw_metrics_add(set, counter, "gwfleetd_contacts_refused_total", "",
		"heartbeats not answered because the lease may have ended");
	m->decisions = gw_metrics_add(set, counter, "gwfleetd_decisions_total",
	    "", "placement decisions");
	m->generation = gw_metrics_add(set, gauge, "gwfleetd_generation", "",
	    "manifest generation in force here");
	m->table_version = gw_metrics_add(set, gauge, "gwfleetd_table_version",
	    "", "version of the instance table held");
	m->is_planner = gw_metrics_add(
	    set, gauge, "gwfleetd_planner", "", "1 on the planner");
	m->round_us = gw_metrics_add_histogram(set, "gwfleetd_tick_us", "",
	    "time of one tick's work in microseconds");
}

static void
add_records(fleet_t *fleet)
{
	char key[160];

	(void)g_snprintf(
	    key, sizeof(key), "/gw/dc/%s/table", fleet->config.data_centre);
	record_init(&fleet->table_record, &table_ops, key);
	(void)g_snprintf(
	    key, sizeof(key), "/gw/dc/%s/status", fleet->config.data_centre);
	record_init(&fleet->status_record, &status_ops, key);
	(void)g_snprintf(
	    key, sizeof(key), "/gw/dc/%s/waves", fleet->config.data_centre);
	record_init(&fleet->waves_record, &waves_ops, key);
}

/*
 * Returns a follower that knows nothing yet. ops and ctx must outlive it.
 */
fleet_t *
fleet_new(const fleet_config_t *config, const fleet_ops_t *ops, void *ctx,
    const gw_clock_t *clock, gw_metrics_t *metrics)
{
	fleet_t *fleet;

	fleet = g_new0(fleet_t, 1);
	fleet->config = *config;
	fleet->ops = ops;
	fleet->ctx = ctx;
	fleet->clock = clock;
	add_metrics(&fleet->metrics, metrics);
	calls_init(&fleet->calls);
	decisions_init(&fleet->decisions);
	election_init(&fleet->election, config, fleet_now_us(fleet));
	generation_init(&fleet->generation);
	fleetwide_init(&fleet->fleetwide);
	add_records(fleet);
	fleet->waves = g_ptr_array_new_with_free_func(wave_free);
	fleet->routers = g_ptr_array_new_with_free_func(router_free);
	fleet->sessions = g_ptr_array_new_with_free_func(session_free);
	fleet->grants = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, instance_grants_free);
	fleet->list = g_ptr_array_new_with_free_func(g_free);
	fleet->reboots =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->ended =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (config->policy != NULL)
		fleet->lending = config->policy->lending_new();
	return fleet;
}

/*
 * Frees the state machine. Answers that come later must not reach it.
 */
void
fleet_free(fleet_t *fleet)
{
	if (fleet == NULL)
		return;
	if (fleet->lending != NULL)
		fleet->config.policy->lending_free(fleet->lending);
	jobs_free(fleet->jobs);
	member_table_free(fleet->table);
	member_table_free(fleet->draft);
	g_free(fleet->table_text);
	record_clear(&fleet->table_record);
	record_clear(&fleet->status_record);
	record_clear(&fleet->waves_record);
	generation_clear(&fleet->generation);
	fleetwide_clear(&fleet->fleetwide);
	election_clear(&fleet->election);
	decisions_clear(&fleet->decisions);
	calls_clear(&fleet->calls);
	g_ptr_array_free(fleet->waves, TRUE);
	g_ptr_array_free(fleet->routers, TRUE);
	g_ptr_array_free(fleet->sessions, TRUE);
	g_ptr_array_free(fleet->list, TRUE);
	g_hash_table_destroy(fleet->grants);
	g_hash_table_destroy(fleet->reboots);
	g_hash_table_destroy(fleet->ended);
	g_free(fleet);
}

/*
 * Returns the time of the clock that the state machine was given.
 */
uint64_t
fleet_now_us(const fleet_t *fleet)
{
	return gw_clock_now_us(fleet->clock);
}

/*
 * Tells whether routers can be served: a table and a manifest are known.
 */
bool
fleet_ready(const fleet_t *fleet)
{
	return !fleet->stopping && fleet->table != NULL &&
	    generation_held(fleet) != 0;
}

/*
 * Tells whether this process is the planner and its table is claimed.
 */
bool
fleet_is_planner(const fleet_t *fleet)
{
	return fleet->claimed && election_held(fleet);
}

/*
 * Returns the manifest generation in force here.
 */
uint64_t
fleet_generation(const fleet_t *fleet)
{
	return generation_held(fleet);
}

/*
 * Returns the table held, or NULL.
 */
const member_table_t *
fleet_table(const fleet_t *fleet)
{
	return fleet->table;
}

static void
on_tick(fleet_t *fleet)
{
	uint64_t begin_us = fleet_now_us(fleet);

	election_tick(fleet);
	generation_tick(fleet);
	if (election_held(fleet))
		planner_tick(fleet);
	gw_histogram_record(
	    fleet->metrics.round_us, fleet_now_us(fleet) - begin_us);
}

static void
on_shutdown(fleet_t *fleet)
{
	fleet->stopping = true;
	election_step_down(fleet, "shutdown");
}

/*
 * Hands a message to the part that it concerns.
 */
static void
dispatch(fleet_t *fleet, const fleet_msg_t *msg)
{
	switch (msg->kind) {
	case FLEET_TICK:
		on_tick(fleet);
		break;
	case FLEET_STORE_READ:
	case FLEET_STORE_PUT:
	case FLEET_STORE_LEASE:
		calls_dispatch(&fleet->calls, fleet, msg);
		break;
	case FLEET_WATCH_VALUE:
	case FLEET_WATCH_END:
		generation_on_watch(fleet, msg);
		break;
	case FLEET_LIST:
		placement_take_list(fleet, msg);
		if (fleet->claimed)
			planner_tick(fleet);
		break;
	case FLEET_REBOOTED:
		break;
	case FLEET_CHECKED:
		if (fleet->claimed)
			reboot_checked(fleet, msg);
		break;
	case FLEET_LINK_OPEN:
		session_open(fleet, msg);
		break;
	case FLEET_LINK_MESSAGE:
		session_message(fleet, msg);
		break;
	case FLEET_LINK_CLOSED:
		session_closed(fleet, msg);
		break;
	case FLEET_WAVE:
		wave_command(fleet, msg);
		break;
	case FLEET_JOB:
		jobs_handle(fleet, msg);
		break;
	case FLEET_SHUTDOWN:
		on_shutdown(fleet);
		break;
	}
}

/*
 * Handles one message. A planner whose lease has ended meanwhile, perhaps
 * because the process was paused, steps down before it looks at the message.
 */
void
fleet_handle(fleet_t *fleet, const fleet_msg_t *msg)
{
	if (fleet->election.phase == ELECTION_HELD && !election_held(fleet))
		election_step_down(fleet, "the lease has ended");
	dispatch(fleet, msg);
}
