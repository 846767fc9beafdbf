#include <string.h>

#include "policy/lending_impl.h"

/*
 * Instances lent at most so that a pool's budget lets a wave go on. A pool that
 * lacks more waits for an operator.
 */
#define MAX_COVER_INSTANCES 2

static bool
is_pending(const plan_wave_t *progress, const member_instance_t *inst)
{
	return inst->state == MEMBER_ACTIVE &&
	    !(progress->done != NULL &&
		g_hash_table_contains(progress->done, inst->id)) &&
	    !(progress->failed != NULL &&
		g_hash_table_contains(progress->failed, inst->id));
}

static void
count_wave(lending_round_t *round, const manifest_wave_t *wave,
    const plan_wave_t *progress)
{
	GPtrArray *all = round->input->table->instances;
	GHashTable *pools = g_hash_table_new(g_str_hash, g_str_equal);

	for (uint32_t i = 0; i < wave->pools->len; i++)
		g_hash_table_add(pools, wave->pools->pdata[i]);
	for (uint32_t i = 0; i < all->len; i++) {
		const member_instance_t *inst = all->pdata[i];
		lending_pool_t *pool;

		if (!g_hash_table_contains(pools, inst->home_pool) ||
		    !is_pending(progress, inst))
			continue;
		pool = g_hash_table_lookup(round->state->pools, inst->pool);
		if (pool != NULL && !pool->pool->pool->spare)
			pool->wave_pending++;
	}
	g_hash_table_destroy(pools);
}

static void
count_waves(lending_round_t *round)
{
	const GArray *waves = round->input->manifest->waves;
	const GPtrArray *all = round->input->waves;
	char reason[96];

	for (uint32_t i = 0; all != NULL && i < all->len; i++) {
		const plan_wave_t *progress = all->pdata[i];

		if (!progress->started || progress->halted ||
		    plan_wave_must_halt(progress, reason, sizeof(reason)))
			continue;
		for (uint32_t j = 0; j < waves->len; j++) {
			const manifest_wave_t *wave =
			    &g_array_index(waves, manifest_wave_t, j);
			if (strcmp(wave->name, progress->name) == 0)
				count_wave(round, wave, progress);
		}
	}
}

/* Instances that the pool lacks before its budget lets one be stopped. */
static uint32_t
cover_shortfall(const lending_pool_t *pool)
{
	const plan_floor_t *floor = &pool->pool->current;
	uint32_t keep = floor->floor + 1;

	if (floor->reserve_domain)
		keep += plan_pool_largest_domain(pool->pool);
	keep = MAX(keep, floor->minimum + 1);
	return keep - MIN(keep, pool->have);
}

/* Idle instances of the data centre beyond those to keep idle. */
static uint32_t
idle_beyond_buffer(const lending_round_t *round)
{
	uint32_t idle = 0;

	for (uint32_t i = 0; i < round->pools->len; i++) {
		const lending_pool_t *pool = round->pools->pdata[i];
		idle += pool->have - MIN(pool->have, pool->peak);
	}
	return idle - MIN(idle, round->state->buffer_instances);
}

/*
 * Lends idle instances to pools whose budget lets a wave stop no instance.
 * Without them a wave would never finish in a pool with a budget of one or two
 * instances, because all of it is set aside for the loss of a failure domain.
 */
void
lending_cover_waves(lending_round_t *round)
{
	uint32_t rest = idle_beyond_buffer(round);

	count_waves(round);
	for (uint32_t i = 0; i < round->pools->len; i++) {
		lending_pool_t *pool = round->pools->pdata[i];
		uint32_t lack = cover_shortfall(pool);

		if (pool->wave_pending == 0 || pool->pool->in_maintenance > 0 ||
		    lack == 0 || lack > MAX_COVER_INSTANCES || lack > rest)
			continue;
		while (lack > 0 && lending_move_one(round, pool, "cover")) {
			lack--;
			rest--;
		}
	}
}
