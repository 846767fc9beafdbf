#include <string.h>

#include "fleet.h"

#define FAILED_RUN_US 5000 /* time in which a broken host fails a request */
/* Retries are at most 1/10 of the requests. */
#define RETRY_LIMIT_DIVISOR 10

static site_t *
request_site(fleet_t *fleet, const request_t *request)
{
	return &fleet->dcs[request->dc].sites[request->pool];
}

static uint32_t
window_of(uint64_t at_us)
{
	return (uint32_t)MIN(at_us / WINDOW_US, MAX_WINDOWS - 1);
}

static bool
enqueue_request(fleet_t *fleet, request_t *request)
{
	site_t *site = request_site(fleet, request);

	request->item.arrived_us = fleet->now_us;
	if (fairq_push(site->q, &request->item) != FAIRQ_ADMITTED)
		return false;
	g_queue_push_tail_link(&site->queued, &request->queue_link);
	return true;
}

static request_t *
request_new(fleet_t *fleet, uint32_t pool, uint32_t team, request_class_t c)
{
	request_t *request = g_new0(request_t, 1);

	g_snprintf(request->item.team, sizeof(request->item.team), "t%u", team);
	request->item.request_class = c;
	request->item.route = pool * CLASS_COUNT + c;
	request->item.deadline_us = fleet->now_us + traffic_wait_us[c];
	request->item.owner = request;
	request->queue_link.data = request;
	request->host_link.data = request;
	request->pool = pool;
	request->team = team;
	request->first_us = fleet->now_us;
	request->service_us =
	    traffic_draw_service_us(&fleet->traffic, c, fleet->now_us);
	request->idempotent = g_rand_int_range(fleet->rand, 0, 2) == 0;
	return request;
}

/*
 * Sets the data centre of the request: a random one that is alive, or, when
 * that has no free slot, the next one that has. Returns false when none is
 * alive.
 */
static bool
route_request(fleet_t *fleet, request_t *request)
{
	uint32_t count = fleet->user->data_centres;
	uint32_t first = (uint32_t)g_rand_int_range(fleet->rand, 0, count);

	for (uint32_t i = 0; i < count; i++) {
		request->dc = (first + i) % count;
		if (fleet->dcs[request->dc].alive)
			break;
	}
	if (!fleet->dcs[request->dc].alive)
		return false;
	first = request->dc;
	if (request_site(fleet, request)->free_slots > 0)
		return true;
	for (uint32_t i = 1; i < count; i++) {
		request->dc = (first + i) % count;
		if (fleet->dcs[request->dc].alive &&
		    request_site(fleet, request)->free_slots > 0) {
			request_site(fleet, request)->free_slots--;
			return true;
		}
	}
	request->dc = first;
	return true;
}

static void
submit_request(fleet_t *fleet, uint32_t pool, uint32_t team, request_class_t c)
{
	request_t *request = request_new(fleet, pool, team, c);
	result_t *result = fleet->result;
	uint32_t window = window_of(fleet->now_us);

	result->requests++;
	result->offered[window][pool][team] += (double)request->service_us;
	if (route_request(fleet, request) && enqueue_request(fleet, request)) {
		result->admitted++;
		return;
	}
	result->refused++;
	g_free(request);
}

void
fleet_arrivals(fleet_t *fleet)
{
	for (uint32_t p = 0; p < USER_SERVICES; p++)
		for (uint32_t t = 0; t < USER_TEAMS; t++)
			for (int c = 0; c < CLASS_COUNT; c++) {
				uint32_t n = traffic_arrivals(&fleet->traffic,
				    p, t, c, fleet->now_us, STEP_US);
				for (; n > 0; n--)
					submit_request(fleet, p, t, c);
			}
}

static void
start_request(fleet_t *fleet, request_t *request, host_t *host)
{
	uint64_t run_us = host->broken ? FAILED_RUN_US : request->service_us;
	uint64_t steps = MIN(run_us / STEP_US + 1, WHEEL_STEPS - 1);
	GPtrArray **slot =
	    &fleet->wheel[(fleet->now_us / STEP_US + steps) % WHEEL_STEPS];

	request->starts++;
	if (request->starts > 1 && !request->idempotent)
		fleet->result->double_runs++;
	request->host = host;
	host->in_flight++;
	g_queue_push_tail_link(&host->running, &request->host_link);
	if (*slot == NULL)
		*slot = g_ptr_array_new();
	g_ptr_array_add(*slot, request);
	histogram_add(&fleet->result->waits[request->item.request_class],
	    fleet->now_us - request->first_us);
}

static void
on_expired(fairq_item_t *item, void *arg)
{
	request_t *request = item->owner;
	fleet_t *fleet = arg;

	g_queue_unlink(
	    &request_site(fleet, request)->queued, &request->queue_link);
	fleet->result->expired++;
	fleet->result->refused++;
	g_free(request);
}

/*
 * Announces to the queue the slots of instances that run other work now. They
 * can be used once the planner reserves them and the other work has stopped.
 */
static void
set_upcoming_slots(fleet_t *fleet, uint32_t d, uint32_t p)
{
	uint64_t at_us = fleet->now_us;
	uint32_t slots = 0;

	for (uint32_t i = 0; i < fleet->hosts->len; i++) {
		const host_t *host = fleet->hosts->pdata[i];

		if (host->dc != d || host->pool != p || !fleet_available(host))
			continue;
		slots += USER_SLOTS;
		at_us = MAX(at_us,
		    host->reserved ? host->reserved_from_us
				   : fleet->now_us + PLAN_US + RECLAIM_US);
	}
	fairq_set_upcoming_slots(fleet->dcs[d].sites[p].q, slots, at_us);
}

/*
 * Lists the pool's instances as candidates for requests, and counts their free
 * slots.
 */
static void
list_candidates(fleet_t *fleet, uint32_t d, uint32_t p)
{
	site_t *site = &fleet->dcs[d].sites[p];
	uint32_t slots = 0;

	site->choice_count = 0;
	site->free_slots = 0;
	for (uint32_t i = 0; i < fleet->hosts->len; i++) {
		host_t *host = fleet->hosts->pdata[i];
		outlier_state_t state;
		choice_candidate_t *c;

		if (host->dc != d || host->pool != p ||
		    !fleet_available(host) || !host->reserved ||
		    fleet->now_us < host->reserved_from_us)
			continue;
		state = outlier_state(site->outlier, host->inst->id);
		g_assert(site->choice_count < MAX_HOSTS);
		c = &site->choices[site->choice_count++];
		*c = (choice_candidate_t){.in_flight = host->in_flight,
		    .granted = USER_SLOTS,
		    .service_mean_us = host->service_mean_us,
		    .usable = state == OUTLIER_HEALTHY,
		    .owner = host};
		if (state == OUTLIER_PROBATION) {
			c->granted = 1;
			c->usable = host->in_flight == 0;
		}
		if (!c->usable)
			continue;
		slots += c->granted;
		site->free_slots += c->granted - MIN(c->granted, c->in_flight);
	}
	fairq_set_slots(site->q, slots);
	fleet->result->capacity[window_of(fleet->now_us)][p] +=
	    slots * (double)STEP_US;
}

static void
start_queued(fleet_t *fleet, site_t *site)
{
	while (site->free_slots > 0) {
		fairq_item_t *item = fairq_pop(site->q, on_expired, fleet);
		int32_t at;

		if (item == NULL)
			return;
		at = choice_power_two.pick(
		    site->choices, site->choice_count, fleet->rand);
		g_assert(at >= 0);
		g_queue_unlink(
		    &site->queued, &((request_t *)item->owner)->queue_link);
		site->choices[at].in_flight++;
		site->free_slots--;
		start_request(fleet, item->owner, site->choices[at].owner);
	}
}

void
fleet_dispatch(fleet_t *fleet)
{
	for (uint32_t d = 0; d < fleet->user->data_centres; d++) {
		for (uint32_t p = 0; p < USER_SERVICES; p++) {
			if (!fleet->dcs[d].alive)
				continue;
			list_candidates(fleet, d, p);
			set_upcoming_slots(fleet, d, p);
			start_queued(fleet, &fleet->dcs[d].sites[p]);
		}
	}
}

static void
detach_host(request_t *request)
{
	request->host->in_flight--;
	g_queue_unlink(&request->host->running, &request->host_link);
	request->host = NULL;
}

/*
 * Queues an idempotent request again, as a copy, because the wheel may still
 * refer to the old one. Returns false when it may not be retried.
 */
static bool
retry_request(fleet_t *fleet, const request_t *request)
{
	request_t *again;

	if (!request->idempotent ||
	    fleet->retries * RETRY_LIMIT_DIVISOR >= fleet->result->requests)
		return false;
	again = g_new0(request_t, 1);
	*again = *request;
	again->queue_link = (GList){.data = again};
	again->host_link = (GList){.data = again};
	again->host = NULL;
	again->orphan = false;
	again->item.impl = NULL;
	again->item.queued = false;
	again->item.owner = again;
	if (route_request(fleet, again) && enqueue_request(fleet, again)) {
		fleet->retries++;
		return true;
	}
	g_free(again);
	return false;
}

static void
finish_request(fleet_t *fleet, request_t *request)
{
	site_t *site = request_site(fleet, request);
	host_t *host = request->host;
	bool failed = host->broken;
	uint64_t used_us = failed ? FAILED_RUN_US : request->service_us;

	fairq_complete(site->q, &request->item, used_us);
	outlier_report(site->outlier, host->inst->id,
	    failed ? OUTLIER_FAILURE : OUTLIER_SUCCESS);
	host->service_mean_us = host->service_mean_us == 0
	    ? (uint32_t)used_us
	    : (uint32_t)((7 * (uint64_t)host->service_mean_us + used_us) / 8);
	detach_host(request);
	if (!failed) {
		fleet->result->completed++;
		fleet->result->done[window_of(request->first_us)][request->pool]
				   [request->team] +=
		    (double)request->service_us;
	} else if (!retry_request(fleet, request)) {
		fleet->result->errors++;
	}
}

void
fleet_complete(fleet_t *fleet)
{
	GPtrArray **slot = &fleet->wheel[fleet->now_us / STEP_US % WHEEL_STEPS];

	for (uint32_t i = 0; *slot != NULL && i < (*slot)->len; i++) {
		request_t *request = (*slot)->pdata[i];

		if (!request->orphan)
			finish_request(fleet, request);
		g_free(request);
	}
	if (*slot != NULL)
		g_ptr_array_free(*slot, TRUE);
	*slot = NULL;
}

/*
 * Loses an instance with its requests in flight. Idempotent ones are retried;
 * the outcome of the others is unknown.
 */
void
fleet_lose_host(fleet_t *fleet, host_t *host)
{
	GList *link;

	host->lost = true;
	host->lost_us = fleet->now_us;
	while ((link = host->running.head) != NULL) {
		request_t *request = link->data;
		site_t *site = request_site(fleet, request);

		fairq_complete(site->q, &request->item,
		    fleet->now_us - request->item.started_us);
		detach_host(request);
		request->orphan = true;
		if (!retry_request(fleet, request))
			fleet->result->unknown++;
	}
}
