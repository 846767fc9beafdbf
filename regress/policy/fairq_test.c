#include <string.h>

#include "policy/fairq.h"

#define MAX_SLOTS 64

/* Slots that run items for a given time, on a clock moved by pool_step(). */
typedef struct {
	gw_clock_t clock;
	fairq_t *q;
	GPtrArray *items; /* all items created */
	uint32_t slots;
	fairq_item_t *running[MAX_SLOTS];
	uint64_t end_us[MAX_SLOTS];
	uint64_t quick_wait_us, quick_started; /* quick items that started */
	uint64_t expired;
	uint64_t used_us[2]; /* slot time of team a, team b */
} pool_t;

static void
pool_init(pool_t *pool, const fairq_ops_t *ops, uint32_t slots, uint32_t max)
{
	memset(pool, 0, sizeof(*pool));
	gw_clock_init_paused(&pool->clock, GW_US_PER_S);
	pool->items = g_ptr_array_new_with_free_func(g_free);
	pool->q = fairq_new(ops, &pool->clock, max);
	pool->slots = slots;
	fairq_set_slots(pool->q, slots);
	fairq_set_team(pool->q, "a", 1);
	fairq_set_team(pool->q, "b", 1);
}

static void
pool_clear(pool_t *pool)
{
	fairq_free(pool->q);
	g_ptr_array_free(pool->items, TRUE);
}

/* Returns a new item that runs for service_us; wait_us 0: no deadline. */
static fairq_item_t *
item_new(pool_t *pool, const char *team, request_class_t c, uint64_t service_us,
    uint64_t wait_us)
{
	fairq_item_t *item = g_new0(fairq_item_t, 1);
	uint64_t now_us = gw_clock_now_us(&pool->clock);

	g_ptr_array_add(pool->items, item);
	g_strlcpy(item->team, team, sizeof(item->team));
	item->request_class = c;
	item->arrived_us = now_us;
	item->deadline_us = wait_us == 0 ? 0 : now_us + wait_us;
	item->owner = GSIZE_TO_POINTER(service_us);
	return item;
}

static fairq_verdict_t
push(pool_t *pool, const char *team, request_class_t c, uint64_t service_us,
    uint64_t wait_us)
{
	return fairq_push(
	    pool->q, item_new(pool, team, c, service_us, wait_us));
}

static void
on_expired(fairq_item_t *item, void *arg)
{
	pool_t *pool = arg;

	g_assert_false(item->queued);
	pool->expired++;
}

/* Moves the clock, ends the items that are due and fills the free slots. */
static void
pool_step(pool_t *pool, uint64_t step_us)
{
	uint64_t now_us;

	gw_clock_advance(&pool->clock, step_us);
	now_us = gw_clock_now_us(&pool->clock);
	for (uint32_t i = 0; i < pool->slots; i++) {
		fairq_item_t *item = pool->running[i];

		if (item != NULL && pool->end_us[i] <= now_us) {
			uint64_t used_us = GPOINTER_TO_SIZE(item->owner);
			pool->used_us[item->team[0] == 'b'] += used_us;
			fairq_complete(pool->q, item, used_us);
			pool->running[i] = item = NULL;
		}
		if (item != NULL)
			continue;
		item = fairq_pop(pool->q, on_expired, pool);
		if (item == NULL)
			continue;
		pool->running[i] = item;
		pool->end_us[i] = now_us + GPOINTER_TO_SIZE(item->owner);
		if (item->request_class == CLASS_QUICK) {
			pool->quick_wait_us += now_us - item->arrived_us;
			pool->quick_started++;
		}
	}
}

/*
 * Guards against shares by number of requests or by expected cost instead of
 * slot time: team a fills the queue with requests that take ten times the cost
 * assumed before the first completion, and team b must still get its half.
 */
static void
test_shares_follow_slot_time(void)
{
	pool_t pool;

	pool_init(&pool, &fairq_fair, 16, 10000);
	for (int ms = 0; ms < 30000; ms += 10) {
		for (int i = 0; i < 3; i++)
			push(&pool, "a", CLASS_SETTLEMENT, 2000000, 0);
		push(&pool, "b", CLASS_QUICK, 100000, 0);
		pool_step(&pool, 10000);
	}
	g_assert_cmpuint(pool.used_us[1], >=,
	    95 * (pool.used_us[0] + pool.used_us[1]) / 200);
	pool_clear(&pool);
}

/*
 * Guards against quick requests that wait for long archive requests to end, and
 * against archive requests that never start while quick ones keep arriving.
 */
static void
test_classes_inside_a_team(void)
{
	pool_t pool;
	uint32_t before;

	pool_init(&pool, &fairq_fair, 16, 10000);
	for (int i = 0; i < 1000; i++)
		push(&pool, "a", CLASS_ARCHIVE, 3000000, 0);
	for (int ms = 0; ms < 30000; ms += 10) {
		push(&pool, "a", CLASS_QUICK, 20000, 0);
		pool_step(&pool, 10000);
		if (ms == 10000)
			pool.quick_wait_us = pool.quick_started = 0;
	}
	g_assert_cmpuint(pool.quick_wait_us / pool.quick_started, <, 20000);
	before = fairq_length(pool.q);
	for (int ms = 0; ms < 30000; ms += 10) {
		for (int i = 0; i < 10; i++)
			push(&pool, "a", CLASS_QUICK, 20000, 10000);
		pool_step(&pool, 10000);
	}
	g_assert_cmpuint(fairq_length(pool.q), <, before);
	pool_clear(&pool);
}

/*
 * Guards against admitting a request that can't start before its deadline, and
 * against cancelled requests that still count in the estimated wait.
 */
static void
test_deadline_and_cancellation(void)
{
	fairq_item_t *items[1000];
	uint64_t full_us, rest_us;
	pool_t pool;

	pool_init(&pool, &fairq_fair, 8, 10000);
	for (int i = 0; i < 100; i++) {
		push(&pool, "a", CLASS_SETTLEMENT, 100000, 0);
		pool_step(&pool, 100000);
	}
	for (int i = 0; i < 1000; i++) {
		items[i] = item_new(&pool, "a", CLASS_SETTLEMENT, 100000, 0);
		g_assert_cmpint(
		    fairq_push(pool.q, items[i]), ==, FAIRQ_ADMITTED);
	}
	full_us = fairq_estimate_wait_us(pool.q, "a", CLASS_SETTLEMENT, 0);
	g_assert_cmpuint(full_us, >, 12000000);
	g_assert_cmpuint(full_us, <, 13000000);
	g_assert_cmpint(push(&pool, "a", CLASS_SETTLEMENT, 1, 10000000), ==,
	    FAIRQ_REFUSED_DEADLINE);
	g_assert_cmpint(push(&pool, "b", CLASS_SETTLEMENT, 1, 10000000), ==,
	    FAIRQ_ADMITTED);
	for (int i = 0; i < 900; i++)
		fairq_remove(pool.q, items[i]);
	rest_us = fairq_estimate_wait_us(pool.q, "a", CLASS_SETTLEMENT, 0);
	g_assert_cmpuint(rest_us, <=, full_us / 9);
	for (int i = 0; i < 20; i++)
		pool_step(&pool, 100000);
	g_assert_cmpuint(fairq_length(pool.q), ==, 0);
	g_assert_cmpuint(pool.expired, ==, 0);
	pool_clear(&pool);
}

/*
 * Guards against one team that takes all places in the queue, so that requests
 * of the other are refused, and against more entries than max_items.
 */
static void
test_bound_and_guaranteed_places(void)
{
	uint32_t a = 0, b = 0;
	pool_t pool;

	pool_init(&pool, &fairq_fair, 4, 1000);
	while (push(&pool, "a", CLASS_QUICK, 1000, 0) == FAIRQ_ADMITTED)
		a++;
	while (push(&pool, "b", CLASS_QUICK, 1000, 0) == FAIRQ_ADMITTED)
		b++;
	g_assert_cmpuint(a, <=, 1000);
	g_assert_cmpuint(b, >=, 150);
	g_assert_cmpuint(a + b, <=, 1000);
	for (int i = 0; i < 2000; i++)
		pool_step(&pool, 1000);
	g_assert_cmpuint(fairq_length(pool.q), ==, 0);
	pool_clear(&pool);
}

/*
 * Guards against a FIFO that does not start requests in order of arrival, and
 * against starting one whose deadline is over.
 */
static void
test_fifo_order_and_expiry(void)
{
	pool_t pool;
	fairq_item_t *item;

	pool_init(&pool, &fairq_fifo, 1, 10);
	push(&pool, "a", CLASS_ARCHIVE, 1000, 1000);
	push(&pool, "b", CLASS_ARCHIVE, 1000, 0);
	push(&pool, "a", CLASS_QUICK, 1000, 0);
	gw_clock_advance(&pool.clock, 2000);
	item = fairq_pop(pool.q, on_expired, &pool);
	g_assert_cmpuint(pool.expired, ==, 1);
	g_assert_cmpstr(item->team, ==, "b");
	fairq_complete(pool.q, item, 1000);
	pool_step(&pool, 1000);
	g_assert_cmpuint(fairq_length(pool.q), ==, 0);
	pool_clear(&pool);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fairq/shares", test_shares_follow_slot_time);
	g_test_add_func("/fairq/classes", test_classes_inside_a_team);
	g_test_add_func("/fairq/deadline", test_deadline_and_cancellation);
	g_test_add_func("/fairq/bound", test_bound_and_guaranteed_places);
	g_test_add_func("/fairq/fifo", test_fifo_order_and_expiry);
	return g_test_run();
}
