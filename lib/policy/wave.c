#include <string.h>

#include "policy/plan_index.h"

/* A wave halts when more than one in ten of its rebooted instances failed. */
#define HALT_ONE_IN 10
/* Instances made time-bound before their turn to reboot. */
#define BIND_AHEAD 4

/* Instances of a wave in one failure domain of the data centre. */
typedef struct {
	const char *name;
	uint32_t under_way; /* instances in maintenance */
	GPtrArray *waiting; /* member_instance_t, in the order of the pools */
} wave_domain_t;

/* One wave in one round. */
typedef struct {
	const manifest_wave_t *wave;
	const plan_wave_t *progress;
	plan_index_t *index;
	GHashTable *by_name; /* wave_domain_t */
	GPtrArray *domains;  /* wave_domain_t */
	uint32_t under_way;
	uint32_t open_domains; /* domains with instances in maintenance */
} wave_round_t;

static void
domain_free(gpointer data)
{
	wave_domain_t *domain = data;

	g_ptr_array_free(domain->waiting, TRUE);
	g_free(domain);
}

static wave_domain_t *
domain_get_or_add(wave_round_t *round, const char *name)
{
	wave_domain_t *domain = g_hash_table_lookup(round->by_name, name);

	if (domain != NULL)
		return domain;
	domain = g_new0(wave_domain_t, 1);
	domain->name = name;
	domain->waiting = g_ptr_array_new();
	g_hash_table_insert(round->by_name, (gpointer)name, domain);
	g_ptr_array_add(round->domains, domain);
	return domain;
}

static bool
is_done(const plan_wave_t *progress, const char *id)
{
	return (progress->done != NULL &&
		   g_hash_table_contains(progress->done, id)) ||
	    (progress->failed != NULL &&
		g_hash_table_contains(progress->failed, id));
}

/*
 * Counts an instance of the wave as waiting or under way in its failure
 * domain, unless the wave is done with it.
 */
static void
classify_instance(wave_round_t *round, member_instance_t *inst)
{
	wave_domain_t *domain;

	if (is_done(round->progress, inst->id))
		return;
	domain = domain_get_or_add(round, inst->failure_domain);
	if (inst->state == MEMBER_ACTIVE) {
		if (!plan_index_has_action(round->index, inst))
			g_ptr_array_add(domain->waiting, inst);
	} else if (plan_in_maintenance(inst)) {
		round->open_domains += domain->under_way == 0;
		domain->under_way++;
		round->under_way++;
	}
}

static int
pool_order(const manifest_wave_t *wave, const char *pool)
{
	for (uint32_t i = 0; i < wave->pools->len; i++)
		if (strcmp(wave->pools->pdata[i], pool) == 0)
			return (int)i;
	return -1;
}

static void
collect_instances(wave_round_t *round)
{
	GPtrArray *all = round->index->input->table->instances;
	GPtrArray **by_pool = g_new0(GPtrArray *, round->wave->pools->len);

	for (uint32_t i = 0; i < round->wave->pools->len; i++)
		by_pool[i] = g_ptr_array_new();
	for (uint32_t i = 0; i < all->len; i++) {
		member_instance_t *inst = all->pdata[i];
		int order = pool_order(round->wave, inst->home_pool);

		if (order >= 0)
			g_ptr_array_add(by_pool[order], inst);
	}
	for (uint32_t i = 0; i < round->wave->pools->len; i++) {
		for (uint32_t j = 0; j < by_pool[i]->len; j++)
			classify_instance(round, by_pool[i]->pdata[j]);
		g_ptr_array_free(by_pool[i], TRUE);
	}
	g_free(by_pool);
}

/*
 * Orders domains with instances under way first, then by waiting instances,
 * most first: domains with many take longest and would otherwise be the only
 * ones left at the end of the wave.
 */
static gint
domain_order(gconstpointer a, gconstpointer b)
{
	const wave_domain_t *x = *(const wave_domain_t *const *)a;
	const wave_domain_t *y = *(const wave_domain_t *const *)b;

	if ((x->under_way > 0) != (y->under_way > 0))
		return x->under_way > 0 ? -1 : 1;
	if (x->waiting->len != y->waiting->len)
		return x->waiting->len > y->waiting->len ? -1 : 1;
	return strcmp(x->name, y->name);
}

static bool
may_stop(const wave_round_t *round, const member_instance_t *inst)
{
	const plan_pool_t *pool = plan_index_pool(round->index, inst->pool);

	return pool != NULL && plan_pool_may_remove(pool, inst);
}

static void
add_reboot(wave_round_t *round, wave_domain_t *domain, member_instance_t *inst,
    GPtrArray *actions)
{
	plan_action_t *action;
	uint32_t left;

	plan_index_remove_instance(round->index, inst);
	left = plan_pool_removable_count(
	    plan_index_pool(round->index, inst->pool));
	action = plan_action_add(actions, PLAN_REBOOT, inst->id, NULL);
	g_snprintf(action->reason, sizeof(action->reason),
	    "wave=%s domain=%s budget_left=%u under_way=%u", round->wave->name,
	    domain->name, left, round->under_way);
	round->open_domains += domain->under_way == 0;
	domain->under_way++;
	round->under_way++;
}

static bool
below_limit(uint32_t count, uint32_t limit)
{
	return limit == 0 || count < limit;
}

static void
plan_domain_reboots(
    wave_round_t *round, wave_domain_t *domain, GPtrArray *actions)
{
	if (domain->under_way == 0 &&
	    !below_limit(round->open_domains, round->wave->domain_limit))
		return;
	for (uint32_t i = 0; i < domain->waiting->len; i++) {
		member_instance_t *inst = domain->waiting->pdata[i];

		if (!below_limit(round->under_way, round->wave->concurrency))
			return;
		if (may_stop(round, inst))
			add_reboot(round, domain, inst, actions);
	}
}

/*
 * Makes the next few instances time-bound ahead of their reboot. Routers use a
 * time-bound instance only while their contact with the planner lasts, so it
 * can be stopped once the contact of a router that does not answer expired.
 */
static void
bind_ahead(wave_round_t *round, GPtrArray *actions)
{
	uint32_t bound = 0;

	for (uint32_t i = 0; i < round->domains->len; i++) {
		const wave_domain_t *domain = round->domains->pdata[i];

		for (uint32_t j = 0; j < domain->waiting->len; j++) {
			member_instance_t *inst = domain->waiting->pdata[j];
			plan_action_t *action;

			if (plan_index_has_action(round->index, inst))
				continue;
			if (bound++ >= BIND_AHEAD)
				return;
			if (inst->time_bound)
				continue;
			action = plan_action_add(
			    actions, PLAN_BIND_TIME, inst->id, NULL);
			g_snprintf(action->reason, sizeof(action->reason),
			    "wave=%s next", round->wave->name);
		}
	}
}

static const plan_wave_t *
find_progress(const plan_input_t *input, const char *name)
{
	for (uint32_t i = 0; input->waves != NULL && i < input->waves->len;
	     i++) {
		const plan_wave_t *progress = input->waves->pdata[i];
		if (strcmp(progress->name, name) == 0)
			return progress;
	}
	return NULL;
}

/*
 * Returns true when too many instances of the wave did not come back: the
 * first one, or more than one in ten. Writes the reason for the operator.
 */
bool
plan_wave_must_halt(const plan_wave_t *wave, char *reason, uint32_t size_bytes)
{
	uint32_t failed =
	    wave->failed != NULL ? g_hash_table_size(wave->failed) : 0;
	uint32_t done = wave->done != NULL ? g_hash_table_size(wave->done) : 0;

	if (failed * HALT_ONE_IN <= done + failed)
		return false;
	g_snprintf(reason, size_bytes, "%u of %u instances failed", failed,
	    done + failed);
	return true;
}

static void
decide_wave(plan_index_t *index, const manifest_wave_t *wave,
    const plan_wave_t *progress, GPtrArray *actions)
{
	wave_round_t round = {
	    .wave = wave, .progress = progress, .index = index};

	round.by_name = g_hash_table_new(g_str_hash, g_str_equal);
	round.domains = g_ptr_array_new_with_free_func(domain_free);
	collect_instances(&round);
	g_ptr_array_sort(round.domains, domain_order);
	for (uint32_t i = 0; i < round.domains->len; i++)
		plan_domain_reboots(&round, round.domains->pdata[i], actions);
	bind_ahead(&round, actions);
	g_ptr_array_free(round.domains, TRUE);
	g_hash_table_destroy(round.by_name);
}

/*
 * Appends the reboots that the started waves may begin now. Concurrency and
 * domain_limit apply to each data centre, since each decides alone. Instances
 * with an action in the list are treated as taken out of their pools.
 */
void
plan_waves(const plan_input_t *input, uint64_t now_us, GPtrArray *actions)
{
	plan_index_t *index = plan_index_new(input, actions);
	char reason[96];

	(void)now_us;
	for (uint32_t i = 0; i < input->manifest->waves->len; i++) {
		const manifest_wave_t *wave =
		    &g_array_index(input->manifest->waves, manifest_wave_t, i);
		const plan_wave_t *progress = find_progress(input, wave->name);

		if (progress == NULL || !progress->started ||
		    progress->halted ||
		    plan_wave_must_halt(progress, reason, sizeof(reason)))
			continue;
		decide_wave(index, wave, progress, actions);
	}
	plan_index_free(index);
}
