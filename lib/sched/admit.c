#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"

/*
 * The planner reports incoming and standby machines several times a second. A
 * report older than this comes from a planner that has stopped.
 */
#define INCOMING_MAX_AGE_US GW_US_PER_S
/*
 * Returns what the planner has reported within the last second.
 */
sched_arrivals_t
sched_arrivals(const sched_pool_t *pool, uint64_t now_us)
{
	if (gw_elapsed_us(now_us, pool->incoming_us) >= INCOMING_MAX_AGE_US)
		return (sched_arrivals_t){0};
	return (sched_arrivals_t){
	    .coming = pool->incoming_machines, .standby = pool->standby};
}

/* CPU for jobs that are not long-running, in thousandths of a core. */
typedef struct {
	uint64_t cpu_millis; /* of the instances and incoming machines */
	uint64_t with_standby_cpu_millis; /* plus the machines on standby */
	bool has_standby; /* by a recent report of the planner */
} serving_t;

/*
 * Sums up the CPU of the pool, less that of long-running tasks. An incoming or
 * standby machine counts as much as the mean instance of the pool.
 */
static serving_t
sum_serving_cpu(const sched_pool_t *pool, uint64_t now_us)
{
	serving_t serving = {0, 0, false};
	uint64_t capacity = 0, long_running_cpu_millis = 0, count = 0;
	sched_instance_t *instance;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance)) {
		if (!sched_instance_is_usable(instance, now_us))
			continue;
		count++;
		capacity += instance->info.capacity.cpu_millis;
		long_running_cpu_millis +=
		    sched_instance_long_running_cpu_millis(instance);
	}
	if (count == 0)
		return serving;
	serving.cpu_millis = serving.with_standby_cpu_millis =
	    capacity - MIN(capacity, long_running_cpu_millis);
	if (gw_elapsed_us(now_us, pool->incoming_us) < INCOMING_MAX_AGE_US) {
		serving.cpu_millis +=
		    capacity / count * pool->incoming_machines;
		serving.with_standby_cpu_millis += capacity / count *
		    (pool->incoming_machines + pool->standby);
		serving.has_standby = pool->standby > 0;
	}
	return serving;
}

/* Work that waits only for room on an instance, in core milliseconds. */
typedef struct {
	uint64_t ahead_cpu_ms;	 /* of jobs in time that come before this one */
	uint64_t in_time_cpu_ms; /* of all jobs in time */
	uint64_t all_cpu_ms;
} backlog_t;

/*
 * Sums up the waiting work, for a job in time with this key. All jobs of its
 * class, team's share and priority count as ahead: they were accepted as in
 * time, also those that take more.
 */
static backlog_t
sum_backlog(
    const sched_pool_t *pool, const sched_order_key_t *key, uint64_t now_us)
{
	backlog_t backlog = {0};

	for (guint i = 0; i < pool->open->len; i++) {
		sched_job_t *job = pool->open->pdata[i];
		sched_ready_t ready = {0};

		sched_job_add_ready(job, &ready);
		if (ready.cpu_ms == 0 || job->long_running)
			continue;
		backlog.all_cpu_ms += ready.cpu_ms;
		if (sched_job_update_rank(pool, job, now_us) >
		    SCHED_RANK_IN_TIME)
			continue;
		backlog.in_time_cpu_ms += ready.cpu_ms;
		if (sched_order_compare_tier(pool, &job->key_in_order, key) <=
		    0)
			backlog.ahead_cpu_ms += ready.cpu_ms;
	}
	return backlog;
}

/*
 * Accepts every job: the baseline.
 */
static bool
admit_all(const sched_pool_t *pool, const Gw__JobSpec *spec,
    const sched_order_key_t *key, uint64_t age_ms, uint64_t now_us,
    sched_verdict_t *verdict)
{
	(void)pool;
	(void)spec;
	(void)key;
	(void)age_ms;
	(void)now_us;
	(void)verdict;
	return true;
}

/*
 * Refuses jobs when a queue submits more than its pool can do within the
 * objectives. Each further job would make others late, and late work occupies
 * machines that the next surge of another queue needs.
 *
 * A job is accepted if it can meet its objective after the waiting work that is
 * in time and comes before it in the pool's order. A late job is accepted if it
 * can end before it is overdue without delaying jobs that are in time: none of
 * them waits, or machines on standby can be moved to the pool. A pool without a
 * usable instance, as just after a takeover, accepts every job, since it cannot
 * estimate the wait. Jobs with a schedule and long-running jobs are always
 * accepted.
 */
static bool
admit_in_time(const sched_pool_t *pool, const Gw__JobSpec *spec,
    const sched_order_key_t *key, uint64_t age_ms, uint64_t now_us,
    sched_verdict_t *verdict)
{
	uint64_t critical_path_ms = sched_critical_path_ms(spec, NULL);
	uint64_t objective_ms = sched_objective_ms(spec, critical_path_ms);
	uint64_t wait_ms, wait_all_ms;
	serving_t serving;
	backlog_t backlog;

	if (spec->repeats > 0 || sched_spec_is_long_running(spec))
		return true;
	serving = sum_serving_cpu(pool, now_us);
	if (serving.cpu_millis == 0)
		return true;
	backlog = sum_backlog(pool, key, now_us);
	wait_ms = backlog.ahead_cpu_ms * 1000 / serving.cpu_millis;
	if (age_ms + wait_ms + critical_path_ms <= objective_ms)
		return true;
	wait_all_ms =
	    backlog.all_cpu_ms * 1000 / serving.with_standby_cpu_millis;
	if (serving.has_standby)
		wait_all_ms += pool->bounds.move_ms + SCHED_REGISTER_MARGIN_MS;
	if ((backlog.in_time_cpu_ms == 0 || serving.has_standby) &&
	    age_ms + wait_all_ms + critical_path_ms <=
		SCHED_OVERDUE_FACTOR * objective_ms)
		return true;
	verdict->retry_after_ms = sched_refusal_retry_ms(wait_ms);
	gw_log(GW_EV_SCHED_REFUSED,
	    "job=%s pool=%s queue=%s team=%s reason=%s age_ms=%" PRIu64
	    " wait_ms=%" PRIu64 " chain_ms=%" PRIu64 " objective_ms=%" PRIu64
	    " priority=%u ahead_cpu_ms=%" PRIu64 " waiting_cpu_ms=%" PRIu64
	    " late_cpu_ms=%" PRIu64 " serving_cpu=%" PRIu64
	    " coming=%u standby=%u retry_after_ms=%u",
	    spec->id, pool->name, spec->queue, spec->team,
	    key->is_beyond_share ? "share" : "overload", age_ms, wait_ms,
	    critical_path_ms, objective_ms, spec->priority,
	    backlog.ahead_cpu_ms, backlog.in_time_cpu_ms,
	    backlog.all_cpu_ms - backlog.in_time_cpu_ms, serving.cpu_millis,
	    pool->incoming_machines, pool->standby, verdict->retry_after_ms);
	return false;
}

const sched_admission_t sched_admission_all = {"all", admit_all};
const sched_admission_t sched_admission_in_time = {"in-time", admit_in_time};

/*
 * Returns whether a job that the pool does not have yet is accepted. Sets
 * the time of its first submission; if it is refused, when it may return.
 */
bool
sched_admit(sched_pool_t *pool, const Gw__JobSpec *spec, bool is_beyond_share,
    sched_verdict_t *verdict)
{
	const sched_order_key_t key = {.rank_class = SCHED_RANK_IN_TIME,
	    .is_beyond_share = is_beyond_share,
	    .priority = spec->priority};
	sched_team_t *team = sched_team_get(pool, spec->team);
	uint64_t now_us = gw_clock_now_us(pool->clock);
	uint64_t age_ms;

	*verdict = (sched_verdict_t){
	    .since_us = sched_refusal_first_us(pool, spec->id, now_us)};
	age_ms = gw_elapsed_us(now_us, verdict->since_us) / GW_US_PER_MS;
	if (team != NULL && verdict->since_us == now_us)
		team->submitted++;
	sched_order_update_capacity(pool, now_us);
	if (pool->admission->admit(pool, spec, &key, age_ms, now_us, verdict)) {
		sched_refusal_accepted(pool, spec->id);
		return true;
	}
	if (team != NULL) {
		team->refused++;
		team->refused_beyond_share += is_beyond_share;
	}
	sched_refusal_record(pool, spec, verdict->retry_after_ms, now_us);
	return false;
}

/*
 * Stores the planner's report on machines that are moving to the pool or on
 * standby for it.
 */
void
sched_pool_set_incoming(sched_pool_t *pool, uint32_t machines, uint32_t standby)
{
	pool->incoming_machines = machines;
	pool->standby = standby;
	pool->incoming_us = gw_clock_now_us(pool->clock);
}

/*
 * Sets the admission policy; the default is sched_admission_in_time.
 */
void
sched_pool_set_admission(sched_pool_t *pool, const sched_admission_t *admission)
{
	pool->admission = admission;
}
