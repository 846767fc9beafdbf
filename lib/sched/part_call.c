#include "gw/log.h"
#include "sched/impl.h"

/* The calls between the owners of shards that have tasks of one job; see
 * part.c. */

#define RETRY_MAX_US (3 * GW_US_PER_S)
/*
 * A part asks so often whether its job is still open, and while tasks are to be
 * stopped on purpose, for the permission to.
 */
#define RECHECK_US GW_US_PER_S
#define RECHECK_LEAVING_US (250 * GW_US_PER_MS)
/*
 * A part starts nothing unless its job was known to be open within this time,
 * so that a cancel takes effect even if the part cannot be told.
 */
#define CONFIRMED_MAX_US (3 * GW_US_PER_S)
/* A call may take this long to arrive. */
#define CALL_AGE_MAX_US (2 * GW_US_PER_S)

static void
end_part(sched_pool_t *pool, sched_job_t *job)
{
	if (!sched_job_has_ended(job))
		sched_job_end(pool, job, GW__JOB_STATE__JOB_CANCELLED);
}

/*
 * Replies once what is known of the job is in the store.
 */
static void
reply_recorded(
    sched_pool_t *pool, sched_job_t *job, sched_response_cb_t cb, void *arg)
{
	const sched_response_t ok = {.outcome = GW__CALL_OUTCOME__CALL_OK};

	if (!job->expired &&
	    (job->dirty || job->in_batch || job->aside_until_us != 0))
		sched_job_wait_for_record(pool, job, cb, arg);
	else
		cb(&ok, arg);
}

static void
confirm(sched_job_t *job, uint64_t at_us)
{
	sched_peer_t *peer = job->peers->pdata[0];

	peer->confirmed_us = MAX(peer->confirmed_us, at_us);
}

/*
 * Returns whether the job is known to be open as far as this shard is
 * concerned.
 */
bool
sched_part_may_start(const sched_job_t *job, uint64_t now_us)
{
	const sched_peer_t *peer;

	if (!sched_job_is_part(job) || job->peers == NULL)
		return true;
	peer = job->peers->pdata[0];
	return peer->confirmed_us != 0 &&
	    gw_elapsed_us(now_us, peer->confirmed_us) < CONFIRMED_MAX_US;
}

void
sched_pool_part_told(sched_pool_t *pool, const char *id, bool is_ended,
    sched_response_cb_t cb, void *arg)
{
	const sched_response_t ok = {.outcome = GW__CALL_OUTCOME__CALL_OK};
	sched_job_t *job = g_hash_table_lookup(pool->jobs, id);

	if (job == NULL || (!sched_job_is_part(job) && !is_ended)) {
		cb(&ok, arg);
		return;
	}
	/* An owner that knows no parts wrote it as a job of this shard. */
	if (is_ended)
		end_part(pool, job);
	else
		confirm(job, gw_clock_now_us(pool->clock) - CALL_AGE_MAX_US);
	reply_recorded(pool, job, cb, arg);
}

/*
 * Notes what the shard has of the job. One that an owner which knew no parts
 * did not name in the record is named from now on.
 */
static void
take_report(sched_pool_t *pool, sched_job_t *job, const char *from,
    const GArray *steps, GArray *may_stop)
{
	uint64_t now_us = gw_clock_now_us(pool->clock);
	sched_peer_t *peer = sched_part_find_peer(job, from);

	if (peer == NULL) {
		sched_part_tell(pool, job, from);
		sched_job_mark_dirty(pool, job);
		peer = sched_part_find_peer(job, from);
	}
	sched_part_steps_report(peer, steps, now_us);
	if (!sched_job_has_ended(job))
		sched_part_steps_grant(job, peer, may_stop, now_us);
}

void
sched_pool_part_asks(sched_pool_t *pool, const char *id, const char *from,
    const GArray *steps, GArray *may_stop, sched_response_cb_t cb, void *arg)
{
	const sched_response_t absent = {
	    .outcome = GW__CALL_OUTCOME__CALL_ABSENT, .reason = "no-such-job"};
	const sched_response_t moving = {
	    .outcome = GW__CALL_OUTCOME__CALL_REFUSED, .reason = "job-moving"};
	sched_job_t *job = sched_pool_find_job(pool, id);

	if (job == NULL || job->recorded >= GW__JOB_STATE__JOB_COMPLETED) {
		cb(&absent, arg);
		return;
	}
	if (job->move_to[0] != '\0') {
		cb(&moving, arg);
		return;
	}
	take_report(pool, job, from, steps, may_stop);
	reply_recorded(pool, job, cb, arg);
}

static void
log_told(const sched_pool_t *pool, const sched_job_t *job,
    const sched_peer_t *peer, Gw__CallOutcome outcome)
{
	gw_log(GW_EV_PART_TOLD,
	    "job=%s pool=%s to=%s ended=%d outcome=%d failures=%u", job->id,
	    pool->name, peer->shard, sched_job_has_ended(job), outcome,
	    peer->failures);
}

static void
call_failed(const sched_pool_t *pool, const sched_job_t *job,
    sched_peer_t *peer, Gw__CallOutcome outcome, uint64_t now_us)
{
	if (peer->failures++ == 0)
		log_told(pool, job, peer, outcome);
	peer->due_us = now_us + peer->retry_us;
	peer->retry_us = MIN(2 * peer->retry_us, RETRY_MAX_US);
}

static void
call_succeeded(sched_pool_t *pool, sched_job_t *job, sched_peer_t *peer)
{
	if (peer->failures > 0)
		log_told(pool, job, peer, GW__CALL_OUTCOME__CALL_OK);
	peer->failures = 0;
	peer->retry_us = SCHED_PEER_RETRY_US;
	if (sched_job_is_part(job)) {
		confirm(job, peer->sent_us);
	} else if (!sched_job_has_ended(job)) {
		/* The other shard has recorded the tasks, and runs them. */
		job->started = true;
		job->state = GW__JOB_STATE__JOB_RUNNING;
	}
	if (peer->version != peer->sent_version)
		return;
	peer->is_told = true;
	if (sched_job_is_part(job) || !sched_job_has_ended(job))
		return;
	g_ptr_array_remove(job->peers, peer);
	if (job->peers->len > 0)
		return;
	sched_part_forget_peers(pool, job);
	if (job->is_overdue_expiry) {
		job->expired = true;
		sched_job_mark_dirty(pool, job);
	}
}

void
sched_pool_apply_part_result(sched_pool_t *pool, const char *id,
    const char *shard, Gw__CallOutcome outcome, const GArray *may_stop)
{
	sched_job_t *job = g_hash_table_lookup(pool->jobs, id);
	sched_peer_t *peer =
	    job == NULL ? NULL : sched_part_find_peer(job, shard);
	uint64_t now_us = gw_clock_now_us(pool->clock);

	if (peer == NULL)
		return;
	peer->in_flight = false;
	if (sched_job_is_part(job) && !sched_job_has_ended(job))
		sched_part_steps_allow(job, may_stop, peer->sent_us, now_us);
	if (outcome == GW__CALL_OUTCOME__CALL_ABSENT && sched_job_is_part(job))
		end_part(pool, job);
	else if (outcome == GW__CALL_OUTCOME__CALL_OK)
		call_succeeded(pool, job, peer);
	else
		call_failed(pool, job, peer, outcome, now_us);
}

/*
 * Returns whether the shard is to be told of the job now. It is told of what is
 * in the store only.
 */
static bool
must_be_told(const sched_job_t *job, const sched_peer_t *peer)
{
	return !peer->is_told &&
	    (!sched_job_has_ended(job) ||
		job->recorded >= GW__JOB_STATE__JOB_COMPLETED);
}

static void
call_peer(sched_pool_t *pool, const sched_job_t *job, sched_peer_t *peer,
    const GArray *steps, uint64_t now_us)
{
	const sched_part_call_t call = {.shard = peer->shard,
	    .id = job->id,
	    .is_ended = sched_job_has_ended(job),
	    .is_part = sched_job_is_part(job),
	    .has_rows = !peer->is_told,
	    .steps = steps};

	peer->in_flight = true;
	peer->sent_us = now_us;
	peer->sent_version = peer->version;
	pool->ops->tell_part(&call, pool->arg);
}

/*
 * Calls the owner of the job on behalf of a part.
 */
static void
ask_owner(sched_pool_t *pool, sched_job_t *job, uint64_t now_us)
{
	sched_peer_t *peer = job->peers->pdata[0];
	g_autoptr(GArray) steps = NULL;

	if (sched_job_has_ended(job) || peer->in_flight ||
	    (peer->failures > 0 && now_us < peer->due_us))
		return;
	steps = sched_part_steps_new(job, now_us);
	if (peer->is_told && peer->sent_us != 0 &&
	    gw_elapsed_us(now_us, peer->sent_us) <
		(sched_part_steps_have_leaving(steps) ? RECHECK_LEAVING_US
						      : RECHECK_US))
		return;
	call_peer(pool, job, peer, steps, now_us);
}

/*
 * Tells the other shards of the jobs of which they have a part, or are to get
 * one, and asks about the jobs of which this shard has a part.
 */
void
sched_part_tick(sched_pool_t *pool, uint64_t now_us)
{
	g_autoptr(GPtrArray) split = g_ptr_array_copy(pool->split, NULL, NULL);

	for (guint i = 0; i < split->len; i++) {
		sched_job_t *job = split->pdata[i];

		if (sched_job_is_part(job)) {
			sched_part_return_hopeless(pool, job, now_us);
			ask_owner(pool, job, now_us);
			continue;
		}
		for (guint k = 0; job->peers != NULL && k < job->peers->len;
		     k++) {
			sched_peer_t *peer = job->peers->pdata[k];

			if (!peer->in_flight && now_us >= peer->due_us &&
			    must_be_told(job, peer))
				call_peer(pool, job, peer, NULL, now_us);
		}
	}
}
