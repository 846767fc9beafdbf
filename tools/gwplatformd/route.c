#include <stdlib.h>
#include <string.h>

#include "http/httpd.h"
#include "platform.h"

static void
reply_text(h2o_req_t *req, const char *text)
{
	gw_http_reply(req, 200, "application/json", text, strlen(text));
}

static void
reply_json(h2o_req_t *req, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	reply_text(req, text);
	free(text);
	json_decref(value);
}

static void
reply_result(h2o_req_t *req, int rc)
{
	if (rc == 0)
		reply_text(req, "{}");
	else
		gw_http_reply_error(
		    req, 404, "not found", "no such instance, task or action");
}

static json_t *
request_json(const h2o_req_t *req)
{
	json_t *body;

	body = json_loadb(req->entity.base, req->entity.len, 0, NULL);
	return body == NULL ? json_object() : body;
}

/*
 * PUT /v1/tasks/<id>: starts the task, or renews its lease when a task with
 * this id exists. Returns 0, or -1 when its instance is missing or not live.
 */
static int
put_task(platform_t *platform, const char *id, const json_t *body)
{
	uint64_t now_us = gw_rt_now_us(platform->rt);
	const instance_t *instance;
	task_t *task;

	task = g_hash_table_lookup(platform->tasks, id);
	if (task != NULL) {
		task_renew_lease(task, now_us);
		return 0;
	}
	task = task_new(id, body, now_us);
	if (task == NULL)
		return -1;
	instance = g_hash_table_lookup(platform->instances, task->instance_id);
	if (instance == NULL || instance->state != INSTANCE_LIVE) {
		task_free(task);
		return -1;
	}
	task->incarnation = instance->incarnation;
	g_hash_table_insert(platform->tasks, g_strdup(id), task);
	platform_take_snapshots(platform);
	return 0;
}

static void
list_tasks(platform_t *platform, h2o_req_t *req)
{
	json_t *array = json_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, platform->tasks);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		task_update(value, gw_rt_now_us(platform->rt));
		(void)json_array_append_new(array, task_json(value));
	}
	reply_json(req, json_pack("{s:o}", "tasks", array));
}

static int
apply_operation(platform_t *platform, const char *id, const char *operation,
    const json_t *body)
{
	task_t *task = g_hash_table_lookup(platform->tasks, id);
	int rc;

	if (task == NULL)
		return -1;
	rc = task_apply_operation(
	    task, operation, body, gw_rt_now_us(platform->rt));
	platform_take_snapshots(platform);
	return rc;
}

static int
handle_reboot(platform_t *platform, const char *id, const json_t *body)
{
	const char *operation =
	    json_string_value(json_object_get(body, "operation"));

	return operation == NULL ? -1
				 : platform_reboot(platform, id, operation);
}

/*
 * Handles a request whose path names an instance or a task. Returns 0, or -1
 * when there is no such path.
 */
static int
handle_object_request(
    platform_t *platform, h2o_req_t *req, char **parts, const json_t *body)
{
	guint count = g_strv_length(parts);
	bool put = h2o_memis(req->method.base, req->method.len, "PUT", 3);

	if (count == 4 && strcmp(parts[2], "tasks") == 0 && put) {
		reply_result(req, put_task(platform, parts[3], body));
	} else if (count == 5 && strcmp(parts[2], "tasks") == 0) {
		reply_result(
		    req, apply_operation(platform, parts[3], parts[4], body));
	} else if (count == 5 && strcmp(parts[2], "instances") == 0 &&
	    strcmp(parts[4], "reboot") == 0) {
		reply_result(req, handle_reboot(platform, parts[3], body));
	} else {
		return -1;
	}
	return 0;
}

/*
 * Handles one request. /v1/control works while the platform is down, so that a
 * test can bring it up again.
 */
int
platform_on_request(h2o_req_t *req, void *arg)
{
	platform_t *platform = arg;
	g_autofree char *path =
	    g_strndup(req->path.base, MIN(req->query_at, req->path.len));
	g_auto(GStrv) parts = g_strsplit(path, "/", 6);
	json_t *body = request_json(req);
	int rc = 0;

	if (strcmp(path, "/v1/control") == 0)
		reply_result(req, platform_control(platform, body));
	else if (platform->down)
		gw_http_reply_error(req, 503, "down", "the platform is down");
	else if (strcmp(path, "/v1/instances") == 0)
		reply_text(req, platform_list_json(platform));
	else if (strcmp(path, "/v1/usage") == 0)
		reply_text(req, platform_usage_json(platform));
	else if (strcmp(path, "/v1/tasks") == 0)
		list_tasks(platform, req);
	else
		rc = handle_object_request(platform, req, parts, body);
	json_decref(body);
	return rc;
}
