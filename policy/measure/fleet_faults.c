#include <string.h>

#include "fleet.h"

#define WAVE_AT_US (40 * GW_US_PER_S)
#define SECOND_WAVE_AT_US (50 * GW_US_PER_S)
#define RACK_AT_US (70 * GW_US_PER_S)
#define RACK_BACK_US (130 * GW_US_PER_S)
#define DC_AT_US (80 * GW_US_PER_S)
#define DC_BACK_US (120 * GW_US_PER_S)
#define BROKEN_AT_US (60 * GW_US_PER_S)
#define BROKEN_END_US (140 * GW_US_PER_S)
#define CANCEL_AFTER_US (80 * GW_US_PER_S)
#define CHANGE_AT_US (75 * GW_US_PER_S)
/* Time from one data centre to the next; at most 12 s for all of them. */
#define CHANGE_STEP_US (4 * GW_US_PER_S)
#define RUN_TIME_CHANGE_AT_US (60 * GW_US_PER_S)
#define BROKEN_PERCENT 30

static bool
now_at(const fleet_t *fleet, uint64_t at_us)
{
	return fleet->now_us == at_us;
}

static void
start_wave(fleet_t *fleet, uint32_t number)
{
	const char *name =
	    g_array_index(fleet->manifest->waves, manifest_wave_t, number).name;

	for (uint32_t d = 0; d < fleet->user->data_centres; d++)
		g_ptr_array_add(fleet->dcs[d].waves, fixture_progress(name));
}

static void
lose_or_return_domain(fleet_t *fleet, const char *prefix, bool back)
{
	for (uint32_t i = 0; i < fleet->hosts->len; i++) {
		host_t *host = fleet->hosts->pdata[i];
		member_instance_t *inst = host->inst;

		if (!g_str_has_prefix(inst->failure_domain, prefix))
			continue;
		if (!back) {
			fleet_lose_host(fleet, host);
			continue;
		}
		host->lost = false;
		host->ready_us = fleet->now_us + JOIN_US;
		inst->state = MEMBER_JOINING;
		inst->purpose = MEMBER_PURPOSE_NONE;
		inst->target_pool[0] = '\0';
	}
}

/*
 * Drops the queued requests of a lost data centre. Its routers are lost too, so
 * callers see broken connections and the outcomes count as unknown.
 */
static void
drop_queued(fleet_t *fleet, dc_t *dc)
{
	for (uint32_t p = 0; p < USER_SERVICES; p++) {
		site_t *site = &dc->sites[p];
		GList *link;

		while ((link = g_queue_pop_head_link(&site->queued)) != NULL) {
			request_t *request = link->data;

			fairq_remove(site->q, &request->item);
			fleet->result->unknown++;
			g_free(request);
		}
	}
}

static void
set_broken(fleet_t *fleet, bool broken)
{
	for (uint32_t i = 0; i < fleet->hosts->len; i++) {
		host_t *host = fleet->hosts->pdata[i];
		host->broken = broken &&
		    g_rand_int_range(fleet->rand, 0, 100) < BROKEN_PERCENT;
	}
}

/*
 * Cancels nine tenths of the queued requests of one pool at once. Counts a loss
 * when the queue does not hold exactly the others after that.
 */
static void
cancel_queued(fleet_t *fleet, uint32_t pool)
{
	for (uint32_t d = 0; d < fleet->user->data_centres; d++) {
		site_t *site = &fleet->dcs[d].sites[pool];
		uint32_t keep = site->queued.length / 10;

		while (site->queued.length > keep) {
			GList *link = g_queue_pop_tail_link(&site->queued);
			request_t *request = link->data;

			fairq_remove(site->q, &request->item);
			fleet->result->cancelled++;
			g_free(request);
		}
		if (fairq_length(site->q) != keep)
			fleet->result->losses++;
	}
}

static void
adopt_generation(fleet_t *fleet)
{
	for (uint32_t d = 0; d < fleet->user->data_centres; d++)
		if (now_at(fleet, CHANGE_AT_US + d * CHANGE_STEP_US))
			fleet->dcs[d].uses_next = true;
}

static void
lose_or_return_dc(fleet_t *fleet)
{
	dc_t *dc = &fleet->dcs[1];

	if (now_at(fleet, DC_AT_US)) {
		dc->alive = false;
		lose_or_return_domain(fleet, "dc1-", false);
		drop_queued(fleet, dc);
	}
	if (now_at(fleet, DC_BACK_US)) {
		dc->alive = true;
		lose_or_return_domain(fleet, "dc1-", true);
	}
}

/*
 * Starts and ends the faults of the scenario at their times.
 */
void
fleet_faults(fleet_t *fleet)
{
	const scenario_t *s = fleet->scenario;

	if (s->waves > 0 && now_at(fleet, WAVE_AT_US))
		start_wave(fleet, 0);
	if (s->waves > 1 && now_at(fleet, SECOND_WAVE_AT_US))
		start_wave(fleet, 1);
	if (s->rack_loss && now_at(fleet, RACK_AT_US))
		lose_or_return_domain(fleet, "dc0-r1", false);
	if (s->rack_loss && now_at(fleet, RACK_BACK_US))
		lose_or_return_domain(fleet, "dc0-r1", true);
	if (s->dc_loss)
		lose_or_return_dc(fleet);
	if (s->broken && now_at(fleet, BROKEN_AT_US))
		set_broken(fleet, true);
	if (s->broken && now_at(fleet, BROKEN_END_US))
		set_broken(fleet, false);
	if (s->cancel && fleet->now_us > CANCEL_AFTER_US &&
	    fleet->result->cancelled == 0 &&
	    fairq_length(fleet->dcs[0].sites[0].q) > 20)
		cancel_queued(fleet, 0);
	if (s->change)
		adopt_generation(fleet);
	if (s->run_time_factor > 0 && now_at(fleet, RUN_TIME_CHANGE_AT_US)) {
		fleet->traffic.run_time_change_us = fleet->now_us;
		fleet->traffic.run_time_factor = s->run_time_factor;
	}
}
