#include <string.h>

#include <glib.h>

#include "agents.h"
#include "gw/log.h"
#include "platform/orders.h"

/* An order is answered in a few ms; later it is repeated. */
#define ORDER_TIMEOUT_MS 350
/* How much longer than asked for a report may take. */
#define HOLD_SLACK_MS 500
/* Orders under way to one instance: each takes a connection. */
#define ORDERS_MAX 2

/* One instance's connections and the orders that wait for one. */
typedef struct {
	agents_t *agents;
	char instance[SCHED_NAME_BYTES];
	char address[SCHED_NAME_BYTES];
	char *headers;
	gw_httpc_t *http;
	GQueue waiting; /* order_t */
	uint32_t orders;
	gw_httpc_call_t *hold;
	uint64_t hold_sent_us;
} agent_t;

typedef enum {
	ORDER_START,
	ORDER_STOP
} order_kind_t;

typedef struct {
	agent_t *agent;
	order_kind_t kind;
	sched_ref_t ref;
	uint32_t run;
	char *body;
	gw_httpc_call_t *http;
	GList link; /* in agents->open while under way */
} order_t;

struct agents {
	gw_rt_t *rt;
	uint64_t fence;
	const agents_ops_t *ops;
	void *arg;
	GHashTable *by_instance; /* agent_t */
	GQueue open;		 /* order_t */
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

	while (agent->waiting.length > 0)
		order_free(g_queue_pop_head(&agent->waiting));
	if (agent->hold != NULL)
		gw_httpc_cancel(agent->hold);
	gw_httpc_free(agent->http);
	g_free(agent->headers);
	g_free(agent);
}

/*
 * Returns the owner's calls, with the fence that every order carries.
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
	g_queue_init(&agents->open);
	return agents;
}

static void
cancel_open(agents_t *agents, const agent_t *only)
{
	GList *next;

	for (GList *link = agents->open.head; link != NULL; link = next) {
		order_t *order = link->data;

		next = link->next;
		if (only != NULL && order->agent != only)
			continue;
		g_queue_unlink(&agents->open, &order->link);
		gw_httpc_cancel(order->http);
		order->agent->orders--;
		order_free(order);
	}
}

/*
 * Ends all calls without a callback and closes the connections.
 */
void
agents_free(agents_t *agents)
{
	if (agents == NULL)
		return;
	cancel_open(agents, NULL);
	g_hash_table_destroy(agents->by_instance);
	g_free(agents);
}

/*
 * Returns the instance's connections, new ones when its address has changed.
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
		agents_forget(agents, instance);
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
	g_queue_init(&agent->waiting);
	g_hash_table_insert(agents->by_instance, agent->instance, agent);
	return agent;
}

/*
 * Closes the connections to an instance. Open calls end without a callback.
 */
void
agents_forget(agents_t *agents, const char *instance)
{
	agent_t *agent = g_hash_table_lookup(agents->by_instance, instance);

	if (agent == NULL)
		return;
	cancel_open(agents, agent);
	g_hash_table_remove(agents->by_instance, instance);
}

static void send_next(agent_t *);

/* How an order is sent, and its name in the log. */
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
	    [SCHED_ORDER_OLD] = "old",
	    [SCHED_ORDER_LATE] = "late",
	    [SCHED_ORDER_NO_ROOM] = "no-room",
	    [SCHED_ORDER_TICKET] = "ticket",
	    [SCHED_ORDER_REFUSED] = "refused",
	    [SCHED_ORDER_REPLACED] = "replaced",
	    [SCHED_ORDER_NO_ANSWER] = "none",
	};

	return names[answer];
}

static void
on_order(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	order_t *order = arg;
	agent_t *agent = order->agent;
	agents_t *agents = agent->agents;
	sched_answer_t answer = SCHED_ORDER_NO_ANSWER;
	char instance[SCHED_NAME_BYTES];
	uint64_t clock_ms = 0;

	g_queue_unlink(&agents->open, &order->link);
	agent->orders--;
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
	send_next(agent);
	if (order->kind == ORDER_START)
		agents->ops->on_started(
		    instance, &order->ref, order->run, answer, agents->arg);
	else
		agents->ops->on_stopped(
		    instance, &order->ref, order->run, answer, agents->arg);
	order_free(order);
}

static void
send_next(agent_t *agent)
{
	while (agent->waiting.length > 0 && agent->orders < ORDERS_MAX) {
		order_t *order = g_queue_pop_head(&agent->waiting);

		agent->orders++;
		order->link.data = order;
		g_queue_push_tail_link(&agent->agents->open, &order->link);
		order->http = gw_httpc_call_with(agent->http, "POST",
		    kinds[order->kind].path, agent->headers, order->body,
		    ORDER_TIMEOUT_MS, on_order, order);
	}
}

static void
give(agents_t *agents, const char *instance, const char *address,
    order_kind_t kind, const sched_ref_t *ref, uint32_t run, char *body)
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
	g_queue_push_tail(&agent->waiting, order);
	send_next(agent);
}

/*
 * Orders a run. on_started() follows.
 */
void
agents_start(agents_t *agents, const sched_start_t *start)
{
	give(agents, start->instance, start->address, ORDER_START, &start->ref,
	    start->run, plat_start_body(start, agents->fence));
}

/*
 * Orders a run to stop. on_stopped() follows.
 */
void
agents_stop(agents_t *agents, const char *instance, const char *address,
    const sched_ref_t *ref, uint32_t run)
{
	give(agents, instance, address, ORDER_STOP, ref, run,
	    plat_stop_body(ref, run, agents->fence));
}

static void
on_hold(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	agent_t *agent = arg;
	agents_t *agents = agent->agents;
	sched_answer_t answer = SCHED_ORDER_NO_ANSWER;
	plat_report_t report;
	gw_err_t bad;

	(void)err;
	agent->hold = NULL;
	if (response == NULL) {
		agents->ops->on_hold_failed(
		    agent->instance, answer, agents->arg);
		return;
	}
	answer = plat_report_decode(&report, response, &bad);
	if (report.ignored_rows > 0)
		gw_log(GW_EV_ENTRY_IGNORED, "instance=%s rows=%u",
		    agent->instance, report.ignored_rows);
	if (answer == SCHED_ORDER_OK)
		agents->ops->on_report(agent->instance, &report.report,
		    agent->hold_sent_us, agents->arg);
	else
		agents->ops->on_hold_failed(
		    agent->instance, answer, agents->arg);
	plat_report_clear(&report);
}

/*
 * Extends the lease of what runs and asks for a report: on_report() or
 * on_hold_failed() follows. At most one is under way for an instance.
 */
void
agents_hold(agents_t *agents, const sched_hold_t *hold)
{
	agent_t *agent = agent_get(agents, hold->instance, hold->address);
	g_autofree char *body = NULL;

	if (agent == NULL || agent->hold != NULL)
		return;
	body = plat_renewal_body(hold, agents->fence);
	agent->hold_sent_us = gw_rt_now_us(agents->rt);
	agent->hold = gw_httpc_call_with(agent->http, "POST", PLAT_RENEWAL_PATH,
	    agent->headers, body, hold->wait_ms + HOLD_SLACK_MS, on_hold,
	    agent);
}
