#include <string.h>

#include <glib.h>

#include "agents.h"
#include "gw/log.h"
#include "platform/runs.h"

/*
 * Time for the response to a renewal, beyond the wait_ms that it requests and
 * the time for the response to a start.
 */
#define RENEWAL_MARGIN_MS 150

/* The connections to one instance, and the requests queued for it. */
typedef struct {
	agents_t *agents;
	char instance[SCHED_NAME_BYTES];
	char address[SCHED_NAME_BYTES];
	char *headers; /* with the id of the instance */
	gw_httpc_t *http;
	GQueue queue;		     /* run_request_t, not sent yet */
	uint32_t requests_in_flight; /* at most SCHED_WINDOW_PER_INSTANCE */
	gw_httpc_call_t *renewal;    /* renewal in flight, or NULL */
	uint64_t renewal_sent_us;    /* of the last renewal */
} agent_t;

typedef enum {
	RUN_REQUEST_START,
	RUN_REQUEST_STOP
} run_request_kind_t;

/* A request to an instance to start or stop a run, queued or in flight. */
typedef struct {
	agent_t *agent;
	run_request_kind_t kind;
	sched_task_ref_t ref;
	uint32_t run;
	char *body;
	uint32_t size_bytes;   /* on the wire, by estimate */
	uint64_t sent_us;      /* 0: not passed to a connection yet */
	gw_httpc_call_t *call; /* valid while in flight */
	GList link;	       /* in agents->in_flight while in flight */
} run_request_t;

struct agents {
	gw_rt_t *rt;
	sched_window_t *window;
	const agents_ops_t *ops;
	void *arg;
	GHashTable *by_instance; /* agent_t */
	GQueue in_flight;	 /* run_request_t */
};

/*
 * Frees a request that is cancelled; its result is not known.
 */
static void
request_drop(run_request_t *request)
{
	agents_t *agents = request->agent->agents;

	sched_window_remove(agents->window, request->size_bytes, 0,
	    gw_rt_now_us(agents->rt), false);
	g_free(request->body);
	g_free(request);
}

static void
agent_free(gpointer data)
{
	agent_t *agent = data;

	while (agent->queue.length > 0)
		request_drop(g_queue_pop_head(&agent->queue));
	if (agent->renewal != NULL)
		gw_httpc_cancel(agent->renewal);
	gw_httpc_free(agent->http);
	g_free(agent->headers);
	g_free(agent);
}

/*
 * Returns agents without connections.
 */
agents_t *
agents_new(
    gw_rt_t *rt, sched_window_t *window, const agents_ops_t *ops, void *arg)
{
	agents_t *agents = g_new0(agents_t, 1);

	agents->rt = rt;
	agents->window = window;
	agents->ops = ops;
	agents->arg = arg;
	agents->by_instance =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, agent_free);
	g_queue_init(&agents->in_flight);
	return agents;
}

/*
 * Cancels the starts and stops in flight to one instance, or all when only is
 * NULL.
 */
static void
cancel_in_flight(agents_t *agents, const agent_t *only)
{
	GList *next;

	for (GList *link = agents->in_flight.head; link != NULL; link = next) {
		run_request_t *request = link->data;

		next = link->next;
		if (only != NULL && request->agent != only)
			continue;
		g_queue_unlink(&agents->in_flight, &request->link);
		gw_httpc_cancel(request->call);
		request->agent->requests_in_flight--;
		request_drop(request);
	}
}

/*
 * Cancels all calls without a callback and closes the connections.
 */
void
agents_free(agents_t *agents)
{
	if (agents == NULL)
		return;
	cancel_in_flight(agents, NULL);
	g_hash_table_destroy(agents->by_instance);
	g_free(agents);
}

/*
 * Returns the agent of an instance; creates it if it is unknown or the address
 * of the instance has changed. Returns NULL for a malformed address.
 */
static agent_t *
agent_get(agents_t *agents, const char *instance, const char *address)
{
	agent_t *agent = g_hash_table_lookup(agents->by_instance, instance);
	gw_addr_t addr;
	gw_err_t err;

	if (agent != NULL && strcmp(agent->address, address) == 0)
		return agent;
	if (agent != NULL)
		agents_disconnect(agents, instance);
	if (gw_addr_parse(&addr, address, &err) != 0) {
		gw_log(GW_EV_ENTRY_IGNORED, "instance=%s text=\"%s\"", instance,
		    err.text);
		return NULL;
	}
	agent = g_new0(agent_t, 1);
	agent->agents = agents;
	g_strlcpy(agent->instance, instance, sizeof(agent->instance));
	g_strlcpy(agent->address, address, sizeof(agent->address));
	agent->headers = plat_instance_headers(instance);
	agent->http = gw_httpc_new(agents->rt, &addr);
	g_queue_init(&agent->queue);
	g_hash_table_insert(agents->by_instance, agent->instance, agent);
	return agent;
}

void
agents_disconnect(agents_t *agents, const char *instance)
{
	agent_t *agent = g_hash_table_lookup(agents->by_instance, instance);

	if (agent == NULL)
		return;
	cancel_in_flight(agents, agent);
	g_hash_table_remove(agents->by_instance, instance);
}

static void send_queued(agent_t *);

/* HTTP path of each kind of request, and its name in the log. */
static const struct {
	const char *path;
	const char *name;
} kinds[] = {
    [RUN_REQUEST_START] = {PLAT_START_PATH, "start"},
    [RUN_REQUEST_STOP] = {PLAT_STOP_PATH, "stop"},
};

static const char *
result_name(sched_result_t result)
{
	static const char *const names[] = {
	    [SCHED_RESULT_OK] = "ok",
	    [SCHED_RESULT_FENCED] = "fenced",
	    [SCHED_RESULT_STALE] = "old",
	    [SCHED_RESULT_LATE] = "late",
	    [SCHED_RESULT_NO_ROOM] = "no-room",
	    [SCHED_RESULT_BAD_TICKET] = "ticket",
	    [SCHED_RESULT_REFUSED] = "refused",
	    [SCHED_RESULT_REPLACED] = "replaced",
	    [SCHED_RESULT_NO_RESPONSE] = "none",
	    [SCHED_RESULT_NOT_SENT] = "not-sent",
	};

	return names[result];
}

/*
 * Reports the result of a request and frees it.
 */
static void
finish_request(run_request_t *request, sched_result_t result, uint64_t clock_ms)
{
	agents_t *agents = request->agent->agents;
	char instance[SCHED_NAME_BYTES];

	g_strlcpy(instance, request->agent->instance, sizeof(instance));
	if (request->kind == RUN_REQUEST_START)
		agents->ops->on_started(instance, &request->ref, request->run,
		    result, clock_ms, agents->arg);
	else
		agents->ops->on_stopped(
		    instance, &request->ref, request->run, result, agents->arg);
	g_free(request->body);
	g_free(request);
}

static void
on_response(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	run_request_t *request = arg;
	agent_t *agent = request->agent;
	agents_t *agents = agent->agents;
	sched_result_t result = SCHED_RESULT_NO_RESPONSE;
	uint64_t clock_ms = 0;

	g_queue_unlink(&agents->in_flight, &request->link);
	agent->requests_in_flight--;
	sched_window_remove(agents->window, request->size_bytes,
	    request->sent_us, gw_rt_now_us(agents->rt), response != NULL);
	if (response != NULL)
		result = plat_instance_result_decode(response, &clock_ms);
	else if (err->code == GW_ERR_UNAVAILABLE)
		result = SCHED_RESULT_NOT_SENT;
	if (result != SCHED_RESULT_OK)
		gw_log(GW_EV_RUN_REFUSED,
		    "job=%s task=%u.%u.%u run=%u instance=%s order=%s "
		    "answer=%s status=%d err=%s",
		    request->ref.job, request->ref.occurrence,
		    request->ref.step, request->ref.index, request->run,
		    agent->instance, kinds[request->kind].name,
		    result_name(result),
		    response == NULL ? 0 : response->status,
		    err == NULL ? "none" : gw_errc_name(err->code));
	send_queued(agent);
	finish_request(request, result, clock_ms);
}

/*
 * Passes a request to a connection.
 */
static void
send_request(run_request_t *request)
{
	agent_t *agent = request->agent;
	agents_t *agents = agent->agents;

	agent->requests_in_flight++;
	request->sent_us = gw_rt_now_us(agents->rt);
	request->link.data = request;
	g_queue_push_tail_link(&agents->in_flight, &request->link);
	request->call = gw_httpc_call_with_headers(agent->http, "POST",
	    kinds[request->kind].path, agent->headers, request->body,
	    sched_window_timeout_us(agents->window) / GW_US_PER_MS, on_response,
	    request);
}

/*
 * Sends queued requests while connections to the instance are free. A start
 * that may no longer be sent stays unsent.
 */
static void
send_queued(agent_t *agent)
{
	agents_t *agents = agent->agents;

	while (agent->queue.length > 0 &&
	    agent->requests_in_flight < SCHED_WINDOW_PER_INSTANCE) {
		run_request_t *request = g_queue_pop_head(&agent->queue);

		if (request->kind == RUN_REQUEST_STOP ||
		    agents->ops->may_start(agents->arg)) {
			send_request(request);
			continue;
		}
		gw_log(GW_EV_RUN_REFUSED,
		    "job=%s task=%u.%u.%u run=%u instance=%s order=start "
		    "answer=lease-expired",
		    request->ref.job, request->ref.occurrence,
		    request->ref.step, request->ref.index, request->run,
		    agent->instance);
		sched_window_remove(agents->window, request->size_bytes, 0,
		    gw_rt_now_us(agents->rt), false);
		finish_request(request, SCHED_RESULT_NOT_SENT, 0);
	}
}

static void
enqueue_request(agents_t *agents, const char *instance, const char *address,
    run_request_kind_t kind, const sched_task_ref_t *ref, uint32_t run,
    char *body)
{
	agent_t *agent = agent_get(agents, instance, address);
	run_request_t *request;

	if (agent == NULL) {
		g_free(body);
		return;
	}
	request = g_new0(run_request_t, 1);
	request->agent = agent;
	request->kind = kind;
	request->ref = *ref;
	request->run = run;
	request->body = body;
	request->size_bytes =
	    sched_window_request_bytes((uint32_t)strlen(body));
	sched_window_add(agents->window, request->size_bytes);
	g_queue_push_tail(&agent->queue, request);
	send_queued(agent);
}

/*
 * Requests that an instance starts a run. on_started() follows.
 */
void
agents_start(agents_t *agents, const sched_start_t *start)
{
	enqueue_request(agents, start->instance, start->address,
	    RUN_REQUEST_START, &start->ref, start->run, plat_start_body(start));
}

/*
 * Requests that an instance stops a run. on_stopped() follows.
 */
void
agents_stop(agents_t *agents, const char *instance, const char *address,
    const sched_task_ref_t *ref, uint32_t run, uint64_t fence)
{
	enqueue_request(agents, instance, address, RUN_REQUEST_STOP, ref, run,
	    plat_stop_body(ref, run, fence));
}

static void
on_renewal_response(
    const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	agent_t *agent = arg;
	agents_t *agents = agent->agents;
	sched_result_t result = SCHED_RESULT_NO_RESPONSE;
	plat_report_t report;
	gw_err_t bad;

	(void)err;
	agent->renewal = NULL;
	if (response == NULL) {
		agents->ops->on_renew_failed(
		    agent->instance, result, agents->arg);
		return;
	}
	result = plat_report_decode(&report, response, &bad);
	if (result == SCHED_RESULT_NO_RESPONSE)
		gw_log(GW_EV_ENTRY_IGNORED, "instance=%s text=\"%s\"",
		    agent->instance, bad.text);
	if (report.ignored_rows > 0)
		gw_log(GW_EV_ENTRY_IGNORED, "instance=%s rows=%u",
		    agent->instance, report.ignored_rows);
	if (result == SCHED_RESULT_OK)
		agents->ops->on_report(agent->instance, &report.report,
		    agent->renewal_sent_us, agents->arg);
	else
		agents->ops->on_renew_failed(
		    agent->instance, result, agents->arg);
	plat_report_clear(&report);
}

/*
 * Renews the lease of an instance's runs and requests a report. on_report() or
 * on_renew_failed() follows. Does nothing while a renewal of the instance is in
 * flight.
 */
void
agents_renew(agents_t *agents, const sched_renewal_t *renewal)
{
	agent_t *agent = agent_get(agents, renewal->instance, renewal->address);
	g_autofree char *body = NULL;

	if (agent == NULL || agent->renewal != NULL)
		return;
	body = plat_renewal_body(renewal);
	agent->renewal_sent_us = gw_rt_now_us(agents->rt);
	agent->renewal = gw_httpc_call_with_headers(agent->http, "POST",
	    PLAT_RENEWAL_PATH, agent->headers, body,
	    renewal->wait_ms + RENEWAL_MARGIN_MS +
		sched_window_timeout_us(agents->window) / GW_US_PER_MS,
	    on_renewal_response, agent);
}
