#include <string.h>

#include "fake_jobs.h"

static const char manifest_json[] =
    "{\"version\":1,"
    "\"teams\":[{\"name\":\"t\",\"weight\":1,\"quota\":{\"cpu_millis\":"
    "200000,\"memory_mib\":1000000,\"accelerators\":0}}],"
    "\"pools\":[{\"name\":\"a\",\"team\":\"t\",\"service\":\"sa\",\"spare\":"
    "false,\"data_centres\":{\"dc1\":{\"instances\":4,\"minimum\":1}},"
    "\"slots_per_instance\":8}],\"budgets\":[],\"lending\":[],"
    "\"routes\":[{\"path_prefix\":\"/\",\"pool\":\"a\",\"class\":\"quick\","
    "\"deadline_ms\":1000}],\"waves\":[]}";

/* A reply of the platform, not yet delivered to the node. */
typedef struct {
	node_t *node;
	job_msg_t msg;
	char id[GW_NAME_BYTES];
	char operation[16];
	json_t *list;
} fake_reply_t;

static fake_reply_t *
push_reply(job_port_t *port, job_msg_kind_t kind, const char *id, int status)
{
	fake_reply_t *a = g_new0(fake_reply_t, 1);

	a->node = port->node;
	a->msg.kind = kind;
	a->msg.status = status;
	a->msg.id = a->id;
	a->msg.operation = a->operation;
	g_strlcpy(a->id, id, sizeof(a->id));
	g_queue_push_tail(&port->scene->replies_pending, a);
	return a;
}

static void
update_task_states(jobs_scene_t *s)
{
	uint64_t now_us = gw_clock_now_us(&s->w->clock);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		fake_task_t *task = value;

		if (strcmp(task->state, "running") != 0)
			continue;
		if (now_us >= task->end_us)
			task->state = "finished";
		else if (now_us >= task->lease_end_us)
			task->state = "expired";
	}
}

static void
fake_tasks(void *ctx, uint64_t call)
{
	job_port_t *port = ctx;
	fake_reply_t *a = push_reply(port, JOB_TASKS, "", 200);
	json_t *array = json_array();
	GHashTableIter iter;
	gpointer id, value;

	update_task_states(port->scene);
	g_hash_table_iter_init(&iter, port->scene->tasks);
	while (g_hash_table_iter_next(&iter, &id, &value)) {
		const fake_task_t *task = value;

		(void)json_array_append_new(array,
		    json_pack("{s:s, s:s, s:i, s:i, s:i}", "id", id, "state",
			task->state, "share_percent", task->share_percent,
			"checkpoint", task->checkpoint, "checkpoint_left_ms",
			1000));
	}
	a->list = json_pack("{s:o}", "tasks", array);
	a->msg.list = a->list;
	a->msg.call = call;
}

static void
fake_usage(void *ctx, uint64_t call)
{
	fake_reply_t *a = push_reply(ctx, JOB_USAGE, "", 200);

	a->list = json_pack("{s:[]}", "instances");
	a->msg.list = a->list;
	a->msg.call = call;
}

static void
start_task(jobs_scene_t *s, const char *id, const char *text)
{
	json_t *body = json_loads(text, 0, NULL);
	fake_task_t *task = g_new0(fake_task_t, 1);

	task->started_us = gw_clock_now_us(&s->w->clock);
	task->state = "running";
	task->share_percent = 100;
	task->end_us = task->started_us +
	    (uint64_t)json_integer_value(json_object_get(body, "run_ms")) *
		GW_US_PER_MS;
	g_strlcpy(task->instance,
	    json_string_value(json_object_get(body, "instance")),
	    sizeof(task->instance));
	g_hash_table_insert(s->tasks, g_strdup(id), task);
	json_decref(body);
	s->starts++;
}

static void
fake_task_put(void *ctx, const char *id, const char *body)
{
	job_port_t *port = ctx;
	jobs_scene_t *s = port->scene;
	fake_task_t *task;

	update_task_states(s);
	if (s->drop_puts) {
		(void)push_reply(port, JOB_PUT, id, 0);
		return;
	}
	if (g_hash_table_lookup(s->tasks, id) == NULL)
		start_task(s, id, body);
	task = g_hash_table_lookup(s->tasks, id);
	task->lease_end_us = gw_clock_now_us(&s->w->clock) + 20 * GW_US_PER_S;
	(void)push_reply(port, JOB_PUT, id, s->lost_put_replies > 0 ? 0 : 200);
	s->lost_put_replies -= s->lost_put_replies > 0;
}

static void
fake_task_operate(
    void *ctx, const char *id, const char *operation, const char *body)
{
	job_port_t *port = ctx;
	fake_task_t *task;
	fake_reply_t *a;

	(void)body;
	update_task_states(port->scene);
	task = g_hash_table_lookup(port->scene->tasks, id);
	a = push_reply(port, JOB_OPERATED, id, task == NULL ? 404 : 200);
	g_strlcpy(a->operation, operation, sizeof(a->operation));
	if (task == NULL)
		return;
	if (strcmp(operation, "throttle") == 0)
		task->share_percent = 25;
	else if (strcmp(operation, "checkpoint") == 0)
		task->checkpoint++;
	else if (strcmp(task->state, "running") == 0)
		task->state = "stopped";
}

static void
fake_reply(
    void *ctx, void *request, int status, const char *title, const char *text)
{
	jobs_scene_t *s = ((job_port_t *)ctx)->scene;

	(void)request;
	(void)title;
	s->replies++;
	s->status = status;
	g_strlcpy(s->text, text, sizeof(s->text));
}

static const job_ops_t fake_ops = {
    fake_tasks, fake_usage, fake_task_put, fake_task_operate, fake_reply};

static void
add_node(jobs_scene_t *s, int i)
{
	job_port_t *port = &s->ports[i];

	port->scene = s;
	port->node = world_add_node(s->w);
	jobs_attach(port->node->fleet, &fake_ops, port, port->node->metrics);
}

static void
deliver(jobs_scene_t *s)
{
	fleet_msg_t msg = {.kind = FLEET_JOB};
	guint count = s->replies_pending.length;

	for (; count > 0; count--) {
		fake_reply_t *a = g_queue_pop_head(&s->replies_pending);

		msg.job = &a->msg;
		if (!a->node->paused)
			fleet_handle(a->node->fleet, &msg);
		json_decref(a->list);
		g_free(a);
	}
}

/*
 * Advances the time by ms. Replies of the platform are delivered after the step
 * in which the call was made.
 */
void
jobs_scene_run(jobs_scene_t *s, uint64_t ms)
{
	for (uint64_t t = 0; t < ms; t += WORLD_STEP_MS) {
		world_run(s->w, WORLD_STEP_MS);
		deliver(s);
	}
}

/*
 * Starts two gwfleetd, of which the first becomes the planner, and four workers
 * of 16 CPUs each in two racks.
 */
void
jobs_scene_start(jobs_scene_t *s)
{
	char id[8];

	memset(s, 0, sizeof(*s));
	s->w = world_new(NULL);
	s->tasks =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	world_apply_manifest(s->w, 1, manifest_json);
	for (int i = 0; i < 4; i++) {
		platform_instance_t *instance;

		(void)g_snprintf(id, sizeof(id), "i%d", i + 1);
		instance = world_add_instance(
		    s->w, id, (uint16_t)(27001 + i), i < 2 ? "rack1" : "rack2");
		instance->cpu_millis = 16000;
		instance->memory_mib = 65536;
	}
	add_node(s, 0);
	add_node(s, 1);
	s->n1 = s->ports[0].node;
	s->n2 = s->ports[1].node;
	world_link_nodes(s->n1, s->n2);
	world_link_nodes(s->n2, s->n1);
	jobs_scene_run(s, 4000);
	g_assert_true(world_planner(s->w) == s->n1);
}

/*
 * Frees the scene.
 */
void
jobs_scene_end(jobs_scene_t *s)
{
	fake_reply_t *a;

	while ((a = g_queue_pop_head(&s->replies_pending)) != NULL) {
		json_decref(a->list);
		g_free(a);
	}
	g_hash_table_destroy(s->tasks);
	world_free(s->w);
}

/*
 * Submits a job of team t. more is appended to the JSON object: further
 * members, each after a comma.
 */
void
jobs_scene_submit(jobs_scene_t *s, node_t *node, const char *id,
    uint64_t service_ms, uint64_t cpu_millis, const char *more)
{
	g_autofree char *text =
	    g_strdup_printf("{\"id\":\"%s\",\"team\":\"t\",\"service_ms\":%lu,"
			    "\"cpu_millis\":%lu,\"memory_mib\":512%s}",
		id, (unsigned long)service_ms, (unsigned long)cpu_millis, more);
	job_msg_t job = {.kind = JOB_SUBMIT, .text = text};
	fleet_msg_t msg = {.kind = FLEET_JOB, .job = &job, .request = s};

	s->status = 0;
	fleet_handle(node->fleet, &msg);
}

/*
 * Cancels a job.
 */
void
jobs_scene_cancel(jobs_scene_t *s, node_t *node, const char *id)
{
	job_msg_t job = {.kind = JOB_CANCEL, .id = id};
	fleet_msg_t msg = {.kind = FLEET_JOB, .job = &job, .request = s};

	s->status = 0;
	fleet_handle(node->fleet, &msg);
}

/*
 * Returns the task with the id, or NULL.
 */
fake_task_t *
jobs_scene_task(const jobs_scene_t *s, const char *id)
{
	return g_hash_table_lookup(s->tasks, id);
}

const char *
jobs_scene_state(const node_t *node, const char *id)
{
	static char state[32];
	json_t *answer_json = jobs_explain_json(node->fleet, id);
	const char *text = json_string_value(
	    json_object_get(json_object_get(answer_json, "job"), "state"));

	g_strlcpy(state, text == NULL ? "" : text, sizeof(state));
	json_decref(answer_json);
	return state;
}

/*
 * Counts the records of the job in all shards of the store.
 */
uint32_t
jobs_scene_recorded(const jobs_scene_t *s, const char *id)
{
	g_autofree char *needle = g_strdup_printf("\"id\":\"%s\"", id);
	uint32_t count = 0;
	char key[64];

	for (int i = 0; i < 64; i++) {
		const fake_key_t *found;

		(void)g_snprintf(key, sizeof(key), "/gw/dc/dc1/jobs/%d", i);
		found = world_key(s->w, key);
		for (const char *at = found == NULL ? NULL : found->value;
		     at != NULL && (at = strstr(at, needle)) != NULL; at++)
			count++;
	}
	return count;
}
