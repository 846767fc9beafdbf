#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"

/* Retry-After of a job that a newer configuration does not allow. */
#define OUTDATED_RETRY_AFTER_MS 1000

/*
 * Replies to the caller once the job's record has been written.
 */
void
sched_job_wait_for_record(
    sched_pool_t *pool, sched_job_t *job, sched_response_cb_t cb, void *arg)
{
	sched_waiter_t waiter = {.cb = cb, .arg = arg};

	g_array_append_val(job->waiters, waiter);
	sched_job_mark_dirty(pool, job);
}

/*
 * Replies to a submission of a job that the pool has in whatever state. One
 * that was cancelled before it was submitted is shown from now on.
 */
static void
accept_again(
    sched_pool_t *pool, sched_job_t *job, sched_response_cb_t cb, void *arg)
{
	const sched_response_t ok = {.outcome = GW__CALL_OUTCOME__CALL_OK};
	bool is_recorded = job->spec_recorded && !job->cancelled_first;

	job->cancelled_first = false;
	if (is_recorded)
		cb(&ok, arg);
	else
		sched_job_wait_for_record(pool, job, cb, arg);
}

static Gw__JobSpec *
copy_spec(const Gw__JobSpec *spec)
{
	g_autoptr(GBytes) packed = sched_spec_encode(spec);
	gsize size_bytes = 0;
	const void *data = g_bytes_get_data(packed, &size_bytes);

	return gw__job_spec__unpack(NULL, size_bytes, data);
}

/*
 * Logs the figures by which a job is beyond its team's share.
 */
static void
log_beyond_share(
    const sched_pool_t *pool, const Gw__JobSpec *spec, bool is_accepted)
{
	const sched_team_t *team = g_hash_table_lookup(pool->teams, spec->team);

	if (team == NULL)
		return;
	gw_log(GW_EV_BEYOND_SHARE,
	    "job=%s pool=%s team=%s accepted=%d rate_permille=%" PRIu64
	    " rate_age_ms=%" PRIu64 " weight_permille=%u",
	    spec->id, pool->name, spec->team, is_accepted, team->jobs_per_1000s,
	    gw_elapsed_us(gw_clock_now_us(pool->clock), team->rate_us) /
		GW_US_PER_MS,
	    team->config.weight_permille);
}

/* The reply to a submission whose id another team's job has. */
static const sched_response_t id_in_use = {
    .outcome = GW__CALL_OUTCOME__CALL_REFUSED,
    .retry_after_ms = SCHED_REFUSED_RETRY_AFTER_MS,
    .reason = "job-id-in-use"};

/*
 * The reply while the shard still has a part of a job with this id that is
 * gone.
 */
static const sched_response_t part_ends = {
    .outcome = GW__CALL_OUTCOME__CALL_REFUSED,
    .retry_after_ms = OUTDATED_RETRY_AFTER_MS,
    .reason = "job-moving"};

static void
set_estimate(
    const sched_pool_t *pool, sched_job_t *job, const sched_verdict_t *verdict)
{
	uint64_t now_us = gw_clock_now_us(pool->clock);

	if (verdict->is_estimated)
		job->estimate_ms =
		    gw_elapsed_us(now_us, verdict->since_us) / GW_US_PER_MS +
		    verdict->estimate.wait_ms + verdict->estimate.chain_ms;
}

/*
 * Accepts or refuses a job. A job that the pool already has is accepted again,
 * whatever its state, and is not run twice. Replies to the caller once the job
 * is in the store.
 */
void
sched_pool_submit(sched_pool_t *pool, const Gw__JobSpec *spec,
    const sched_key_digest_t *key, sched_response_cb_t cb, void *arg)
{
	const sched_response_t ok = {.outcome = GW__CALL_OUTCOME__CALL_OK};
	sched_response_t refused = {
	    .outcome = GW__CALL_OUTCOME__CALL_REFUSED, .reason = "overload"};
	sched_job_t *job = sched_pool_find_job(pool, spec->id);
	bool is_beyond_share;
	bool is_accepted;
	sched_verdict_t verdict;

	if (job != NULL && !sched_team_may_see(job, spec->team)) {
		cb(&id_in_use, arg);
		return;
	}
	if (job != NULL) {
		accept_again(pool, job, cb, arg);
		return;
	}
	if (sched_pool_has_job(pool, spec->id)) {
		cb(&ok, arg);
		return;
	}
	if (sched_pool_holds_part(pool, spec->id)) {
		cb(&part_ends, arg);
		return;
	}
	is_beyond_share = sched_share_is_beyond(
	    pool, spec->team, spec->id, gw_clock_now_us(pool->clock));
	is_accepted = sched_admit(pool, spec, is_beyond_share, &verdict);
	if (is_beyond_share)
		log_beyond_share(pool, spec, is_accepted);
	if (!is_accepted) {
		refused.retry_after_ms = verdict.retry_after_ms;
		cb(&refused, arg);
		return;
	}
	job = sched_job_new(pool, spec->id);
	job->accepted_us = verdict.since_us;
	set_estimate(pool, job, &verdict);
	job->key_in_order.is_beyond_share = is_beyond_share;
	sched_job_set_spec(job, copy_spec(spec));
	sched_job_set_queue_key(pool, job, spec->queue_key);
	sched_job_set_team(pool, job, spec->team);
	if (key != NULL)
		job->key = g_memdup2(key, sizeof(*key));
	/*
	 * Opened now, so that admission of the next job counts this one's work
	 * as waiting.
	 */
	sched_job_open_occurrences(pool, job, pool->wall_ms);
	g_ptr_array_add(pool->open, job);
	gw_log(GW_EV_SCHED_ACCEPTED,
	    "job=%s pool=%s queue=%s steps=%zu tasks=%u cpu_millis=%u "
	    "lasting=%d target_ms=%u fills=%d max_unavailable=%u "
	    "per_instance=%u chain_ms=%u objective_ms=%u priority=%u "
	    "open_jobs=%u team=%s wait_ms=%" PRIu64 " estimate_ms=%" PRIu64,
	    job->id, pool->name, job->queue, job->spec->n_steps,
	    job->spec->steps[0]->count, job->spec->steps[0]->cpu_millis,
	    job->long_running, job->spec->steps[0]->target_ms,
	    job->spec->steps[0]->fills, job->spec->steps[0]->max_unavailable,
	    job->spec->steps[0]->max_per_instance, job->critical_path_ms,
	    job->spec->objective_ms, job->spec->priority, pool->open->len,
	    job->spec->team, verdict.estimate.wait_ms, job->estimate_ms);
	sched_job_wait_for_record(pool, job, cb, arg);
}

/*
 * Returns whether the pool has accepted the job, in whatever state it is, and
 * even if another shard has it now.
 */
bool
sched_pool_has_job(const sched_pool_t *pool, const char *id)
{
	return sched_pool_find_job(pool, id) != NULL ||
	    g_hash_table_contains(pool->transfers, id);
}

void
sched_pool_refuse_outdated(sched_pool_t *pool,
    const char *(*get_reason)(const sched_submitter_t *, void *arg), void *arg)
{
	sched_response_t refused = {.outcome = GW__CALL_OUTCOME__CALL_REFUSED,
	    .retry_after_ms = OUTDATED_RETRY_AFTER_MS};
	g_autoptr(GPtrArray) pending = g_ptr_array_new();
	GHashTableIter iter;
	sched_job_t *job;

	g_hash_table_iter_init(&iter, pool->jobs);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&job))
		if (!job->spec_recorded && !job->in_batch &&
		    job->queue_key[0] != '\0')
			g_ptr_array_add(pending, job);
	for (guint i = 0; i < pending->len; i++) {
		sched_submitter_t submitter;

		job = pending->pdata[i];
		submitter = (sched_submitter_t){.queue_key = job->queue_key,
		    .team = job->team == NULL ? "" : job->team->config.name,
		    .key = job->key};
		refused.reason = get_reason(&submitter, arg);
		if (refused.reason != NULL)
			sched_job_refuse_new(pool, job, &refused);
	}
}

/*
 * Handles a submission that may have been accepted before. Replies
 * GW__CALL_OUTCOME__CALL_ABSENT if the pool does not have the job, else once it
 * is in the store.
 */
void
sched_pool_resubmit(
    sched_pool_t *pool, const char *id, sched_response_cb_t cb, void *arg)
{
	const sched_response_t ok = {.outcome = GW__CALL_OUTCOME__CALL_OK};
	const sched_response_t absent = {
	    .outcome = GW__CALL_OUTCOME__CALL_ABSENT, .reason = "no-such-job"};
	sched_job_t *job = sched_pool_find_job(pool, id);

	if (job != NULL)
		accept_again(pool, job, cb, arg);
	else
		cb(sched_pool_has_job(pool, id) ? &ok : &absent, arg);
}

static bool
is_of_queue(const sched_job_t *job, const sched_queue_ref_t *queue)
{
	if (strcmp(job->queue, queue->name) == 0)
		return true;
	return job->queue_key[0] != '\0' &&
	    strcmp(job->queue_key, queue->key) == 0;
}

static sched_job_t *
find_job(
    const sched_pool_t *pool, const sched_queue_ref_t *queue, const char *id)
{
	sched_job_t *job = sched_pool_find_job(pool, id);

	return job != NULL && is_of_queue(job, queue) &&
		sched_team_may_see(job, queue->team)
	    ? job
	    : NULL;
}

/* A caller whose cancel came before the job. */
typedef struct {
	sched_response_cb_t cb;
	void *arg;
} early_cancel_t;

static void
on_cancel_recorded(const sched_response_t *response, void *arg)
{
	early_cancel_t *cancel = arg;
	sched_response_t absent = *response;

	if (response->outcome == GW__CALL_OUTCOME__CALL_OK) {
		absent.outcome = GW__CALL_OUTCOME__CALL_ABSENT;
		absent.reason = "no-such-job";
	}
	cancel->cb(&absent, cancel->arg);
	g_free(cancel);
}

/*
 * Records the cancel of a job that the pool does not have. Its submission may
 * still be on its way, for instance from another process that repeats it, and
 * must not be started once the cancel has been acknowledged.
 */
static void
cancel_first(sched_pool_t *pool, const sched_queue_ref_t *queue,
    sched_job_t *job, sched_response_cb_t cb, void *arg)
{
	early_cancel_t *cancel = g_new(early_cancel_t, 1);

	cancel->cb = cb;
	cancel->arg = arg;
	if (job->queue == NULL) {
		job->queue = g_strdup(queue->name);
		sched_job_set_queue_key(
		    pool, job, queue->key == NULL ? "" : queue->key);
		sched_job_set_team(
		    pool, job, queue->team == NULL ? "" : queue->team);
		job->cancelled_first = true;
		job->state = GW__JOB_STATE__JOB_CANCELLED;
		job->finished_wall_ms = pool->wall_ms;
		job->ended_us = gw_clock_now_us(pool->clock);
		g_queue_push_tail(pool->ended, job);
		gw_log(GW_EV_CANCELLED_FIRST, "job=%s pool=%s queue=%s",
		    job->id, pool->name, job->queue);
	}
	sched_job_wait_for_record(pool, job, on_cancel_recorded, cancel);
}

/*
 * Cancels a job. Replies to the caller once that is in the store.
 */
void
sched_pool_cancel(sched_pool_t *pool, const sched_queue_ref_t *queue,
    const char *id, sched_response_cb_t cb, void *arg)
{
	const sched_response_t ok = {.outcome = GW__CALL_OUTCOME__CALL_OK};
	const sched_response_t absent = {
	    .outcome = GW__CALL_OUTCOME__CALL_ABSENT, .reason = "no-such-job"};
	const sched_response_t moving = {
	    .outcome = GW__CALL_OUTCOME__CALL_REFUSED, .reason = "job-moving"};
	sched_job_t *job = find_job(pool, queue, id);
	sched_response_t elsewhere;

	if (sched_transfer_find(pool, id, &elsewhere)) {
		cb(&elsewhere, arg);
		return;
	}
	if (job == NULL && sched_pool_holds_job(pool, id)) {
		cb(&absent, arg);
		return;
	}
	if (job == NULL && sched_pool_holds_part(pool, id)) {
		cb(&moving, arg);
		return;
	}
	if (job == NULL)
		job = sched_job_new(pool, id);
	if (job->queue == NULL || job->cancelled_first) {
		cancel_first(pool, queue, job, cb, arg);
		return;
	}
	if (job->move_to[0] != '\0') {
		cb(&moving, arg);
		return;
	}
	if (job->recorded >= GW__JOB_STATE__JOB_COMPLETED) {
		cb(&ok, arg);
		return;
	}
	if (!sched_job_has_ended(job))
		sched_job_end(pool, job, GW__JOB_STATE__JOB_CANCELLED);
	sched_job_wait_for_record(pool, job, cb, arg);
}

/*
 * Returns a job's state. A final state is reported only once it is in the
 * store; until then the job is reported as queued or running.
 */
sched_response_t
sched_pool_state(
    const sched_pool_t *pool, const sched_queue_ref_t *queue, const char *id)
{
	sched_response_t response = {.outcome = GW__CALL_OUTCOME__CALL_OK};
	const sched_job_t *job = find_job(pool, queue, id);

	if (sched_transfer_find(pool, id, &response))
		return response;
	if (job == NULL || !job->spec_recorded || job->cancelled_first) {
		response.outcome = GW__CALL_OUTCOME__CALL_ABSENT;
		response.reason = "no-such-job";
		return response;
	}
	if (job->recorded >= GW__JOB_STATE__JOB_COMPLETED)
		response.state = job->recorded;
	else
		response.state = job->started ? GW__JOB_STATE__JOB_RUNNING
					      : GW__JOB_STATE__JOB_QUEUED;
	return response;
}

/*
 * Counts the recorded jobs of a queue of which no task has started.
 */
uint32_t
sched_pool_count_pending(
    const sched_pool_t *pool, const sched_queue_ref_t *queue)
{
	uint32_t pending = 0;

	for (guint i = 0; i < pool->open->len; i++) {
		const sched_job_t *job = pool->open->pdata[i];

		pending += !job->started && job->spec_recorded &&
		    is_of_queue(job, queue);
	}
	return pending;
}
