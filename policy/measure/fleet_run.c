#include <stdio.h>
#include <string.h>

#include "fleet.h"

#define WAVE_AT_S 40
/* Shares are not judged in windows with less work offered. */
#define WINDOW_MIN_US (4e6)
/* First window whose shares are judged: the learned costs must settle. */
#define FIRST_WINDOW 2
#define DRAIN_US (90 * GW_US_PER_S)

/* Idle fraction of an instance, 0 unless it is reserved for requests. */
static double
idle_fraction(const fleet_t *fleet, const host_t *host)
{
	const member_instance_t *inst = host->inst;

	(void)fleet;
	if (host->lost)
		return 0;
	if (inst->state == MEMBER_ACTIVE)
		return host->reserved
		    ? 1 - MIN(1, host->in_flight / (double)USER_SLOTS)
		    : 0;
	if (inst->state == MEMBER_JOINING ||
	    (inst->state == MEMBER_LEAVING &&
		inst->purpose != MEMBER_PURPOSE_REBOOT))
		return 1;
	return 0;
}

static void
trace_line(const fleet_t *fleet)
{
	uint32_t busy[USER_MAX_POOLS] = {0}, held[USER_MAX_POOLS] = {0};
	uint32_t serviced = 0, lost = 0;

	for (uint32_t i = 0; i < fleet->hosts->len; i++) {
		const host_t *host = fleet->hosts->pdata[i];

		busy[host->pool] += host->in_flight;
		if (fleet_available(host) && host->reserved)
			held[host->pool] += USER_SLOTS;
		serviced += host->inst->purpose == MEMBER_PURPOSE_REBOOT;
		lost += host->lost;
	}
	fprintf(fleet->trace, "%.1f", (double)fleet->now_us / GW_US_PER_S);
	for (uint32_t p = 0; p < USER_MAX_POOLS; p++)
		fprintf(fleet->trace, " %u %u", busy[p], held[p]);
	fprintf(fleet->trace, " %u %u\n", serviced, lost);
}

void
fleet_account(fleet_t *fleet)
{
	for (uint32_t i = 0; i < fleet->hosts->len; i++)
		fleet->result->idle_s +=
		    idle_fraction(fleet, fleet->hosts->pdata[i]) *
		    ((double)UPKEEP_US / GW_US_PER_S);
	fleet_check_all_budgets(fleet);
	if (fleet->trace != NULL)
		trace_line(fleet);
}

static void
step(fleet_t *fleet, bool open)
{
	gw_clock_advance(&fleet->clock, STEP_US);
	fleet->now_us += STEP_US;
	fleet_faults(fleet);
	fleet_complete(fleet);
	if (open)
		fleet_arrivals(fleet);
	if (fleet->now_us % UPKEEP_US == 0)
		fleet_upkeep(fleet);
	if (fleet->now_us % PLAN_US == 0)
		fleet_plan(fleet);
	fleet_dispatch(fleet);
	if (open && fleet->now_us % UPKEEP_US == 0)
		fleet_account(fleet);
}

/*
 * Returns the lowest ratio of work done to work offered of any team that offers
 * no more than its weighted share of the pool, over the windows of arrival.
 */
static double
min_share(const result_t *result, uint32_t windows)
{
	uint32_t weights = 0;
	double worst = 1;

	for (uint32_t t = 0; t < USER_TEAMS; t++)
		weights += user_weights[t];
	for (uint32_t w = FIRST_WINDOW; w < windows; w++)
		for (uint32_t p = 0; p < USER_SERVICES; p++)
			for (uint32_t t = 0; t < USER_TEAMS; t++) {
				double offered = result->offered[w][p][t];
				double due = result->capacity[w][p] *
				    user_weights[t] / weights;

				if (offered < WINDOW_MIN_US || offered > due)
					continue;
				worst =
				    MIN(worst, result->done[w][p][t] / offered);
			}
	return worst;
}

/* Time of one drain, reboot and check, with the mean drain of the run. */
static double
round_s(const result_t *result)
{
	uint64_t drain_us = ACK_US;

	if (result->drains > 0)
		drain_us = result->drain_us / result->drains;
	return (double)(drain_us + REBOOT_US + CHECK_US) / GW_US_PER_S;
}

static void
compute_results(fleet_t *fleet)
{
	result_t *result = fleet->result;
	uint64_t ended = result->completed + result->errors + result->unknown +
	    result->cancelled + result->expired,
		 last_us = 0;
	bool open = false;

	if (result->admitted > ended)
		result->losses += result->admitted - ended;
	else
		result->losses += ended - result->admitted;
	result->min_share = min_share(result, RUN_US / WINDOW_US);
	for (uint32_t d = 0; d < fleet->user->data_centres; d++) {
		const dc_t *dc = &fleet->dcs[d];

		if (dc->waves->len == 0)
			return;
		open = open || dc->wave_done_us[0] == 0;
		last_us = MAX(last_us, dc->wave_done_us[0]);
	}
	result->wave_bound_s = result->wave_rounds * round_s(result);
	/* A wave that did not end is reported as 999 s. */
	result->wave_s = open ? 999 : (double)last_us / GW_US_PER_S - WAVE_AT_S;
}

void
fleet_run(const user_t *user, const variant_t *variant,
    const scenario_t *scenario, uint32_t seed, const char *trace_path,
    result_t *result)
{
	fleet_t *fleet = fleet_new(user, variant, scenario, seed);

	memset(result, 0, sizeof(*result));
	fleet->result = result;
	if (trace_path != NULL)
		fleet->trace = fopen(trace_path, "w");
	if (scenario->waves > 0)
		result->wave_rounds = fleet_wave_rounds(fleet);
	while (fleet->now_us < RUN_US)
		step(fleet, true);
	while (fleet->now_us < RUN_US + DRAIN_US)
		step(fleet, false);
	compute_results(fleet);
	if (fleet->trace != NULL)
		(void)fclose(fleet->trace);
	fleet_free(fleet);
}
