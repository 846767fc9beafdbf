#include <stdlib.h>

#include "gw/log.h"
#include "jobs_state.h"

static void
reply(fleet_t *fleet, job_waiter_t *waiter, int status, const char *title,
    const char *text)
{
	fleet->jobs->ops->reply(
	    fleet->jobs->ctx, waiter->request, status, title, text);
	waiter->request = NULL;
}

/*
 * Replies that the change is in the store.
 */
void
job_reply_committed(fleet_t *fleet, job_waiter_t *waiter)
{
	const job_t *job = jobs_find(fleet, waiter->id);
	json_t *answer;
	char *text;

	answer = json_pack("{s:s, s:s, s:b, s:b}", "id", waiter->id, "state",
	    job == NULL ? "unknown" : job_state_name(job->state), "cancelling",
	    job != NULL && job->cancelling, "repeated", waiter->repeated);
	text = json_dumps(answer, JSON_COMPACT);
	reply(fleet, waiter, 200, NULL, text);
	free(text);
	json_decref(answer);
	if (waiter->creates_job && !waiter->repeated) {
		fleet->jobs->metrics.accepted->value++;
		gw_log(GW_EV_JOB_ACCEPTED, "job=%s shard=%u", waiter->id,
		    waiter->shard);
	}
}

/*
 * Replies that the outcome of the write is unknown; repeating the request is
 * safe.
 */
void
job_reply_unknown(fleet_t *fleet, job_waiter_t *waiter)
{
	reply(fleet, waiter, 503, "unknown",
	    "the store has not answered; the job may be recorded; repeat the "
	    "request with the same id");
	gw_log(GW_EV_JOB_NOT_ACCEPTED,
	    "job=%s outcome=unknown reason=\"the store did not answer\"",
	    waiter->id);
}

/*
 * Replies that nothing was recorded, and why.
 */
void
job_reply_refused(fleet_t *fleet, job_waiter_t *waiter, const char *why)
{
	g_autofree char *text =
	    g_strdup_printf("not accepted, nothing was recorded: %s", why);

	fleet->jobs->metrics.refused->value++;
	gw_log(GW_EV_JOB_NOT_ACCEPTED,
	    "job=%s outcome=not-accepted reason=\"%s\"", waiter->id, why);
	reply(fleet, waiter, 503, "not accepted", text);
}

/*
 * Removes the waiters that have been replied to.
 */
void
job_waiters_remove_answered(jobs_t *jobs)
{
	for (guint i = jobs->waiters->len; i > 0; i--)
		if (((job_waiter_t *)jobs->waiters->pdata[i - 1])->request ==
		    NULL)
			g_ptr_array_remove_index(jobs->waiters, i - 1);
}

/*
 * Replies "unknown" to requests that waited longer than JOB_COMMIT_TIMEOUT_MS.
 */
void
job_waiters_expire(fleet_t *fleet)
{
	uint64_t now_us = fleet_now_us(fleet);
	jobs_t *jobs = fleet->jobs;

	for (guint i = 0; i < jobs->waiters->len; i++) {
		job_waiter_t *waiter = jobs->waiters->pdata[i];

		if (now_us >=
		    waiter->since_us + JOB_COMMIT_TIMEOUT_MS * GW_US_PER_MS)
			job_reply_unknown(fleet, waiter);
	}
	job_waiters_remove_answered(jobs);
}
