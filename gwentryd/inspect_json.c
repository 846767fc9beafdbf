#include "inspect_json.h"

static void
set_number(json_t *object, const char *name, uint64_t value)
{
	(void)json_object_set_new(
	    object, name, json_integer((json_int_t)value));
}

static void
set_text(json_t *object, const char *name, const char *value)
{
	(void)json_object_set_new(object, name, json_string(value));
}

static void
set_flag(json_t *object, const char *name, bool value)
{
	(void)json_object_set_new(object, name, json_boolean(value));
}

static void
set_resources(json_t *object, const char *name, const sched_resources_t *value)
{
	json_t *members = json_object();

	set_number(members, "cpu_millis", value->cpu_millis);
	set_number(members, "memory_mib", value->memory_mib);
	set_number(members, "accelerators", value->accelerators);
	(void)json_object_set_new(object, name, members);
}

json_t *
inspect_json_team(const sched_team_view_t *team)
{
	json_t *object = json_object();
	json_t *refused = json_object();

	set_text(object, "team", team->name);
	set_flag(object, "configured", team->is_configured);
	set_number(object, "weight_permille", team->weight_permille);
	set_number(object, "rate_permille", team->rate_permille);
	set_resources(object, "running", &team->running);
	set_resources(object, "held", &team->held);
	set_resources(object, "quota", &team->quota);
	set_flag(object, "lacking", team->is_lacking);
	set_number(object, "waiting", team->waiting);
	set_number(object, "submitted", team->submitted);
	set_number(refused, "share", team->refused_by_share);
	set_number(refused, "overload", team->refused_by_overload);
	(void)json_object_set_new(object, "refused", refused);
	return object;
}

static json_t *
task_name(const sched_task_ref_t *ref)
{
	return json_sprintf("%u.%u.%u", ref->occurrence, ref->step, ref->index);
}

static json_t *
format_run(const sched_run_view_t *run)
{
	json_t *object = json_object();

	(void)json_object_set_new(object, "task", task_name(&run->ref));
	set_number(object, "run", run->run);
	set_text(object, "instance", run->instance);
	set_text(object, "state", run->state);
	set_text(object, "reason", sched_wait_name(run->reason));
	set_number(object, "failures", run->failures);
	set_number(object, "percent", run->percent);
	return object;
}

static json_t *
format_wait(const sched_wait_view_t *wait)
{
	json_t *object = json_object(), *instances = json_object();

	set_text(object, "reason", sched_wait_name(wait->finding.reason));
	set_number(object, "tasks", wait->tasks);
	(void)json_object_set_new(object, "first", task_name(&wait->first));
	set_number(object, "left_ms", wait->left_ms);
	for (int i = 0; i < SCHED_EXCLUSIONS; i++)
		if (wait->finding.excluded[i] > 0)
			set_number(instances,
			    sched_exclusion_name((sched_exclusion_t)i),
			    wait->finding.excluded[i]);
	(void)json_object_set_new(object, "instances", instances);
	return object;
}

json_t *
inspect_json_job(const sched_job_view_t *job)
{
	json_t *object = json_object();
	json_t *waits = json_array(), *runs = json_array();

	set_text(object, "state", job->state);
	set_text(object, "queue", job->queue);
	set_text(object, "team", job->team);
	set_flag(object, "recorded", job->is_recorded);
	set_number(object, "age_ms", job->age_ms);
	set_number(object, "objective_ms", job->objective_ms);
	set_text(object, "rank", job->rank);
	set_flag(object, "beyond_share", job->is_beyond_share);
	set_number(object, "tasks", job->tasks);
	set_number(object, "done", job->done);
	if (job->part_of[0] != '\0')
		set_text(object, "part_of", job->part_of);
	if (job->away > 0)
		set_number(object, "away", job->away);
	set_number(object, "placed", job->placed);
	set_number(object, "runs", job->run_count);
	set_number(object, "failures", job->failures);
	set_number(object, "crashes", job->crashes);
	set_number(object, "instances", job->instances);
	for (guint i = 0; i < job->waits->len; i++)
		(void)json_array_append_new(waits,
		    format_wait(
			&g_array_index(job->waits, sched_wait_view_t, i)));
	for (guint i = 0; i < job->runs->len; i++)
		(void)json_array_append_new(runs,
		    format_run(&g_array_index(job->runs, sched_run_view_t, i)));
	(void)json_object_set_new(object, "waits", waits);
	(void)json_object_set_new(object, "where", runs);
	return object;
}
