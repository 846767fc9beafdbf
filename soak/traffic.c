#include <stdio.h>
#include <string.h>

#include "soak.h"

#define TICK_MS 25
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_GONE 410
/* Time between two rounds of the last questions of the run. */
#define ASK_AGAIN_MS 50
/* A submission is sent again within this time, also after its response. */
#define RESEND_MAX_MS 4000
/* A job that lasts may be cancelled from this time on. */
#define CANCEL_MIN_MS 3000

typedef struct {
	soak_t *soak;
	job_t *job;
} call_t;

static gw_timer_t timer, ask_timer;

static bool
call(soak_t *soak, job_t *job, const char *method, const char *body,
    caller_done_t on_done)
{
	g_autofree char *path =
	    g_strdup_printf("/q%u/%s", job->pool + 1, job->id);
	call_t *arg = g_new0(call_t, 1);

	arg->soak = soak;
	arg->job = job;
	if (clients_send(soak, method, path,
		teams_key(soak, job, strcmp(method, "POST") == 0), body,
		on_done, arg))
		return true;
	g_free(arg);
	return false;
}

static void
on_submitted(const caller_result_t *result, void *arg)
{
	g_autofree call_t *done = arg;
	soak_t *soak = done->soak;
	job_t *job = done->job;

	if (result->status != STATUS_OK) {
		soak->refused++;
		return;
	}
	soak->accepted += !job->accepted;
	if (!job->accepted) {
		job->accepted_ms = soak_now_ms();
		teams_check_accepted(soak, job);
	}
	job->accepted = true;
}

static char *
job_body(const soak_t *soak, const job_t *job)
{
	bool is_wide = soak->shard_count > 1;

	switch (job->kind) {
	case JOB_LASTING:
	case JOB_CANCELLED:
		return g_strdup_printf(
		    "{\"spec\":\"lasting cpu=1000\",\"steps\":[{\"count\":%u,"
		    "\"cpu\":1000,\"mem_mb\":%u,\"estimated_ms\":150,"
		    "\"daemon\":true,\"anti_affinity\":1}]}",
		    job->tasks,
		    is_wide && job->kind == JOB_LASTING ? WIDE_LASTING_MB
							: 100);
	case JOB_STEPS:
		return g_strdup("{\"spec\":\"short cpu=500 ms=400\",\"steps\":["
				"{\"count\":2,\"cpu\":500,\"mem_mb\":100,"
				"\"estimated_ms\":400},{\"count\":1,"
				"\"cpu\":500,\"mem_mb\":100,"
				"\"estimated_ms\":400,\"after\":[0]}]}");
	case JOB_GANG:
		return g_strdup(
		    "{\"spec\":\"short cpu=500 ms=600 gang=2\",\"steps\":["
		    "{\"count\":2,\"cpu\":500,\"mem_mb\":100,"
		    "\"estimated_ms\":600,\"gang\":true}]}");
	default:
		return g_strdup_printf(
		    "{\"spec\":\"%s cpu=500 ms=%u\",\"steps\":[{\"count\":%u,"
		    "\"cpu\":500,\"mem_mb\":%u,\"estimated_ms\":800}]}",
		    job->kind == JOB_FAILING ? "failing" : "short",
		    job->kind == JOB_FAILING ? 200 : 800, job->tasks,
		    is_wide ? WIDE_SHORT_MB : 100);
	}
}

static void
submit(soak_t *soak, job_t *job)
{
	g_autofree char *body = job_body(soak, job);

	if (job->sent_ms == 0)
		job->sent_ms = soak_now_ms();
	(void)call(soak, job, "POST", body, on_submitted);
}

static void
on_cancelled(const caller_result_t *result, void *arg)
{
	g_free(arg);
	(void)result;
}

static void
handle_state(soak_t *soak, job_t *job, const char *body)
{
	bool lasts = job->kind == JOB_LASTING || job->kind == JOB_CANCELLED;

	job->asked = true;
	if (strstr(body, "completed") != NULL) {
		if (!job->ended && !lasts)
			check_completed(soak, job);
		else if (lasts)
			soak_violation(soak, job->id,
			    "MIXED job=%s lasts and is completed", job->id);
	} else if (strstr(body, "failed") != NULL) {
		if (lasts)
			soak_violation(soak, job->id,
			    "LOST job=%s lasts and is failed", job->id);
		else if (!job->ended && job->kind != JOB_FAILING)
			check_failed(soak, job);
	} else if (strstr(body, "cancelled") != NULL) {
		if (!job->cancel_sent)
			soak_violation(soak, job->id,
			    "LOST job=%s is cancelled by nobody", job->id);
	} else {
		return;
	}
	job->ended = true;
}

static void
on_state(const caller_result_t *result, void *arg)
{
	g_autofree call_t *done = arg;
	soak_t *soak = done->soak;
	job_t *job = done->job;

	if ((result->status == STATUS_GONE && !job->cancel_sent) ||
	    result->status == STATUS_NOT_FOUND)
		soak_violation(soak, job->id, "UNKNOWN job=%s status=%d",
		    job->id, result->status);
	else if (result->status == STATUS_OK)
		handle_state(soak, job, result->body);
}

static job_t *
new_job(soak_t *soak, uint32_t pool, job_kind_t kind)
{
	job_t *job = g_new0(job_t, 1);

	(void)snprintf(
	    job->id, sizeof(job->id), "%016x", 0x1000 + soak->jobs->len);
	job->pool = pool;
	job->kind = kind;
	g_ptr_array_add(soak->jobs, job);
	return job;
}

/*
 * Draws a job that does not last, or one that is cancelled later.
 */
static void
submit_new(soak_t *soak, uint32_t pool)
{
	static const job_kind_t kinds[] = {JOB_SHORT, JOB_SHORT, JOB_SHORT,
	    JOB_SHORT, JOB_SHORT, JOB_STEPS, JOB_STEPS, JOB_GANG, JOB_FAILING,
	    JOB_CANCELLED};
	job_kind_t kind = kinds[g_random_int_range(0, G_N_ELEMENTS(kinds))];
	job_t *job;

	if (kind == JOB_CANCELLED && g_random_int_range(0, 4) > 0)
		kind = JOB_SHORT;
	job = new_job(soak, pool, kind);
	if (kind == JOB_STEPS)
		job->tasks = 3;
	else if (kind == JOB_GANG || kind == JOB_CANCELLED)
		job->tasks = 1;
	else
		job->tasks = (uint32_t)g_random_int_range(1, 4);
	teams_draw_job(soak, job);
	submit(soak, job);
}

/*
 * Does with a job what a client does: asks for its state, hands it in again, or
 * cancels it.
 */
static void
call_again(soak_t *soak, job_t *job)
{
	uint64_t now_ms = soak_now_ms();

	if (now_ms - job->sent_ms < RESEND_MAX_MS && !job->cancel_sent &&
	    g_random_int_range(0, 4) == 0) {
		submit(soak, job);
	} else if (job->accepted && job->kind == JOB_CANCELLED &&
	    now_ms - job->accepted_ms > CANCEL_MIN_MS) {
		if (call(soak, job, "DELETE", NULL, on_cancelled))
			job->cancel_sent = true;
	} else if (job->accepted) {
		(void)call(soak, job, "GET", NULL, on_state);
	}
}

/*
 * Submits the jobs that last until they are accepted, others while there is
 * room, and calls again for one of all jobs and one of the latest.
 */
static void
on_tick(gw_timer_t *tick, void *arg)
{
	soak_t *soak = arg;
	gint count;

	if (soak->traffic_over)
		return;
	gw_timer_start(soak->rt, tick, TICK_MS * GW_US_PER_MS, on_tick, soak);
	for (guint i = 0; i < soak->lasting_count; i++) {
		job_t *job = soak->jobs->pdata[i];

		if (!job->accepted && g_random_int_range(0, 20) == 0)
			submit(soak, job);
	}
	for (uint32_t i = 0; i < soak->pool_count; i++)
		if (soak->loads[i].load_percent < soak->fill_percent &&
		    g_random_int_range(0, 2) == 0)
			submit_new(soak, i);
	count = (gint)soak->jobs->len;
	call_again(soak, soak->jobs->pdata[g_random_int_range(0, count)]);
	call_again(soak,
	    soak->jobs->pdata[g_random_int_range(MAX(0, count - 30), count)]);
}

/*
 * Starts the clients' jobs. They answer to what the system does, so they do not
 * draw from the seed.
 */
void
traffic_start(soak_t *soak)
{
	for (guint i = 0; i < soak->lasting_count; i++)
		new_job(soak, i % soak->pool_count, JOB_LASTING)->tasks =
		    soak->shard_count > 1 ? 1 : LASTING_TASKS;
	on_tick(&timer, soak);
}

static bool
has_no_state(const job_t *job)
{
	return job->accepted && !job->asked;
}

static bool
is_open(const job_t *job)
{
	return job->accepted && !job->ended && job->kind != JOB_LASTING &&
	    job->kind != JOB_CANCELLED;
}

/*
 * Asks for the state of the jobs for which should_ask() is true, as long as
 * there is an idle client.
 */
static void
ask_those(soak_t *soak, bool (*should_ask)(const job_t *))
{
	for (guint i = 0; i < soak->jobs->len; i++) {
		job_t *job = soak->jobs->pdata[i];

		if (should_ask(job) && !call(soak, job, "GET", NULL, on_state))
			return;
	}
}

static void
on_ask(gw_timer_t *tick, void *arg)
{
	soak_t *soak = arg;

	ask_those(soak, has_no_state);
	ask_those(soak, is_open);
	gw_timer_start(
	    soak->rt, tick, ASK_AGAIN_MS * GW_US_PER_MS, on_ask, soak);
}

/*
 * Asks for the state of each accepted job until there is a response, and until
 * jobs that do not last have ended.
 */
void
traffic_ask_all(soak_t *soak)
{
	for (guint i = 0; i < soak->jobs->len; i++)
		((job_t *)soak->jobs->pdata[i])->asked = false;
	on_ask(&ask_timer, soak);
}
