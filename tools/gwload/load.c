#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "load.h"

#define CONNECT_TIMEOUT_MS 2000
#define IDLE_TIMEOUT_MS 2000

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
	bool ended; /* no more requests will be sent */
	gw_timer_t timer;
	uv_idle_t idle;
};

/* A request in flight. */
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
} request_t;

static void send_request(load_t *, uint32_t route, uint64_t intended_us);

static uint32_t
count_routes(char **routes)
{
	return (uint32_t)g_strv_length(routes);
}

/*
 * Returns a load. It sends nothing before load_run().
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
		    gw_target_new(rt, &plan->targets[i], CONNECT_TIMEOUT_MS,
			IDLE_TIMEOUT_MS));
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

/*
 * Sets ended once the number of requests or the duration is reached, and
 * returns it.
 */
static bool
update_ended(load_t *load)
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
 * Writes the request's id, route, outcome, whether the response body matched,
 * and the status. The ids can be compared with those that the endpoints ran.
 */
static void
write_request_line(
    const request_t *request, outcome_t outcome, bool body_matches)
{
	const load_plan_t *plan = request->load->plan;

	if (plan->each_file != NULL)
		fprintf(plan->each_file, "%s-%u\t%s\t%s\t%s\t%d\n",
		    plan->id_prefix, request->number,
		    plan->routes[request->route], outcome_name(outcome),
		    body_matches ? "own" : "other", request->status);
}

static void
request_end(request_t *request, outcome_t outcome)
{
	load_t *load = request->load;
	stats_t *stats = &load->stats[request->route];
	uint32_t route = request->route;
	bool body_matches = true;

	gw_timer_stop(&request->timer);
	stats_record(stats, outcome, elapsed_us(load) - request->intended_us);
	if (outcome == OUTCOME_ANSWERED)
		body_matches = !request->mismatched &&
		    request->matched_bytes == g_bytes_get_size(request->body);
	if (!body_matches)
		stats->mismatched++;
	write_request_line(request, outcome, body_matches);
	g_bytes_unref(request->body);
	g_free(request);
	load->in_flight--;
	if (load->plan->mean_per_s == 0 && !update_ended(load))
		send_request(load, route, elapsed_us(load));
	stop_if_done(load);
}

/*
 * Reads Godwit-Outcome. Without it, as from an endpoint that is called
 * directly, the status decides.
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
	request_t *request = arg;

	request->outcome = read_outcome(head);
	request->status = head->status;
	return 0;
}

/*
 * Compares the response body with the request's, which an endpoint echoes.
 */
static int
on_body(const char *piece, size_t size_bytes, void *arg)
{
	request_t *request = arg;
	const char *expected;
	gsize expected_bytes;

	expected = g_bytes_get_data(request->body, &expected_bytes);
	if (request->matched_bytes + size_bytes > expected_bytes ||
	    memcmp(expected + request->matched_bytes, piece, size_bytes) != 0)
		request->mismatched = true;
	request->matched_bytes += size_bytes;
	return 0;
}

static void
on_end(const gw_err_t *err, void *arg)
{
	request_t *request = arg;

	request_end(request, err == NULL ? request->outcome : OUTCOME_BROKEN);
}

static const gw_exchange_ops_t exchange_ops = {NULL, on_head, on_body, on_end};

static void
on_timeout(gw_timer_t *timer, void *arg)
{
	request_t *request = arg;

	(void)timer;
	gw_exchange_cancel(request->exchange);
	request_end(request, OUTCOME_BROKEN);
}

/*
 * Returns a body that contains the request's number, so that no two requests
 * have equal bodies.
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
send_request(load_t *load, uint32_t route, uint64_t intended_us)
{
	const load_plan_t *plan = load->plan;
	uint32_t number = load->sent++;
	GBytes *head;
	request_t *request;

	if (load->in_flight >= plan->in_flight_max) {
		load->stats[route].unsent++;
		return;
	}
	load->stats[route].sent++;
	load->in_flight++;
	request = g_new0(request_t, 1);
	request->load = load;
	request->route = route;
	request->number = number;
	request->intended_us = intended_us;
	request->outcome = OUTCOME_BROKEN;
	request->body = make_body(load, number);
	head = make_head(load, route, number, request->body);
	gw_timer_start(load->rt, &request->timer,
	    plan->timeout_ms * GW_US_PER_MS, on_timeout, request);
	request->exchange =
	    gw_exchange_start(load->targets->pdata[number % load->targets->len],
		head, request->body, strcmp(plan->method, "HEAD") == 0,
		&exchange_ops, request);
	g_bytes_unref(head);
}

/*
 * Sends the requests that are due on every route. Returns the next intended
 * time.
 */
static uint64_t
send_due_requests(load_t *load)
{
	uint64_t now_us, next_us = UINT64_MAX;

	for (uint32_t i = 0; i < load->route_count; i++) {
		arrival_t *arrival = &load->arrivals[i];

		now_us = elapsed_us(load);
		while (arrival->next_us <= now_us && !update_ended(load)) {
			send_request(load, i, arrival->next_us);
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

	next_us = send_due_requests(load);
	now_us = elapsed_us(load);
	if (update_ended(load))
		stop_if_done(load);
	else
		gw_timer_start(load->rt, timer,
		    next_us > now_us ? next_us - now_us : 0, on_timer, load);
}

static void
on_idle(uv_idle_t *idle)
{
	load_t *load = idle->data;

	(void)send_due_requests(load);
	if (update_ended(load))
		stop_if_done(load);
}

/*
 * Sends requests until the duration or the number of requests is reached, then
 * waits until every request has ended.
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
			send_request(load, i % load->route_count, 0);
	else if (plan->spin)
		(void)uv_idle_start(&load->idle, on_idle);
	else
		gw_timer_start(load->rt, &load->timer, 0, on_timer, load);
	gw_rt_run(load->rt);
}

stats_t *
load_stats(load_t *load, uint32_t route)
{
	return &load->stats[route];
}

/*
 * Returns the duration of the load, up to the last response.
 */
double
load_elapsed_s(const load_t *load)
{
	return (double)(load->end_us - load->start_us) / 1e6;
}

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
