#include <string.h>

#include <glib.h>

#include "agents.h"
#include "gw/log.h"
#include "platform/orders.h"

/* Instances answer an order within a few ms; after this it is repeated. */
#define ORDER_TIMEOUT_MS 350
/* Time for the answer to a renewal, beyond the wait_ms that it requests. */
#define RENEW_SLACK_MS 500
/* Orders in flight to one instance: each takes a connection. */
#define ORDERS_PER_INSTANCE_MAX 2

/* The connections to one instance, and the orders queued for it. */
typedef struct {
	agents_t *agents;
	char instance[SCHED_NAME_BYTES];
	char address[SCHED_NAME_BYTES];
	char *headers; /* bind a call to this incarnation of the instance */
	gw_httpc_t *http;
	GQueue queue;		   /* order_t, not sent yet */
	uint32_t orders_in_flight; /* at most ORDERS_PER_INSTANCE_MAX */
	gw_httpc_call_t *renew;	   /* renewal in flight, or NULL */
	uint64_t renew_sent_us;	   /* of the last renewal */
} agent_t;

typedef enum {
	ORDER_START,
	ORDER_STOP
} order_kind_t;

/* A request to an instance to start or stop a run, queued or in flight. */
typedef struct {
	agent_t *agent;
	order_kind_t kind;
	sched_task_ref_t ref;
	uint32_t run;
	char *body;
	gw_httpc_call_t *call; /* valid while in flight */
	GList link;	       /* in agents->in_flight while in flight */
} order_t;

struct agents {
	gw_rt_t *rt;
	uint64_t fence;
	const agents_ops_t *ops;
	void *arg;
	GHashTable *by_instance; /* agent_t */
	GQueue in_flight;	 /* order_t */
};

static void
order_free(order_t *order)
{
	g_free(order->body);
	g_free(order);
}

static void
agent_free(gpointer data)
{
	agent_t *agent = data;

	while (agent->queue.length > 0)
		order_free(g_queue_pop_head(&agent->queue));
	if (agent->renew != NULL)
		gw_httpc_cancel(agent->renew);
	gw_httpc_free(agent->http);
	g_free(agent->headers);
	g_free(agent);
}

/*
 * Returns a sender whose orders and renewals all carry the owner's fence.
 */
agents_t *
agents_new(gw_rt_t *rt, uint64_t fence, const agents_ops_t *ops, void *arg)
{
	agents_t *agents = g_new0(agents_t, 1);

	agents->rt = rt;
	agents->fence = fence;
	agents->ops = ops;
	agents->arg = arg;
	agents->by_instance =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, agent_free);
	g_queue_init(&agents->in_flight);
	return agents;
}

/*
 * Cancels the orders in flight to one instance, or all when only is NULL.
 */
static void
cancel_in_flight(agents_t *agents, const agent_t *only)
{
	GList *next;

	for (GList *link = agents->in_flight.head; link != NULL; link = next) {
		order_t *order = link->data;

		next = link->next;
		if (only != NULL && order->agent != only)
			continue;
		g_queue_unlink(&agents->in_flight, &order->link);
		gw_httpc_cancel(order->call);
		order->agent->orders_in_flight--;
		order_free(order);
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
 * Returns the agent of an instance, with new connections if the address of the
 * instance has changed. Returns NULL for a malformed address.
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
	agent->headers = plat_order_headers(instance);
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

/* HTTP path of each kind of order, and its name in the log. */
static const struct {
	const char *path;
	const char *name;
} kinds[] = {
    [ORDER_START] = {PLAT_START_PATH, "start"},
    [ORDER_STOP] = {PLAT_STOP_PATH, "stop"},
};

static const char *
answer_name(sched_answer_t answer)
{
	static const char *const names[] = {
	    [SCHED_ORDER_OK] = "ok",
	    [SCHED_ORDER_FENCED] = "fenced",
	    [SCHED_ORDER_STALE] = "old",
	    [SCHED_ORDER_LATE] = "late",
	    [SCHED_ORDER_NO_ROOM] = "no-room",
	    [SCHED_ORDER_BAD_TICKET] = "ticket",
	    [SCHED_ORDER_REFUSED] = "refused",
	    [SCHED_ORDER_REPLACED] = "replaced",
	    [SCHED_ORDER_NO_ANSWER] = "none",
	};

	return names[answer];
}

static void
on_order_answer(
    const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	order_t *order = arg;
	agent_t *agent = order->agent;
	agents_t *agents = agent->agents;
	sched_answer_t answer = SCHED_ORDER_NO_ANSWER;
	char instance[SCHED_NAME_BYTES];
	uint64_t clock_ms = 0;

	g_queue_unlink(&agents->in_flight, &order->link);
	agent->orders_in_flight--;
	g_strlcpy(instance, agent->instance, sizeof(instance));
	if (response != NULL)
		answer = plat_order_answer_decode(response, &clock_ms);
	if (answer != SCHED_ORDER_OK)
		gw_log(GW_EV_RUN_REFUSED,
		    "job=%s task=%u.%u.%u run=%u instance=%s order=%s "
		    "answer=%s status=%d err=%s",
		    order->ref.job, order->ref.occurrence, order->ref.step,
		    order->ref.index, order->run, instance,
		    kinds[order->kind].name, answer_name(answer),
		    response == NULL ? 0 : response->status,
		    err == NULL ? "none" : gw_errc_name(err->code));
	send_queued(agent);
	if (order->kind == ORDER_START)
		agents->ops->on_started(
		    instance, &order->ref, order->run, answer, agents->arg);
	else
		agents->ops->on_stopped(
		    instance, &order->ref, order->run, answer, agents->arg);
	order_free(order);
}

static void
send_queued(agent_t *agent)
{
	while (agent->queue.length > 0 &&
	    agent->orders_in_flight < ORDERS_PER_INSTANCE_MAX) {
		order_t *order = g_queue_pop_head(&agent->queue);

		agent->orders_in_flight++;
		order->link.data = order;
		g_queue_push_tail_link(&agent->agents->in_flight, &order->link);
		order->call = gw_httpc_call_with_headers(agent->http, "POST",
		    kinds[order->kind].path, agent->headers, order->body,
		    ORDER_TIMEOUT_MS, on_order_answer, order);
	}
}

static void
enqueue_order(agents_t *agents, const char *instance, const char *address,
    order_kind_t kind, const sched_task_ref_t *ref, uint32_t run, char *body)
{
	agent_t *agent = agent_get(agents, instance, address);
	order_t *order;

	if (agent == NULL) {
		g_free(body);
		return;
	}
	order = g_new0(order_t, 1);
	order->agent = agent;
	order->kind = kind;
	order->ref = *ref;
	order->run = run;
	order->body = body;
	g_queue_push_tail(&agent->queue, order);
	send_queued(agent);
}

/*
 * Orders an instance to start a run. on_started() follows.
 */
void
agents_start(agents_t *agents, const sched_start_t *start)
{
	enqueue_order(agents, start->instance, start->address, ORDER_START,
	    &start->ref, start->run, plat_start_body(start, agents->fence));
}

/*
 * Orders an instance to stop a run. on_stopped() follows.
 */
void
agents_stop(agents_t *agents, const char *instance, const char *address,
    const sched_task_ref_t *ref, uint32_t run)
{
	enqueue_order(agents, instance, address, ORDER_STOP, ref, run,
	    plat_stop_body(ref, run, agents->fence));
}

static void
on_renew_answer(
    const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	agent_t *agent = arg;
	agents_t *agents = agent->agents;
	sched_answer_t answer = SCHED_ORDER_NO_ANSWER;
	plat_report_t report;
	gw_err_t bad;

	(void)err;
	agent->renew = NULL;
	if (response == NULL) {
		agents->ops->on_renew_failed(
		    agent->instance, answer, agents->arg);
		return;
	}
	answer = plat_report_decode(&report, response, &bad);
	if (report.ignored_rows > 0)
		gw_log(GW_EV_ENTRY_IGNORED, "instance=%s rows=%u",
		    agent->instance, report.ignored_rows);
	if (answer == SCHED_ORDER_OK)
		agents->ops->on_report(agent->instance, &report.report,
		    agent->renew_sent_us, agents->arg);
	else
		agents->ops->on_renew_failed(
		    agent->instance, answer, agents->arg);
	plat_report_clear(&report);
}

/*
 * Renews the lease of what runs on an instance and requests a report:
 * on_report() or on_renew_failed() follows. Does nothing while a renewal to the
 * instance is in flight.
 */
void
agents_renew(agents_t *agents, const sched_renewal_t *hold)
{
	agent_t *agent = agent_get(agents, hold->instance, hold->address);
	g_autofree char *body = NULL;

	if (agent == NULL || agent->renew != NULL)
		return;
	body = plat_renewal_body(hold, agents->fence);
	agent->renew_sent_us = gw_rt_now_us(agents->rt);
	agent->renew = gw_httpc_call_with_headers(agent->http, "POST",
	    PLAT_RENEWAL_PATH, agent->headers, body,
	    hold->wait_ms + RENEW_SLACK_MS, on_renew_answer, agent);
}
