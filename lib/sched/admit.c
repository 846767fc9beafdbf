#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"

/* A job of some seconds is overdue by then, whenever it comes back. */
#define REMEMBERED_US (12 * GW_US_PER_S)
/* Bounds the memory of refusals; beyond it the oldest are forgotten. */
#define REMEMBERED_MAX 4096
/* The planner names the machines on their way several times a second. */
#define COMING_FRESH_US GW_US_PER_S
/* Bounds of what Retry-After says, which has whole seconds on the wire. */
#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 4000

/* A job that was refused, so that a later attempt counts from the first. */
typedef struct {
	char id[SCHED_JOB_ID_BYTES];
	uint64_t first_us;
} refusal_t;

struct sched_refusals {
	GHashTable *by_id; /* id -> refusal_t, owned by order */
	GQueue *order;	   /* refusal_t, oldest first */
};

/*
 * Returns an empty memory of refusals.
 */
sched_refusals_t *
sched_refusals_new(void)
{
	sched_refusals_t *refusals = g_new0(sched_refusals_t, 1);

	refusals->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	refusals->order = g_queue_new();
	return refusals;
}

/*
 * Frees the memory of refusals.
 */
void
sched_refusals_free(sched_refusals_t *refusals)
{
	g_hash_table_destroy(refusals->by_id);
	g_queue_free_full(refusals->order, g_free);
	g_free(refusals);
}

static void
forget_oldest(sched_refusals_t *refusals)
{
	refusal_t *oldest = g_queue_pop_head(refusals->order);

	g_hash_table_remove(refusals->by_id, oldest->id);
	g_free(oldest);
}

static void
forget_expired(sched_refusals_t *refusals, uint64_t now_us)
{
	const refusal_t *oldest;

	while ((oldest = g_queue_peek_head(refusals->order)) != NULL &&
	    (gw_elapsed_us(now_us, oldest->first_us) > REMEMBERED_US ||
		g_queue_get_length(refusals->order) > REMEMBERED_MAX))
		forget_oldest(refusals);
}

/*
 * Returns when the job was first handed in.
 */
static uint64_t
first_attempt_us(const sched_pool_t *pool, const char *id, uint64_t now_us)
{
	const refusal_t *refusal =
	    g_hash_table_lookup(pool->refusals->by_id, id);

	return refusal == NULL ? now_us : refusal->first_us;
}

static void
remember(sched_pool_t *pool, const Gw__JobSpec *spec, uint64_t now_us)
{
	refusal_t *refusal;

	if (g_hash_table_contains(pool->refusals->by_id, spec->id))
		return;
	refusal = g_new0(refusal_t, 1);
	g_strlcpy(refusal->id, spec->id, sizeof(refusal->id));
	refusal->first_us = now_us;
	g_queue_push_tail(pool->refusals->order, refusal);
	g_hash_table_insert(pool->refusals->by_id, refusal->id, refusal);
	forget_expired(pool->refusals, now_us);
	/* The planner learns of the demand although it was refused. */
	for (size_t i = 0; i < spec->n_steps; i++)
		pool->demand_cpu_ms +=
		    sched_step_work(spec->steps[i], spec->steps[i]->count);
}

/* Processors that serve jobs which end, in thousandths. */
typedef struct {
	uint64_t cpu_millis;   /* of instances that are there or on their way */
	uint64_t with_standby; /* and of machines that may still be ordered */
	bool has_standby;      /* as the planner said a moment ago */
} serving_t;

/*
 * Sums up the processors, less what lasting tasks take. All machines count like
 * the mean of the pool's instances.
 */
static serving_t
serving_cpu(const sched_pool_t *pool, uint64_t now_us)
{
	serving_t serving = {0, 0, false};
	uint64_t capacity = 0, lasting = 0, count = 0;
	sched_instance_t *instance;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance)) {
		if (!sched_instance_usable(instance, now_us))
			continue;
		count++;
		capacity += instance->info.capacity.cpu_millis;
		for (guint i = 0; i < instance->tasks->len; i++) {
			const sched_task_t *task = instance->tasks->pdata[i];

			if (task->job->lasting && task->job->spec != NULL)
				lasting +=
				    sched_step_cpu(sched_task_step(task));
		}
	}
	if (count == 0)
		return serving;
	serving.cpu_millis = serving.with_standby =
	    capacity - MIN(capacity, lasting);
	if (gw_elapsed_us(now_us, pool->coming_us) < COMING_FRESH_US) {
		serving.cpu_millis += capacity / count * pool->coming;
		serving.with_standby +=
		    capacity / count * (pool->coming + pool->standby);
		serving.has_standby = pool->standby > 0;
	}
	return serving;
}

/* Ready work that finds no room, in core milliseconds. */
typedef struct {
	uint64_t in_time;
	uint64_t late;
} waiting_t;

static waiting_t
waiting_work(const sched_pool_t *pool, uint64_t now_us)
{
	waiting_t waiting = {0, 0};

	for (guint i = 0; i < pool->open->len; i++) {
		sched_job_t *job = pool->open->pdata[i];
		sched_ready_t ready = {0};

		sched_job_add_ready(job, &ready);
		if (ready.cpu_ms == 0 || job->lasting)
			continue;
		if (sched_job_rank(job, now_us) <= SCHED_RANK_IN_TIME)
			waiting.in_time += ready.cpu_ms;
		else
			waiting.late += ready.cpu_ms;
	}
	return waiting;
}

/*
 * Takes every job: the baseline.
 */
static bool
admit_all(const sched_pool_t *pool, const Gw__JobSpec *spec, uint64_t age_ms,
    uint64_t now_us, uint32_t *retry_after_ms)
{
	(void)pool;
	(void)spec;
	(void)age_ms;
	(void)now_us;
	(void)retry_after_ms;
	return true;
}

/*
 * Answers the load in which a queue asks for more than its pool can do in time:
 * each job that is taken then makes others late, and late work keeps machines
 * that the next queue's surge lacks. A job is taken if the work that waits in
 * time leaves it its objective. One that is late in any case is taken if it
 * ends before it is overdue, and takes nothing from those in time: none waits,
 * or machines are on standby. Without an instance nothing is known, as just
 * after a takeover: then it is taken.
 */
static bool
admit_in_time(const sched_pool_t *pool, const Gw__JobSpec *spec,
    uint64_t age_ms, uint64_t now_us, uint32_t *retry_after_ms)
{
	uint64_t chain_ms = sched_chain_ms(spec, NULL);
	uint64_t objective_ms = sched_objective_ms(spec, chain_ms);
	uint64_t wait_ms, wait_all_ms;
	serving_t serving;
	waiting_t waiting;

	if (spec->repeats > 0 || sched_spec_lasts(spec))
		return true;
	serving = serving_cpu(pool, now_us);
	if (serving.cpu_millis == 0)
		return true;
	waiting = waiting_work(pool, now_us);
	wait_ms = waiting.in_time * 1000 / serving.cpu_millis;
	if (age_ms + wait_ms + chain_ms <= objective_ms)
		return true;
	wait_all_ms =
	    (waiting.in_time + waiting.late) * 1000 / serving.with_standby;
	if (serving.has_standby)
		wait_all_ms += pool->bounds.move_ms + SCHED_AWAY_MARGIN_MS;
	if ((waiting.in_time == 0 || serving.has_standby) &&
	    age_ms + wait_all_ms + chain_ms <= SCHED_LATE_FACTOR * objective_ms)
		return true;
	*retry_after_ms = (uint32_t)CLAMP(wait_ms, RETRY_MIN_MS, RETRY_MAX_MS);
	gw_log(GW_EV_SCHED_REFUSED,
	    "job=%s pool=%s queue=%s reason=overload age_ms=%" PRIu64
	    " wait_ms=%" PRIu64 " chain_ms=%" PRIu64 " objective_ms=%" PRIu64
	    " waiting_cpu_ms=%" PRIu64 " late_cpu_ms=%" PRIu64
	    " serving_cpu=%" PRIu64 " coming=%u standby=%u retry_after_ms=%u",
	    spec->id, pool->name, spec->queue, age_ms, wait_ms, chain_ms,
	    objective_ms, waiting.in_time, waiting.late, serving.cpu_millis,
	    pool->coming, pool->standby, *retry_after_ms);
	return false;
}

const sched_admission_t sched_admission_all = {"all", admit_all};
const sched_admission_t sched_admission_in_time = {"in-time", admit_in_time};

/*
 * Decides on a job that the pool does not have. Returns whether it is taken,
 * and since when it counts; else when the caller should come back.
 */
bool
sched_admit(sched_pool_t *pool, const Gw__JobSpec *spec, uint64_t *since_us,
    uint32_t *retry_after_ms)
{
	uint64_t now_us = gw_clock_now_us(pool->clock);
	uint64_t age_ms;

	*since_us = first_attempt_us(pool, spec->id, now_us);
	age_ms = gw_elapsed_us(now_us, *since_us) / GW_US_PER_MS;
	if (pool->admission->admit(pool, spec, age_ms, now_us, retry_after_ms))
		return true;
	remember(pool, spec, now_us);
	return false;
}

/*
 * Takes the planner's word on the machines that move to the pool or could.
 */
void
sched_pool_set_coming(sched_pool_t *pool, uint32_t machines, uint32_t standby)
{
	pool->coming = machines;
	pool->standby = standby;
	pool->coming_us = gw_clock_now_us(pool->clock);
}

/*
 * Sets how jobs are admitted; sched_admission_in_time unless told otherwise.
 */
void
sched_pool_set_admission(sched_pool_t *pool, const sched_admission_t *admission)
{
	pool->admission = admission;
}
