#include "sched/impl.h"

/*
 * A task that waits for less time than this usually gets room from one that
 * ends.
 */
#define BLOCKED_MIN_US (600 * GW_US_PER_MS)

/*
 * Returns the CPU of the tasks that were placed when their jobs were late.
 */
static uint64_t
late_cpu_millis(const sched_instance_t *instance)
{
	uint64_t cpu_millis = 0;

	for (guint i = 0; i < instance->tasks->len; i++) {
		const sched_task_t *task = instance->tasks->pdata[i];

		if (task->placed_late && task->job->spec != NULL)
			cpu_millis +=
			    sched_step_cpu_millis(sched_task_step_spec(task));
	}
	return cpu_millis;
}

static bool
has_late_tasks_only(const sched_instance_t *instance)
{
	for (guint i = 0; i < instance->tasks->len; i++)
		if (!((const sched_task_t *)instance->tasks->pdata[i])
			 ->placed_late)
			return false;
	return instance->tasks->len > 0;
}

static void
add_instance(Gw__PoolLoad *load, const sched_instance_t *instance)
{
	char *id = (char *)instance->info.id;

	load->instances++;
	load->capacity_cpu_millis += instance->info.capacity.cpu_millis;
	load->used_cpu_millis += instance->used.cpu_millis;
	load->late_used_cpu_millis += late_cpu_millis(instance);
	load->capacity_memory_mib += instance->info.capacity.memory_mib;
	load->used_memory_mib += instance->used.memory_mib;
	load->lasting_used_cpu_millis +=
	    sched_instance_long_running_cpu_millis(instance);
	if (instance->tasks->len == 0)
		load->idle_instances[load->n_idle_instances++] = id;
	else if (sched_instance_hosts_long_running(instance))
		load->lasting_instances[load->n_lasting_instances++] = id;
	else if (has_late_tasks_only(instance))
		load->late_instances++;
}

static void
set_waiting(Gw__PoolLoad *load, const sched_pool_t *pool, uint64_t now_us)
{
	sched_ready_t ready = {0}, late = {0};

	for (guint i = 0; i < pool->open->len; i++) {
		sched_job_t *job = pool->open->pdata[i];

		sched_job_add_ready(job, &ready);
		if (sched_job_update_rank(pool, job, now_us) >
		    SCHED_RANK_IN_TIME)
			sched_job_add_ready(job, &late);
		load->blocked_jobs += job->blocked_since_us != 0 &&
		    gw_elapsed_us(now_us, job->blocked_since_us) >
			BLOCKED_MIN_US;
	}
	load->waiting_cpu_ms = ready.cpu_ms;
	load->waiting_cpu_millis = ready.cpu_millis;
	load->waiting_memory_mib_ms = ready.memory_mib_ms;
	load->late_waiting_cpu_ms = late.cpu_ms;
	load->lasting_waiting = (uint32_t)ready.long_running;
	load->lasting_waiting_cpu_millis = ready.long_running_cpu_millis;
	load->lasting_waiting_memory_mib = ready.long_running_memory_mib;
}

/*
 * Adds what the pool has of each team's jobs.
 */
static void
set_teams(Gw__PoolLoad *load, const sched_pool_t *pool)
{
	GHashTableIter iter;
	sched_team_t *team;

	load->teams =
	    g_new0(Gw__TeamLoad *, g_hash_table_size(pool->teams) + 1);
	g_hash_table_iter_init(&iter, pool->teams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
		Gw__TeamLoad *row;

		if (team->submitted == 0 && team->used.cpu_millis == 0)
			continue;
		row = g_new(Gw__TeamLoad, 1);
		gw__team_load__init(row);
		row->team = team->config.name;
		row->submitted = team->submitted;
		row->refused = team->refused;
		row->used_cpu_millis = team->used.cpu_millis;
		load->teams[load->n_teams++] = row;
	}
}

/*
 * Fills in the pool's load for the planner. The strings belong to the pool; the
 * caller frees the lists of instances with sched_load_clear().
 */
void
sched_pool_get_load(const sched_pool_t *pool, Gw__PoolLoad *load)
{
	uint64_t now_us = gw_clock_now_us(pool->clock);
	size_t size = g_hash_table_size(pool->instances);
	sched_instance_t *instance;
	GHashTableIter iter;

	gw__pool_load__init(load);
	load->demand_cpu_ms = pool->demand_cpu_ms;
	load->idle_instances = g_new0(char *, size);
	load->lasting_instances = g_new0(char *, size);
	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance))
		if (sched_instance_is_usable(instance, now_us))
			add_instance(load, instance);
	set_waiting(load, pool, now_us);
	set_teams(load, pool);
}

/*
 * Frees the lists of sched_pool_get_load().
 */
void
sched_load_clear(Gw__PoolLoad *load)
{
	g_free(load->idle_instances);
	g_free(load->lasting_instances);
	for (size_t i = 0; i < load->n_teams; i++)
		g_free(load->teams[i]);
	g_free(load->teams);
}
