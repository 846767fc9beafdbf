#include <string.h>

#include "fleet.h"

static uint32_t
pool_number(const char *name)
{
	for (uint32_t p = 0; p < USER_MAX_POOLS; p++)
		if (strcmp(user_pool_names[p], name) == 0)
			return p;
	g_assert_not_reached();
}

static void
enter_pool(fleet_t *fleet, host_t *host, uint32_t pool)
{
	dc_t *dc = &fleet->dcs[host->dc];

	outlier_remove(dc->sites[host->pool].outlier, host->inst->id);
	host->pool = pool;
	outlier_add(dc->sites[pool].outlier, host->inst->id);
	g_strlcpy(host->inst->pool, user_pool_names[pool], GW_NAME_BYTES);
	host->inst->target_pool[0] = '\0';
}

static void
set_state(host_t *host, member_state_t state, uint64_t ready_us)
{
	host->inst->state = state;
	host->ready_us = ready_us;
}

/*
 * Marks the instance as done in each started wave: one reboot counts for all
 * overlapping waves.
 */
static void
mark_maintained(fleet_t *fleet, host_t *host)
{
	dc_t *dc = &fleet->dcs[host->dc];

	for (uint32_t w = 0; w < dc->waves->len; w++) {
		plan_wave_t *wave = dc->waves->pdata[w];
		g_hash_table_add(wave->done, g_strdup(host->inst->id));
	}
}

static void
complete_leave(fleet_t *fleet, host_t *host)
{
	result_t *result = fleet->result;

	if (host->inst->purpose == MEMBER_FOR_REBOOT) {
		result->drains++;
		result->drain_us += fleet->now_us - host->leave_us;
		set_state(host, MEMBER_REBOOTING, fleet->now_us + REBOOT_US);
		return;
	}
	enter_pool(fleet, host, pool_number(host->inst->target_pool));
	set_state(host, MEMBER_JOINING, fleet->now_us + JOIN_US);
}

static void
step_host(fleet_t *fleet, host_t *host)
{
	if (host->lost) {
		if (fleet->now_us >= host->lost_us + NOTICE_US)
			host->inst->state = MEMBER_ENDED;
		return;
	}
	if (fleet->now_us < host->ready_us)
		return;
	switch (host->inst->state) {
	case MEMBER_LEAVING:
		if (host->in_flight == 0)
			complete_leave(fleet, host);
		break;
	case MEMBER_REBOOTING:
		set_state(host, MEMBER_CHECKING, fleet->now_us + CHECK_US);
		break;
	case MEMBER_CHECKING:
		mark_maintained(fleet, host);
		set_state(host, MEMBER_ACTIVE, 0);
		host->inst->purpose = MEMBER_FOR_NONE;
		break;
	case MEMBER_JOINING:
		set_state(host, MEMBER_ACTIVE, 0);
		host->inst->purpose = MEMBER_FOR_NONE;
		break;
	default:
		break;
	}
}

static void
update_wave_end(fleet_t *fleet, dc_t *dc)
{
	for (uint32_t w = 0; w < dc->waves->len; w++) {
		const plan_wave_t *wave = dc->waves->pdata[w];
		const GPtrArray *pools =
		    g_array_index(fleet->manifest->waves, manifest_wave_t, w)
			.pools;
		uint32_t open = 0;

		for (uint32_t i = 0; i < dc->table->instances->len; i++) {
			const member_instance_t *inst =
			    dc->table->instances->pdata[i];
			for (uint32_t p = 0; p < pools->len; p++)
				open += inst->state != MEMBER_ENDED &&
				    strcmp(pools->pdata[p], inst->home_pool) ==
					0 &&
				    !g_hash_table_contains(
					wave->done, inst->id);
		}
		if (open > 0)
			dc->wave_done_us[w] = 0;
		else if (dc->wave_done_us[w] == 0)
			dc->wave_done_us[w] = fleet->now_us;
	}
}

/* Instances to reserve for those ejected, and as peers to compare with. */
static uint32_t
extra_reserve(const fleet_t *fleet, uint32_t d, uint32_t p, uint32_t hold)
{
	outlier_t *outlier = fleet->dcs[d].sites[p].outlier;

	if (hold == UINT32_MAX)
		return 0;
	return outlier_ejected_count(outlier) + outlier_needs_peers(outlier);
}

/*
 * Reserves as many of the pool's instances as the lending policy says; the
 * others run work that is stopped within RECLAIM_US. Instances that are busy
 * stay reserved first, then other reserved ones.
 */
static void
reserve_instances(fleet_t *fleet, uint32_t d, uint32_t p)
{
	uint32_t hold = UINT32_MAX;

	if (fleet->variant->release)
		hold = plan_lending_reserve(
		    fleet->dcs[d].lending, user_pool_names[p]);
	hold += extra_reserve(fleet, d, p, hold);
	for (int pass = 0; pass < 3; pass++) {
		for (uint32_t i = 0; i < fleet->hosts->len; i++) {
			host_t *host = fleet->hosts->pdata[i];
			int rank =
			    host->reserved ? (host->in_flight > 0 ? 0 : 1) : 2;

			if (host->dc != d || host->pool != p ||
			    !fleet_available(host) || rank != pass)
				continue;
			if (hold == 0) {
				host->reserved = false;
				continue;
			}
			hold--;
			if (host->reserved)
				continue;
			/* Its rank is now 1, which an earlier pass handled. */
			host->reserved = true;
			host->reserved_from_us = fleet->now_us + RECLAIM_US;
		}
	}
}

void
fleet_upkeep(fleet_t *fleet)
{
	for (uint32_t i = 0; i < fleet->hosts->len; i++)
		step_host(fleet, fleet->hosts->pdata[i]);
	for (uint32_t d = 0; d < fleet->user->data_centres; d++) {
		for (uint32_t p = 0; p < USER_MAX_POOLS; p++)
			reserve_instances(fleet, d, p);
		update_wave_end(fleet, &fleet->dcs[d]);
	}
}
