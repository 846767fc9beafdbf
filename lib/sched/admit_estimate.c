#include "gw/log.h"
#include "sched/impl.h"

/*
 * Admission by an estimate of the end of each job; docs/design/scarce-room.md.
 * The load: queues submit more than the pool can do within the objectives.
 */

static void
add_steps(sched_backlog_t *backlog, const sched_job_t *job, bool is_ahead)
{
	for (guint i = 0; i < job->occurrences->len; i++) {
		const sched_occurrence_t *occurrence =
		    job->occurrences->pdata[i];

		for (uint32_t k = 0; k < occurrence->step_count; k++) {
			const Gw__JobStep *spec = job->spec->steps[k];
			sched_waiting_step_t step = {
			    .need = sched_step_resources(spec),
			    .tasks = occurrence->steps[k].waiting,
			    .estimate_ms = spec->estimate_ms,
			    .is_ahead = is_ahead};

			if (step.tasks > 0 &&
			    sched_step_is_ready(job, occurrence, k))
				g_array_append_val(backlog->steps, step);
		}
	}
}

/*
 * Adds a job that waits, in front of a job in time with this key or not. All
 * jobs of its class, team's share and priority count as ahead: they were
 * accepted as in time, also those that take more.
 */
static void
add_job(sched_backlog_t *backlog, const sched_pool_t *pool, sched_job_t *job,
    const sched_order_key_t *key, const sched_team_t *team, uint64_t now_us)
{
	sched_ready_t ready = {0};
	bool is_ahead;

	sched_job_add_ready(job, &ready);
	if (ready.cpu_ms == 0 || job->long_running)
		return;
	is_ahead =
	    sched_job_update_rank(pool, job, now_us) <= SCHED_RANK_IN_TIME &&
	    sched_order_compare_tier(pool, &job->key_in_order, key) <= 0;
	add_steps(backlog, job, is_ahead);
	backlog->all_cpu_ms += ready.cpu_ms;
	if (job->key_in_order.rank_class <= SCHED_RANK_IN_TIME)
		backlog->in_time_cpu_ms += ready.cpu_ms;
	if (is_ahead)
		backlog->ahead_cpu_ms += ready.cpu_ms;
	if (is_ahead && team != NULL && job->team == team)
		backlog->team_cpu_ms += ready.cpu_ms;
}

/*
 * Lengthens the wait of a job whose team lacks quota to that for its part of
 * the quota.
 */
static void
apply_quota(const sched_team_t *team, const sched_backlog_t *backlog,
    sched_estimate_t *estimate)
{
	uint64_t wait_ms;

	if (team == NULL || team->short_since_us == 0 ||
	    team->held.cpu_millis == 0)
		return;
	wait_ms = backlog->team_cpu_ms * 1000 / team->held.cpu_millis;
	if (wait_ms <= estimate->wait_ms)
		return;
	estimate->wait_ms = wait_ms;
	estimate->wait_all_ms = MAX(estimate->wait_all_ms, wait_ms);
	estimate->scarce = "quota";
}

static void
log_refusal(const sched_pool_t *pool, const Gw__JobSpec *spec,
    const sched_order_key_t *key, uint64_t age_ms, uint64_t objective_ms,
    const sched_backlog_t *backlog, const sched_arrivals_t *arrivals,
    const sched_verdict_t *verdict)
{
	const sched_estimate_t *estimate = &verdict->estimate;

	gw_log(GW_EV_SCHED_REFUSED,
	    "job=%s pool=%s queue=%s team=%s reason=%s age_ms=%" PRIu64
	    " wait_ms=%" PRIu64 " chain_ms=%" PRIu64 " objective_ms=%" PRIu64
	    " scarce=%s wait_all_ms=%" PRIu64 " priority=%u"
	    " ahead_cpu_ms=%" PRIu64 " waiting_cpu_ms=%" PRIu64
	    " late_cpu_ms=%" PRIu64 " serving_cpu=%" PRIu64
	    " coming=%u standby=%u retry_after_ms=%u",
	    spec->id, pool->name, spec->queue, spec->team,
	    key->is_beyond_share ? "share" : "overload", age_ms,
	    estimate->wait_ms, estimate->chain_ms, objective_ms,
	    estimate->scarce, estimate->wait_all_ms, spec->priority,
	    backlog->ahead_cpu_ms, backlog->in_time_cpu_ms,
	    backlog->all_cpu_ms - backlog->in_time_cpu_ms,
	    pool->capacity.cpu_millis, arrivals->coming, arrivals->standby,
	    verdict->retry_after_ms);
}

/*
 * Returns whether a late job may have room without delaying those in time:
 * there is some left now, or it waits for all other work, and for machines on
 * standby, if there are any.
 */
static bool
may_be_late(const sched_pool_t *pool, const sched_backlog_t *backlog,
    const sched_arrivals_t *arrivals, sched_estimate_t *estimate)
{
	if (estimate->wait_all_ms == 0)
		return true;
	if (backlog->in_time_cpu_ms > 0 && arrivals->standby == 0)
		return false;
	if (arrivals->standby > 0)
		estimate->wait_all_ms +=
		    pool->bounds.move_ms + SCHED_REGISTER_MARGIN_MS;
	return true;
}

/*
 * Estimates when a job with this key would end, and sums up what waits. Returns
 * false if the pool has no room that tells, as just after a takeover.
 */
static bool
estimate_job(const sched_pool_t *pool, const Gw__JobSpec *spec,
    const sched_order_key_t *key, const sched_arrivals_t *arrivals,
    uint64_t now_us, sched_backlog_t *backlog, sched_verdict_t *verdict)
{
	const sched_team_t *team = g_hash_table_lookup(pool->teams, spec->team);
	g_autoptr(GArray) steps =
	    g_array_new(FALSE, FALSE, sizeof(sched_waiting_step_t));

	*backlog = (sched_backlog_t){.steps = steps};
	for (guint i = 0; i < pool->open->len; i++)
		add_job(backlog, pool, pool->open->pdata[i], key, team, now_us);
	verdict->is_estimated = sched_estimate_job(
	    pool, spec, backlog, arrivals, now_us, &verdict->estimate);
	if (verdict->is_estimated)
		apply_quota(team, backlog, &verdict->estimate);
	backlog->steps = NULL;
	return verdict->is_estimated;
}

/*
 * Accepts a job that is estimated to end within its objective, from what runs,
 * what waits ahead of it and machines that are coming. A late job is accepted
 * if it can end before it is overdue and none in time waits, or machines on
 * standby can be moved to the pool. Waves of a step that is wider than the pool
 * delay the estimated end, but neither the job nor its objective is judged by
 * them. A pool without a usable instance, as just
 * after a takeover, accepts every job. Jobs with a schedule and long-running
 * jobs are always accepted.
 */
static bool
admit_by_estimate(const sched_pool_t *pool, const Gw__JobSpec *spec,
    const sched_order_key_t *key, uint64_t age_ms, uint64_t now_us,
    sched_verdict_t *verdict)
{
	sched_estimate_t *estimate = &verdict->estimate;
	sched_arrivals_t arrivals = sched_arrivals(pool, now_us);
	sched_backlog_t backlog;
	uint64_t objective_ms, chain_ms;

	if (spec->repeats > 0 || sched_spec_is_long_running(spec) ||
	    !estimate_job(
		pool, spec, key, &arrivals, now_us, &backlog, verdict))
		return true;
	chain_ms = sched_critical_path_ms(spec, NULL);
	objective_ms = sched_objective_ms(spec, chain_ms);
	if (age_ms + estimate->wait_ms + chain_ms <= objective_ms)
		return true;
	if (may_be_late(pool, &backlog, &arrivals, estimate) &&
	    age_ms + estimate->wait_all_ms + chain_ms <=
		SCHED_OVERDUE_FACTOR * objective_ms) {
		estimate->wait_ms = estimate->wait_all_ms;
		return true;
	}
	verdict->retry_after_ms = sched_refusal_retry_ms(estimate->wait_ms);
	log_refusal(pool, spec, key, age_ms, objective_ms, &backlog, &arrivals,
	    verdict);
	return false;
}

const sched_admission_t sched_admission_estimate = {
    "estimate", admit_by_estimate};
