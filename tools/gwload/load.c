#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "load.h"

#define CONNECT_MS 2000
#define IDLE_MS 2000

struct load {
	gw_rt_t *rt;
	const load_plan_t *plan;
	GPtrArray *targets; /* gw_target_t */
	uint32_t route_count;
	arrival_t *arrivals;
	stats_t *stats;
	uint64_t start_us;
	uint64_t end_us;
	uint32_t sent;
	uint32_t in_flight;
	bool ended; /* no more requests are sent */
	gw_timer_t timer;
	uv_idle_t idle;
};

/* One request under way. */
typedef struct {
	load_t *load;
	gw_exchange_t *exchange;
	gw_timer_t timer;
	uint32_t route;
	uint32_t number;
	uint64_t intended_us;
	outcome_t outcome;
	int status; /* 0 without a response */
	GBytes *body;
	size_t matched_bytes;
	bool mismatched;
} call_t;

static void send_one(load_t *, uint32_t route, uint64_t intended_us);

static uint32_t
count_routes(char **routes)
{
	return (uint32_t)g_strv_length(routes);
}

/*
 * Prepares a load; nothing is sent before load_run().
 */
load_t *
load_new(gw_rt_t *rt, const load_plan_t *plan)
{
	load_t *load;

	load = g_new0(load_t, 1);
	load->rt = rt;
	load->plan = plan;
	load->targets = g_ptr_array_new();
	for (uint32_t i = 0; i < plan->target_count; i++)
		g_ptr_array_add(load->targets,
		    gw_target_new(rt, &plan->targets[i], CONNECT_MS, IDLE_MS));
	load->route_count = count_routes(plan->routes);
	load->arrivals = g_new0(arrival_t, load->route_count);
	load->stats = g_new0(stats_t, load->route_count);
	for (uint32_t i = 0; i < load->route_count; i++) {
		stats_init(&load->stats[i]);
		if (plan->mean_per_s > 0)
			arrival_init(&load->arrivals[i], plan->seed, i,
			    load->route_count, plan->mean_per_s,
			    plan->surge_ms * GW_US_PER_MS);
	}
	return load;
}

static uint64_t
elapsed_us(const load_t *load)
{
	return gw_rt_now_us(load->rt) - load->start_us;
}

static bool
is_over(load_t *load)
{
	const load_plan_t *plan = load->plan;

	if (load->sent >= plan->requests_max ||
	    elapsed_us(load) >= plan->duration_ms * GW_US_PER_MS)
		load->ended = true;
	return load->ended;
}

static void
stop_if_done(load_t *load)
{
	if (!load->ended || load->in_flight > 0)
		return;
	load->end_us = gw_rt_now_us(load->rt);
	uv_idle_stop(&load->idle);
	gw_rt_stop(load->rt);
}

/*
 * Writes the request's id, route, outcome, whether an answer was its own, and
 * the status, so that the ids can be compared with those that the endpoints
 * ran.
 */
static void
write_line(const call_t *call, outcome_t outcome, bool own)
{
	const load_plan_t *plan = call->load->plan;

	if (plan->each != NULL)
		fprintf(plan->each, "%s-%u\t%s\t%s\t%s\t%d\n", plan->id_prefix,
		    call->number, plan->routes[call->route],
		    outcome_name(outcome), own ? "own" : "other", call->status);
}

static void
call_end(call_t *call, outcome_t outcome)
{
	load_t *load = call->load;
	stats_t *stats = &load->stats[call->route];
	uint32_t route = call->route;
	bool own = true;

	gw_timer_stop(&call->timer);
	stats_record(stats, outcome, elapsed_us(load) - call->intended_us);
	if (outcome == OUTCOME_ANSWERED)
		own = !call->mismatched &&
		    call->matched_bytes == g_bytes_get_size(call->body);
	if (!own)
		stats->mismatched++;
	write_line(call, outcome, own);
	g_bytes_unref(call->body);
	g_free(call);
	load->in_flight--;
	if (load->plan->mean_per_s == 0 && !is_over(load))
		send_one(load, route, elapsed_us(load));
	stop_if_done(load);
}

/*
 * Reads Godwit-Outcome. A response without it, as from an endpoint asked
 * directly, counts by its status.
 */
static outcome_t
read_outcome(const gw_exchange_head_t *head)
{
	for (size_t i = 0; i < head->header_count; i++) {
		const h2o_header_t *h = &head->headers[i];

		if (!h2o_lcstris(h->name->base, h->name->len,
			H2O_STRLIT("godwit-outcome")))
			continue;
		if (h2o_memis(
			h->value.base, h->value.len, H2O_STRLIT("answered")))
			return OUTCOME_ANSWERED;
		if (h2o_memis(
			h->value.base, h->value.len, H2O_STRLIT("not-run")))
			return OUTCOME_NOT_RUN;
		return OUTCOME_UNKNOWN;
	}
	return head->status < 500 ? OUTCOME_ANSWERED : OUTCOME_UNKNOWN;
}

static int
on_head(const gw_exchange_head_t *head, void *arg)
{
	call_t *call = arg;

	call->outcome = read_outcome(head);
	call->status = head->status;
	return 0;
}

/*
 * Compares the echoed body with the request's own.
 */
static int
on_body(const char *piece, size_t size_bytes, void *arg)
{
	call_t *call = arg;
	const char *own;
	gsize own_bytes;

	own = g_bytes_get_data(call->body, &own_bytes);
	if (call->matched_bytes + size_bytes > own_bytes ||
	    memcmp(own + call->matched_bytes, piece, size_bytes) != 0)
		call->mismatched = true;
	call->matched_bytes += size_bytes;
	return 0;
}

static void
on_end(const gw_err_t *err, void *arg)
{
	call_t *call = arg;

	call_end(call, err == NULL ? call->outcome : OUTCOME_BROKEN);
}

static const gw_exchange_ops_t call_ops = {NULL, on_head, on_body, on_end};

static void
on_timeout(gw_timer_t *timer, void *arg)
{
	call_t *call = arg;

	(void)timer;
	gw_exchange_cancel(call->exchange);
	call_end(call, OUTCOME_BROKEN);
}

/*
 * Returns a body that names its request, so that no two are equal.
 */
static GBytes *
make_body(const load_t *load, uint32_t number)
{
	size_t size_bytes = MAX(load->plan->body_bytes, 16);
	char *body = g_malloc(size_bytes);

	memset(body, '.', size_bytes);
	(void)snprintf(
	    body, size_bytes, "%08" PRIx32 ".%06u", load->plan->seed, number);
	return g_bytes_new_take(body, size_bytes);
}

static GBytes *
make_head(const load_t *load, uint32_t route, uint32_t number, GBytes *body)
{
	const load_plan_t *plan = load->plan;
	char *head;

	head = g_strdup_printf("%s %s HTTP/1.1\r\n"
			       "host: %s\r\n"
			       "godwit-request-id: %s-%u\r\n"
			       "content-length: %zu\r\n%s\r\n",
	    plan->method, plan->path, plan->routes[route], plan->id_prefix,
	    number, g_bytes_get_size(body), plan->headers);
	return g_bytes_new_take(head, strlen(head));
}

static void
send_one(load_t *load, uint32_t route, uint64_t intended_us)
{
	const load_plan_t *plan = load->plan;
	uint32_t number = load->sent++;
	GBytes *head;
	call_t *call;

	if (load->in_flight >= plan->in_flight_max) {
		load->stats[route].unsent++;
		return;
	}
	load->stats[route].sent++;
	load->in_flight++;
	call = g_new0(call_t, 1);
	call->load = load;
	call->route = route;
	call->number = number;
	call->intended_us = intended_us;
	call->outcome = OUTCOME_BROKEN;
	call->body = make_body(load, number);
	head = make_head(load, route, number, call->body);
	gw_timer_start(load->rt, &call->timer, plan->timeout_ms * GW_US_PER_MS,
	    on_timeout, call);
	call->exchange = gw_exchange_start(
	    load->targets->pdata[number % load->targets->len], head, call->body,
	    strcmp(plan->method, "HEAD") == 0, &call_ops, call);
	g_bytes_unref(head);
}

/*
 * Sends what is due on every route; returns the next intended time.
 */
static uint64_t
send_due(load_t *load)
{
	uint64_t now_us, next_us = UINT64_MAX;

	for (uint32_t i = 0; i < load->route_count; i++) {
		arrival_t *arrival = &load->arrivals[i];

		now_us = elapsed_us(load);
		while (arrival->next_us <= now_us && !is_over(load)) {
			send_one(load, i, arrival->next_us);
			arrival_next(arrival);
		}
		next_us = MIN(next_us, arrival->next_us);
	}
	return next_us;
}

static void
on_timer(gw_timer_t *timer, void *arg)
{
	load_t *load = arg;
	uint64_t next_us, now_us;

	next_us = send_due(load);
	now_us = elapsed_us(load);
	if (is_over(load))
		stop_if_done(load);
	else
		gw_timer_start(load->rt, timer,
		    next_us > now_us ? next_us - now_us : 0, on_timer, load);
}

static void
on_idle(uv_idle_t *idle)
{
	load_t *load = idle->data;

	(void)send_due(load);
	if (is_over(load))
		stop_if_done(load);
}

/*
 * Sends until the duration or the count is reached and every request has
 * ended.
 */
void
load_run(load_t *load)
{
	const load_plan_t *plan = load->plan;

	load->start_us = gw_rt_now_us(load->rt);
	(void)uv_idle_init(gw_rt_loop(load->rt), &load->idle);
	load->idle.data = load;
	if (plan->mean_per_s == 0)
		for (uint32_t i = 0; i < plan->concurrency; i++)
			send_one(load, i % load->route_count, 0);
	else if (plan->spin)
		(void)uv_idle_start(&load->idle, on_idle);
	else
		gw_timer_start(load->rt, &load->timer, 0, on_timer, load);
	gw_rt_run(load->rt);
}

/*
 * Returns the results of a route.
 */
stats_t *
load_stats(load_t *load, uint32_t route)
{
	return &load->stats[route];
}

/*
 * Returns how long the load ran, the last responses included.
 */
double
load_elapsed_s(const load_t *load)
{
	return (double)(load->end_us - load->start_us) / 1e6;
}

/*
 * Frees the load.
 */
void
load_free(load_t *load)
{
	for (uint32_t i = 0; i < load->route_count; i++) {
		stats_clear(&load->stats[i]);
		if (load->plan->mean_per_s > 0)
			arrival_clear(&load->arrivals[i]);
	}
	for (guint i = 0; i < load->targets->len; i++)
		gw_target_unref(load->targets->pdata[i]);
	g_ptr_array_unref(load->targets);
	uv_close((uv_handle_t *)&load->idle, NULL);
	gw_rt_poll(load->rt);
	gw_rt_poll(load->rt);
	g_free(load->arrivals);
	g_free(load->stats);
	g_free(load);
}
