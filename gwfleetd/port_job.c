#include <string.h>

#include "daemon.h"
#include "jobs.h"

#define PLATFORM_TIMEOUT_MS 2000

/* A pending call to the platform about tasks. */
typedef struct {
	daemon_t *daemon;
	job_msg_kind_t kind;
	uint64_t call;
	char id[GW_NAME_BYTES];
	char operation[16];
} job_call_t;

static void
handle_job_msg(daemon_t *daemon, const job_msg_t *job, void *request)
{
	fleet_msg_t msg = {.kind = FLEET_JOB, .job = job, .request = request};

	fleet_handle(daemon->fleet, &msg);
}

static void
on_response(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	g_autofree job_call_t *call = arg;
	job_msg_t msg = {.kind = call->kind,
	    .id = call->id,
	    .operation = call->operation,
	    .call = call->call};
	json_t *body = NULL;

	if (response == NULL)
		msg.not_sent = err->code == GW_ERR_UNAVAILABLE;
	else
		msg.status = response->status;
	if (msg.status == 200 &&
	    (call->kind == JOB_TASKS || call->kind == JOB_USAGE))
		body =
		    json_loadb(response->body, response->size_bytes, 0, NULL);
	msg.list = body;
	handle_job_msg(call->daemon, &msg, NULL);
	json_decref(body);
}

static void
send_call(daemon_t *daemon, job_msg_kind_t kind, const char *method,
    const char *path, const char *body, job_call_t *call)
{
	call->daemon = daemon;
	call->kind = kind;
	(void)gw_httpc_call(daemon->platform, method, path, body,
	    PLATFORM_TIMEOUT_MS, on_response, call);
}

static void
port_tasks(void *ctx, uint64_t number)
{
	job_call_t *call = g_new0(job_call_t, 1);

	call->call = number;
	send_call(ctx, JOB_TASKS, "GET", "/v1/tasks", NULL, call);
}

static void
port_usage(void *ctx, uint64_t number)
{
	job_call_t *call = g_new0(job_call_t, 1);

	call->call = number;
	send_call(ctx, JOB_USAGE, "GET", "/v1/usage", NULL, call);
}

static void
port_task_put(void *ctx, const char *task_id, const char *body)
{
	g_autofree char *path = g_strdup_printf("/v1/tasks/%s", task_id);
	job_call_t *call = g_new0(job_call_t, 1);

	g_strlcpy(call->id, task_id, sizeof(call->id));
	send_call(ctx, JOB_PUT, "PUT", path, body, call);
}

static void
port_task_operate(
    void *ctx, const char *task_id, const char *operation, const char *body)
{
	g_autofree char *path =
	    g_strdup_printf("/v1/tasks/%s/%s", task_id, operation);
	job_call_t *call = g_new0(job_call_t, 1);

	g_strlcpy(call->id, task_id, sizeof(call->id));
	g_strlcpy(call->operation, operation, sizeof(call->operation));
	send_call(ctx, JOB_OPERATED, "POST", path, body, call);
}

static void
port_job_reply(
    void *ctx, void *request, int status, const char *title, const char *text)
{
	(void)ctx;
	port_reply_problem(request, status, title, text);
}

static const job_ops_t port_job_ops = {
    .tasks = port_tasks,
    .usage = port_usage,
    .task_put = port_task_put,
    .task_operate = port_task_operate,
    .reply = port_job_reply,
};

/*
 * Enables jobs, with calls to the platform and replies through the admin port.
 */
void
port_job_attach(daemon_t *daemon)
{
	jobs_attach(daemon->fleet, &port_job_ops, daemon, daemon->metrics);
}

/*
 * Handles POST /v1/jobs and POST /v1/jobs/<id>/cancel. Returns -1 for any other
 * path.
 */
int
port_job_post(daemon_t *daemon, h2o_req_t *req, const char *path)
{
	g_auto(GStrv) parts = g_strsplit(path, "/", 6);
	g_autofree char *body = NULL;
	job_msg_t msg = {.kind = JOB_SUBMIT};

	if (g_strv_length(parts) == 5 && strcmp(parts[4], "cancel") == 0) {
		msg.kind = JOB_CANCEL;
		msg.id = parts[3];
	} else if (g_strv_length(parts) != 3) {
		return -1;
	}
	body = g_strndup(req->entity.base, req->entity.len);
	msg.text = body;
	handle_job_msg(daemon, &msg, port_request_new(req));
	return 0;
}
