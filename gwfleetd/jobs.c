#include <stdlib.h>
#include <string.h>

#include "gw/log.h"
#include "jobs_state.h"

static void
add_metrics(job_metrics_t *m, gw_metrics_t *set)
{
	char labels[64];

	for (int i = 0; i < JOB_STATES; i++) {
		(void)g_snprintf(labels, sizeof(labels), "state=\"%s\"",
		    job_state_name((job_state_t)i));
		m->states[i] = gw_metrics_add(set, GW_METRIC_GAUGE,
		    "gwfleetd_jobs", labels, "jobs recorded, by state");
	}
	m->accepted = gw_metrics_add(set, GW_METRIC_COUNTER,
	    "gwfleetd_jobs_accepted_total", "",
	    "jobs recorded and acknowledged");
	m->repeated = gw_metrics_add(set, GW_METRIC_COUNTER,
	    "gwfleetd_jobs_repeated_total", "", "submissions of a known job");
	m->refused = gw_metrics_add(set, GW_METRIC_COUNTER,
	    "gwfleetd_jobs_refused_total", "", "submissions not accepted");
	m->writes = gw_metrics_add(set, GW_METRIC_COUNTER,
	    "gwfleetd_job_writes_total", "", "group commits of job records");
	m->starts =
	    gw_metrics_add(set, GW_METRIC_COUNTER, "gwfleetd_job_starts_total",
		"", "tasks that the platform confirmed");
	m->urgent_start_us = gw_metrics_add_histogram(set,
	    "gwfleetd_urgent_start_us", "",
	    "time from receipt of an urgent job to its task's confirmation");
}

/*
 * Enables jobs in the state machine. ops and ctx must outlive it.
 */
void
jobs_attach(
    fleet_t *fleet, const job_ops_t *ops, void *ctx, gw_metrics_t *metrics)
{
	jobs_t *jobs = g_new0(jobs_t, 1);

	fleet->jobs = jobs;
	jobs->ops = ops;
	jobs->ctx = ctx;
	add_metrics(&jobs->metrics, metrics);
	jobs->by_id =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	jobs->nodes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	jobs->waiters = g_ptr_array_new_with_free_func(g_free);
	job_commit_init(fleet);
}

void
jobs_free(jobs_t *jobs)
{
	if (jobs == NULL)
		return;
	for (guint i = 0; i < JOB_SHARDS; i++)
		record_clear(&jobs->shards[i].record);
	place_free(jobs->place);
	g_ptr_array_free(jobs->waiters, TRUE);
	g_hash_table_destroy(jobs->nodes);
	g_hash_table_destroy(jobs->by_id);
	g_free(jobs);
}

/*
 * Begins a term as planner. Jobs are accepted and placed once all records have
 * been read.
 */
void
jobs_begin_term(fleet_t *fleet)
{
	if (fleet->jobs == NULL)
		return;
	fleet->jobs->place = place_new(&place_fair);
	fleet->jobs->adopted = false;
	fleet->jobs->tasks_requested_us = 0;
	fleet->jobs->tasks_call++;
	job_commit_read(fleet);
}

/*
 * Ends the term as planner. Tasks keep running under their leases, which the
 * next planner renews.
 */
void
jobs_end_term(fleet_t *fleet)
{
	jobs_t *jobs = fleet->jobs;

	if (jobs == NULL)
		return;
	job_commit_end(fleet);
	place_free(jobs->place);
	jobs->place = NULL;
	g_hash_table_remove_all(jobs->nodes);
	for (int i = 0; i < JOB_STATES; i++)
		jobs->metrics.states[i]->value = 0;
}

/*
 * Returns whether this process is the planner and has read all shards.
 */
bool
jobs_ready(const fleet_t *fleet)
{
	return fleet->jobs != NULL && fleet_is_planner(fleet) &&
	    fleet->jobs->loaded == JOB_SHARDS;
}

/*
 * Returns the job with the id, or NULL.
 */
job_t *
jobs_find(const fleet_t *fleet, const char *id)
{
	return g_hash_table_lookup(fleet->jobs->by_id, id);
}

static void
count_states(jobs_t *jobs)
{
	uint64_t counts[JOB_STATES] = {0};
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, jobs->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		counts[((job_t *)value)->state]++;
	for (int i = 0; i < JOB_STATES; i++)
		jobs->metrics.states[i]->value = counts[i];
}

/*
 * Runs what is due: store, then placement, then tasks. In this order a job that
 * was recorded just now starts in the same tick.
 */
void
jobs_tick(fleet_t *fleet)
{
	if (fleet->jobs == NULL)
		return;
	job_commit_tick(fleet);
	if (!jobs_ready(fleet))
		return;
	job_place_schedule(fleet);
	job_task_tick(fleet);
	job_commit_flush(fleet);
	count_states(fleet->jobs);
}

static void
reply(const fleet_t *fleet, void *request, int status, const char *title,
    const char *text)
{
	fleet->jobs->ops->reply(fleet->jobs->ctx, request, status, title, text);
}

static void
refuse(fleet_t *fleet, void *request, int status, const char *id,
    const char *reason)
{
	fleet->jobs->metrics.refused->value++;
	gw_log(GW_EV_JOB_NOT_ACCEPTED,
	    "job=%s outcome=not-accepted reason=\"%s\"", id, reason);
	reply(fleet, request, status, "not accepted", reason);
}

/*
 * Replies to the submission of an id that is known; the job is not recorded
 * again.
 */
static void
reply_repeated(
    fleet_t *fleet, const job_t *job, const job_spec_t *spec, void *request)
{
	if (!job_spec_equal(&job->spec, spec)) {
		refuse(fleet, request, 409, spec->id,
		    "id: a different job with this id is known");
		return;
	}
	fleet->jobs->metrics.repeated->value++;
	job_wait_for_commit(fleet, job, request, !job->recorded, true);
}

static void
add_job(fleet_t *fleet, const job_spec_t *spec, void *request)
{
	job_t *job = job_new(spec);

	job->accepted_us = fleet_now_us(fleet);
	if (!job_commit_add(fleet, job)) {
		g_free(job);
		refuse(fleet, request, 503, spec->id,
		    "not accepted, nothing was recorded: all job records are "
		    "in use");
		return;
	}
	job_wait_for_commit(fleet, job, request, true, false);
}

static void
handle_submit(fleet_t *fleet, const fleet_msg_t *msg)
{
	json_t *body = json_loads(msg->job->text, JSON_REJECT_DUPLICATES, NULL);
	const job_t *known;
	job_spec_t spec;
	char reason[160];
	gw_err_t err;
	bool good = job_parse(&spec, body, &err);

	json_decref(body);
	if (!good) {
		refuse(fleet, msg->request, 400, "", err.text);
		return;
	}
	known = jobs_find(fleet, spec.id);
	if (known != NULL)
		reply_repeated(fleet, known, &spec, msg->request);
	else if (fleet->generation.manifest == NULL || fleet->list->len == 0)
		refuse(fleet, msg->request, 503, spec.id,
		    "not accepted, nothing was recorded: the manifest or the "
		    "platform's instance list has not been read yet");
	else if (job_can_never_run(fleet, &spec, reason, sizeof(reason)))
		refuse(fleet, msg->request, 422, spec.id, reason);
	else
		add_job(fleet, &spec, msg->request);
}

/*
 * Cancels a job. A waiting job ends at once; the task of a started one is
 * stopped once the cancellation is in the store.
 */
static void
handle_cancel(fleet_t *fleet, const fleet_msg_t *msg)
{
	job_t *job = jobs_find(fleet, msg->job->id);

	if (job == NULL) {
		reply(fleet, msg->request, 404, "no such job",
		    "no job with this id is known");
		return;
	}
	if (!job_ended(job) && !job->cancelling) {
		job->cancelling = true;
		if (job->state == JOB_WAITING)
			job_end(fleet, job, JOB_CANCELLED,
			    "cancelled before its start");
		else
			job_mark_changed(fleet, job);
	}
	job_wait_for_commit(fleet, job, msg->request, false, false);
}

static void
handle_request(fleet_t *fleet, const fleet_msg_t *msg)
{
	if (!fleet_is_planner(fleet)) {
		reply(fleet, msg->request, 409, "not the planner",
		    "this gwfleetd is not the planner; /v1/status names it");
		return;
	}
	if (!jobs_ready(fleet)) {
		reply(fleet, msg->request, 503, "not accepted",
		    "not accepted, nothing was recorded: the job records are "
		    "still being read");
		return;
	}
	if (msg->job->kind == JOB_SUBMIT)
		handle_submit(fleet, msg);
	else
		handle_cancel(fleet, msg);
}

/*
 * Handles a client's request or a reply of the platform.
 */
void
jobs_handle(fleet_t *fleet, const fleet_msg_t *msg)
{
	const job_msg_t *job = msg->job;

	if (fleet->jobs == NULL)
		return;
	if (job->kind == JOB_SUBMIT || job->kind == JOB_CANCEL) {
		handle_request(fleet, msg);
		return;
	}
	if (!jobs_ready(fleet))
		return;
	if (job->kind == JOB_TASKS)
		job_handle_tasks(fleet, job);
	else if (job->kind == JOB_USAGE)
		job_handle_usage(fleet, job);
	else if (job->kind == JOB_PUT)
		job_handle_put(fleet, job);
	else
		job_handle_operation(fleet, job);
	job_commit_flush(fleet);
}

static gint
compare_ids(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

/*
 * Returns all jobs, sorted by id. On a gwfleetd that is not the planner the
 * list is empty and "complete" is false.
 */
json_t *
fleet_jobs_json(const fleet_t *fleet)
{
	json_t *array = json_array();
	GList *ids;

	if (fleet->jobs != NULL) {
		ids = g_list_sort(
		    g_hash_table_get_keys(fleet->jobs->by_id), compare_ids);
		for (GList *l = ids; l != NULL; l = l->next)
			(void)json_array_append_new(
			    array, job_encode(jobs_find(fleet, l->data)));
		g_list_free(ids);
	}
	return json_pack("{s:s, s:s, s:b, s:o}", "data_centre",
	    fleet->config.data_centre, "planner", fleet->planner_id, "complete",
	    jobs_ready(fleet), "jobs", array);
}

/*
 * Returns the job, with the reason of the last decision about it.
 */
json_t *
jobs_explain_json(const fleet_t *fleet, const char *id)
{
	const job_t *job = fleet->jobs == NULL ? NULL : jobs_find(fleet, id);

	return json_pack(
	    "{s:o}", "job", job == NULL ? json_object() : job_encode(job));
}
