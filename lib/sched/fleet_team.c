#include <string.h>

#include "sched/fleet_impl.h"

/*
 * What teams submit, over all pools: the owners report their counts, and get
 * the sum of the rates back; docs/design/team-shares.md.
 */

/* Window of the average of a rate. */
#define RATE_WINDOW_US GW_US_PER_S
/* A pool whose last report is older has no rates. */
#define REPORT_AGE_MAX_US GW_US_PER_S

/* A team's submissions to one pool. */
typedef struct {
	uint64_t submitted;	 /* by the owner's last report */
	uint64_t jobs_per_1000s; /* average */
} team_count_t;

GHashTable *
fleet_team_counts_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void
update_count(GHashTable *counts, const Gw__TeamLoad *load, uint64_t age_us)
{
	team_count_t *count = g_hash_table_lookup(counts, load->team);
	uint64_t rate;

	if (count == NULL) {
		count = g_new0(team_count_t, 1);
		count->submitted = load->submitted;
		g_hash_table_insert(counts, g_strdup(load->team), count);
		return;
	}
	/* The count of a new owner begins at 0. */
	if (load->submitted < count->submitted)
		count->submitted = 0;
	rate = (load->submitted - count->submitted) * 1000 * GW_US_PER_S /
	    MAX(age_us, 1);
	count->submitted = load->submitted;
	count->jobs_per_1000s =
	    (count->jobs_per_1000s * RATE_WINDOW_US + rate * age_us) /
	    (RATE_WINDOW_US + age_us);
}

static bool
has_team(const Gw__PoolLoad *load, const char *team)
{
	for (size_t i = 0; i < load->n_teams; i++)
		if (strcmp(load->teams[i]->team, team) == 0)
			return true;
	return false;
}

/*
 * Takes the counts of an owner's report, age_us after the one before. An owner
 * leaves out a team that has not submitted anything to it.
 */
void
fleet_set_team_loads(pool_t *pool, const Gw__PoolLoad *load, uint64_t age_us)
{
	Gw__TeamLoad none = GW__TEAM_LOAD__INIT;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, pool->team_counts);
	while (g_hash_table_iter_next(&iter, (gpointer *)&none.team, NULL))
		if (!has_team(load, none.team))
			update_count(pool->team_counts, &none, age_us);
	for (size_t i = 0; i < load->n_teams; i++)
		update_count(pool->team_counts, load->teams[i], age_us);
}

static void
add_rate(GArray *rates, const char *team, uint64_t jobs_per_1000s)
{
	fleet_team_rate_t rate = {.jobs_per_1000s = jobs_per_1000s};

	for (guint i = 0; i < rates->len; i++) {
		fleet_team_rate_t *row =
		    &g_array_index(rates, fleet_team_rate_t, i);

		if (strcmp(row->team, team) == 0) {
			row->jobs_per_1000s += jobs_per_1000s;
			return;
		}
	}
	g_strlcpy(rate.team, team, sizeof(rate.team));
	g_array_append_val(rates, rate);
}

GArray *
fleet_team_rates(const fleet_t *fleet)
{
	GArray *rates = g_array_new(FALSE, FALSE, sizeof(fleet_team_rate_t));
	uint64_t now_us = gw_clock_now_us(fleet->clock);
	GHashTableIter pools, teams;
	const team_count_t *count;
	const pool_t *pool;
	gpointer name;

	g_hash_table_iter_init(&pools, fleet->pools);
	while (g_hash_table_iter_next(&pools, NULL, (gpointer *)&pool)) {
		if (pool->load_received_us == 0 ||
		    gw_elapsed_us(now_us, pool->load_received_us) >=
			REPORT_AGE_MAX_US)
			continue;
		g_hash_table_iter_init(&teams, pool->team_counts);
		while (
		    g_hash_table_iter_next(&teams, &name, (gpointer *)&count))
			add_rate(rates, name, count->jobs_per_1000s);
	}
	return rates;
}
