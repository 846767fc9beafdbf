#include <string.h>

#include "gw/runtime.h"
#include "http/budget.h"

/* The process with an empty registry, its store's and peers' buffers included.
 */
#define OWN_BYTES (12 * 1024 * 1024)
/* Jobs, runs and reports of one instance. */
#define INSTANCE_BYTES (24 * 1024)
/* Share of the memory that is kept for peaks of the process's own state. */
#define OWN_DIVISOR 4
/* Callers' least share, however large the registry grows. */
#define CALLERS_DIVISOR 8
/* A connection may send nothing for so long before idle ones go first. */
#define SILENT_US (500 * GW_US_PER_MS)
/* The kernel's buffer for bytes that have not been read. */
#define KERNEL_BYTES (32 * 1024)
/* Descriptors for files and the like, which the platform counts apart. */
#define FILE_DESCRIPTORS 200
#define CONNECTIONS_MAX 3000
#define CONNECTIONS_MIN 16
/* A buffer that grows holds up to twice what was received. */
#define BUFFER_FACTOR 2
/* Added to what was received, so that a connection without progress has a cost.
 */
#define PROGRESS_UNIT_BYTES 1024

/*
 * Sets the limits on bytes and connections. Half of what the process does not
 * need for itself is for what it has allocated, half for what the kernel holds
 * for connections. A quarter of the descriptors is kept for instances, the
 * store, other processes and probes. The largest body always fits.
 */
void
gw_budget_size(gw_budget_limits_t *limits, const gw_budget_host_t *host)
{
	uint32_t sockets =
	    host->descriptors - MIN(host->descriptors, FILE_DESCRIPTORS);
	uint64_t own_bytes = OWN_BYTES + host->memory_bytes / OWN_DIVISOR +
	    (uint64_t)host->instances * INSTANCE_BYTES;
	uint64_t callers_bytes =
	    host->memory_bytes - MIN(host->memory_bytes, own_bytes);
	uint64_t connections = MIN(sockets - sockets / 4, CONNECTIONS_MAX);

	limits->held_max_bytes = 0;
	if (host->memory_bytes > 0) {
		callers_bytes =
		    MAX(callers_bytes, host->memory_bytes / CALLERS_DIVISOR);
		limits->held_max_bytes = MAX(callers_bytes / 2,
		    2 * BUFFER_FACTOR * (uint64_t)host->body_max_bytes);
		connections =
		    MIN(connections, callers_bytes / 2 / KERNEL_BYTES);
	}
	limits->connections_max = (uint32_t)MAX(connections, CONNECTIONS_MIN);
}

void
gw_budget_init(gw_budget_t *budget, const gw_budget_limits_t *limits)
{
	memset(budget, 0, sizeof(*budget));
	budget->limits = *limits;
	g_queue_init(&budget->callers);
}

/*
 * Adds a connection that was just accepted.
 */
void
gw_budget_add(gw_budget_t *budget, gw_caller_t *caller, uint64_t now_us)
{
	memset(caller, 0, sizeof(*caller));
	caller->since_us = now_us;
	caller->link.data = caller;
	g_queue_push_tail_link(&budget->callers, &caller->link);
}

/*
 * Removes a connection that has been closed, whoever closed it.
 */
void
gw_budget_remove(gw_budget_t *budget, gw_caller_t *caller)
{
	budget->held_bytes[caller->state] -= caller->held_bytes;
	if (caller->is_closing)
		budget->closing--;
	g_queue_unlink(&budget->callers, &caller->link);
}

/*
 * Records what the connection does from now on. A body belongs to the request
 * whose header began earlier.
 */
void
gw_budget_set_state(gw_budget_t *budget, gw_caller_t *caller,
    gw_caller_state_t state, uint64_t now_us)
{
	if (caller->state == state)
		return;
	budget->held_bytes[caller->state] -= caller->held_bytes;
	budget->held_bytes[state] += caller->held_bytes;
	if (caller->state != GW_CALLER_HEADER || state != GW_CALLER_BODY)
		caller->since_us = now_us;
	caller->state = state;
}

/*
 * Sets the bytes that are allocated for the connection, and those received of
 * its request.
 */
void
gw_budget_set_bytes(gw_budget_t *budget, gw_caller_t *caller,
    uint64_t held_bytes, uint64_t received_bytes)
{
	budget->held_bytes[caller->state] += held_bytes;
	budget->held_bytes[caller->state] -= caller->held_bytes;
	caller->held_bytes = held_bytes;
	caller->received_bytes = received_bytes;
}

/*
 * Returns the bytes held for all callers.
 */
uint64_t
gw_budget_held(const gw_budget_t *budget)
{
	uint64_t sum_bytes = budget->forwarded_bytes;

	for (int i = 0; i < GW_CALLER_STATES; i++)
		sum_bytes += budget->held_bytes[i];
	return sum_bytes;
}

/*
 * Charges a request that is to be forwarded. Returns false if those that are
 * being forwarded would have more than half of the budget; a single one is
 * always allowed.
 */
bool
gw_budget_charge_forward(gw_budget_t *budget, uint64_t size_bytes)
{
	if (budget->limits.held_max_bytes > 0 && budget->forwarded_bytes > 0 &&
	    budget->forwarded_bytes + size_bytes >
		budget->limits.held_max_bytes / 2)
		return false;
	budget->forwarded_bytes += size_bytes;
	return true;
}

void
gw_budget_release_forward(gw_budget_t *budget, uint64_t size_bytes)
{
	budget->forwarded_bytes -= size_bytes;
}

/*
 * Returns what a connection costs: its bytes, for as long as its request has
 * taken, by what it has received in that time. The bytes count twice, since
 * closing small ones frees little.
 */
static double
cost(const gw_caller_t *caller, uint64_t now_us)
{
	uint64_t age_us = gw_elapsed_us(now_us, caller->since_us) + 1;
	uint64_t progress_bytes = caller->received_bytes + PROGRESS_UNIT_BYTES;

	return (double)caller->held_bytes * (double)caller->held_bytes *
	    (double)age_us / (double)progress_bytes;
}

/*
 * Returns whether the connection may be closed. One whose request is handled
 * gets its response first.
 */
static bool
is_closable(const gw_caller_t *caller)
{
	return !caller->is_closing && caller->state != GW_CALLER_HANDLED;
}

static gw_caller_t *
find_costliest(const gw_budget_t *budget, uint64_t now_us)
{
	gw_caller_t *found = NULL;
	double found_cost = 0;

	for (GList *link = budget->callers.head; link != NULL;
	     link = link->next) {
		gw_caller_t *caller = link->data;
		double its_cost = cost(caller, now_us);

		if (!is_closable(caller) ||
		    (found != NULL && its_cost <= found_cost))
			continue;
		found = caller;
		found_cost = its_cost;
	}
	return found;
}

/*
 * Returns the connection that has been longest in the state, or NULL.
 */
static gw_caller_t *
find_longest(const gw_budget_t *budget, gw_caller_state_t state)
{
	gw_caller_t *found = NULL;

	for (GList *link = budget->callers.head; link != NULL;
	     link = link->next) {
		gw_caller_t *caller = link->data;

		if (caller->state == state && !caller->is_closing &&
		    (found == NULL || caller->since_us < found->since_us))
			found = caller;
	}
	return found;
}

/*
 * Returns the connection to close where there are too many: one that has sent
 * nothing for a while, then the longest idle one, then one that has just sent
 * nothing, unless it is the newest, then the costliest.
 */
static gw_caller_t *
find_dispensable(const gw_budget_t *budget, uint64_t now_us)
{
	gw_caller_t *silent = find_longest(budget, GW_CALLER_NEW);
	gw_caller_t *idle;

	if (silent != NULL &&
	    gw_elapsed_us(now_us, silent->since_us) >= SILENT_US)
		return silent;
	idle = find_longest(budget, GW_CALLER_IDLE);
	if (idle != NULL)
		return idle;
	if (silent != NULL && silent != budget->callers.tail->data)
		return silent;
	return find_costliest(budget, now_us);
}

static bool
has_too_many(const gw_budget_t *budget)
{
	return budget->limits.connections_max > 0 &&
	    budget->callers.length - budget->closing >
	    budget->limits.connections_max;
}

static bool
holds_too_much(const gw_budget_t *budget)
{
	return budget->limits.held_max_bytes > 0 &&
	    gw_budget_held(budget) > budget->limits.held_max_bytes;
}

bool
gw_budget_is_over(const gw_budget_t *budget)
{
	return has_too_many(budget) || holds_too_much(budget);
}

/*
 * Returns the connection to close while there are too many connections, or too
 * many bytes are held, and sets the reason.
 */
gw_caller_t *
gw_budget_next(gw_budget_t *budget, uint64_t now_us, gw_close_reason_t *reason)
{
	if (has_too_many(budget)) {
		*reason = GW_CLOSE_CONNECTIONS;
		return find_dispensable(budget, now_us);
	}
	if (!holds_too_much(budget))
		return NULL;
	*reason = GW_CLOSE_BYTES;
	return find_costliest(budget, now_us);
}

/*
 * Returns whether the connection is over a limit of time, and sets the reason.
 */
static bool
is_expired(const gw_budget_t *budget, const gw_caller_t *caller,
    uint64_t now_us, gw_close_reason_t *reason)
{
	uint64_t limit_ms = budget->limits.idle_timeout_ms;

	switch (caller->state) {
	case GW_CALLER_NEW:
	case GW_CALLER_IDLE:
		*reason = GW_CLOSE_IDLE;
		break;
	case GW_CALLER_HEADER:
		*reason = GW_CLOSE_HEADER_TIMEOUT;
		limit_ms = budget->limits.header_timeout_ms;
		break;
	case GW_CALLER_RESPONSE:
		*reason = GW_CLOSE_RESPONSE_TIMEOUT;
		break;
	default: /* libh2o bounds the time of a request */
		return false;
	}
	return limit_ms > 0 && !caller->is_closing &&
	    gw_elapsed_us(now_us, caller->since_us) >= limit_ms * GW_US_PER_MS;
}

/*
 * Returns a connection that is over a limit of time, or NULL, and sets the
 * reason.
 */
gw_caller_t *
gw_budget_next_expired(
    gw_budget_t *budget, uint64_t now_us, gw_close_reason_t *reason)
{
	for (GList *link = budget->callers.head; link != NULL;
	     link = link->next)
		if (is_expired(budget, link->data, now_us, reason))
			return link->data;
	return NULL;
}

/*
 * Records that a connection is being closed: it is not returned again, and its
 * descriptor counts as free.
 */
void
gw_budget_closing(
    gw_budget_t *budget, gw_caller_t *caller, gw_close_reason_t reason)
{
	caller->is_closing = true;
	budget->closing++;
	budget->closed[reason]++;
}

/*
 * Returns the name of a reason, for logs and labels.
 */
const char *
gw_close_reason_name(gw_close_reason_t reason)
{
	static const char *const names[GW_CLOSE_REASONS] = {"bytes",
	    "connections", "header-bytes", "header-timeout", "idle",
	    "response-timeout"};

	return names[reason];
}
