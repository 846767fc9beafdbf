#include <string.h>

#include "fleet.h"

#define QUEUE_ITEMS 4000
#define MAX_OUT_PERCENT 70
#define LOAN_IDLE_MS 30000
#define WAVE_CONCURRENCY 4
#define WAVE_DOMAINS 4

static void
add_waves(manifest_t *m)
{
	static const char *const first[] = {
	    "intake", "ledger", "claims", "audit", "spare", NULL};
	static const char *const second[] = {"ledger", "audit", NULL};

	fixture_wave(m, "wave-0", first, WAVE_CONCURRENCY, WAVE_DOMAINS);
	fixture_wave(m, "wave-1", second, WAVE_CONCURRENCY, WAVE_DOMAINS);
}

static manifest_t *
build_manifest(const fleet_t *fleet, uint32_t max_unavailable)
{
	manifest_t *m = fixture_manifest();

	for (uint32_t p = 0; p < USER_MAX_POOLS; p++) {
		const char *name = user_pool_names[p];

		fixture_pool(m, name, p == USER_SERVICES, USER_SLOTS);
		for (uint32_t d = 0; d < fleet->user->data_centres; d++)
			fixture_place(m, name, fleet->dcs[d].name,
			    user_instances(
				fleet->user, fleet->variant->sizing, p, d),
			    p == USER_SERVICES ? 0 : 1);
		if (p == USER_SERVICES)
			continue;
		fixture_budget(m, name, max_unavailable);
		fixture_rule(m, "spare", name, 10, LOAN_IDLE_MS);
		for (uint32_t o = 0; o < USER_SERVICES; o++)
			if (o != p)
				fixture_rule(m, name, user_pool_names[o], 2,
				    LOAN_IDLE_MS);
	}
	add_waves(m);
	return m;
}

static void
add_host(fleet_t *fleet, uint32_t d, uint32_t p, uint32_t number)
{
	dc_t *dc = &fleet->dcs[d];
	host_t *host = g_new0(host_t, 1);
	char id[32], rack[32];

	g_snprintf(
	    id, sizeof(id), "%s-%s-%u", dc->name, user_pool_names[p], number);
	g_snprintf(rack, sizeof(rack), "%s-r%u", dc->name,
	    dc->table->instances->len / USER_RACK);
	host->inst = fixture_instance(dc->table, id, rack, user_pool_names[p]);
	host->dc = d;
	host->pool = p;
	host->reserved = true;
	outlier_add(dc->sites[p].outlier, id);
	g_ptr_array_add(fleet->hosts, host);
}

/*
 * Adds the instances of a data centre, one of each pool in turn, so that those
 * of a pool are spread over the racks.
 */
static void
add_hosts(fleet_t *fleet, uint32_t d)
{
	bool more = true;

	for (uint32_t number = 0; more; number++) {
		more = false;
		for (uint32_t p = 0; p < USER_MAX_POOLS; p++) {
			if (number >= user_instances(fleet->user,
					  fleet->variant->sizing, p, d))
				continue;
			add_host(fleet, d, p, number);
			more = true;
		}
	}
}

static void
dc_init(fleet_t *fleet, uint32_t d)
{
	dc_t *dc = &fleet->dcs[d];

	dc->alive = true;
	dc->table = fixture_table(dc->name);
	dc->lending = plan_lending_new();
	dc->waves = g_ptr_array_new_with_free_func(
	    (GDestroyNotify)fixture_progress_free);
	dc->demand = g_ptr_array_new();
	for (uint32_t p = 0; p < USER_MAX_POOLS; p++) {
		site_t *site = &dc->sites[p];

		site->q = fairq_new(
		    fleet->variant->queue, &fleet->clock, QUEUE_ITEMS);
		for (uint32_t t = 0; t < USER_TEAMS; t++) {
			char team[8];
			g_snprintf(team, sizeof(team), "t%u", t);
			fairq_set_team(site->q, team, user_weights[t]);
		}
		site->outlier = outlier_new(&fleet->clock, MAX_OUT_PERCENT);
		g_queue_init(&site->queued);
	}
	add_hosts(fleet, d);
}

fleet_t *
fleet_new(const user_t *user, const variant_t *variant,
    const scenario_t *scenario, uint32_t seed)
{
	fleet_t *fleet = g_new0(fleet_t, 1);

	fleet->user = user;
	fleet->variant = variant;
	fleet->scenario = scenario;
	gw_clock_init_paused(&fleet->clock, 0);
	fleet->rand = g_rand_new_with_seed(seed + 1);
	traffic_init(&fleet->traffic, user, seed);
	fleet->hosts = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t d = 0; d < user->data_centres; d++) {
		g_snprintf(
		    fleet->dcs[d].name, sizeof(fleet->dcs[d].name), "dc%u", d);
		dc_init(fleet, d);
	}
	fleet->manifest = build_manifest(fleet, user->max_unavailable);
	fleet->next_manifest = build_manifest(fleet, user->max_unavailable - 1);
	for (uint32_t i = 0; i < WHEEL_STEPS; i++)
		fleet->wheel[i] = NULL;
	return fleet;
}

static void
free_queued(site_t *site)
{
	GList *link;

	while ((link = g_queue_pop_head_link(&site->queued)) != NULL) {
		request_t *request = link->data;
		fairq_remove(site->q, &request->item);
		g_free(request);
	}
}

void
fleet_free(fleet_t *fleet)
{
	for (uint32_t d = 0; d < fleet->user->data_centres; d++) {
		dc_t *dc = &fleet->dcs[d];

		for (uint32_t p = 0; p < USER_MAX_POOLS; p++) {
			free_queued(&dc->sites[p]);
			fairq_free(dc->sites[p].q);
			outlier_free(dc->sites[p].outlier);
		}
		plan_lending_free(dc->lending);
		g_ptr_array_free(dc->waves, TRUE);
		g_ptr_array_free(dc->demand, TRUE);
		fixture_table_free(dc->table);
	}
	for (uint32_t i = 0; i < WHEEL_STEPS; i++)
		if (fleet->wheel[i] != NULL) {
			g_ptr_array_set_free_func(fleet->wheel[i], g_free);
			g_ptr_array_free(fleet->wheel[i], TRUE);
		}
	g_ptr_array_free(fleet->hosts, TRUE);
	fixture_manifest_free(fleet->manifest);
	fixture_manifest_free(fleet->next_manifest);
	traffic_clear(&fleet->traffic);
	g_rand_free(fleet->rand);
	g_free(fleet);
}

/*
 * Returns the generation in force in the data centre.
 */
const manifest_t *
fleet_manifest(const fleet_t *fleet, const dc_t *dc)
{
	return dc->uses_next ? fleet->next_manifest : fleet->manifest;
}

/*
 * Returns the previous generation while any data centre still uses it, else
 * NULL.
 */
const manifest_t *
fleet_previous(const fleet_t *fleet, const dc_t *dc)
{
	if (!dc->uses_next)
		return NULL;
	for (uint32_t d = 0; d < fleet->user->data_centres; d++)
		if (!fleet->dcs[d].uses_next)
			return fleet->manifest;
	return NULL;
}

bool
fleet_available(const host_t *host)
{
	return host->inst->state == MEMBER_ACTIVE && !host->lost;
}
