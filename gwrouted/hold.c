#include "hold.h"
#include "router.h"

/*
 * A slot that stays in use after its attempt was abandoned, since the endpoint
 * may still work on that request and would refuse another one.
 */
typedef struct {
	router_t *router;
	pool_t *pool;
	instance_t *instance;
	bool was_time_bound;
	gw_timer_t timer;
	GList link;
} slot_hold_t;

static void
hold_free(GQueue *slot_holds, slot_hold_t *hold)
{
	gw_timer_stop(&hold->timer);
	g_queue_unlink(slot_holds, &hold->link);
	g_free(hold);
}

static void
on_hold_expired(gw_timer_t *timer, void *arg)
{
	slot_hold_t *hold = arg;
	router_t *router = hold->router;
	pool_t *pool = hold->pool;

	(void)timer;
	pool_attempt_ended(pool, hold->instance, hold->was_time_bound);
	router_attempt_ended(router, hold->instance, hold->was_time_bound);
	hold_free(&router->slot_holds, hold);
	pool_dispatch(pool);
}

/*
 * Keeps the slot of an abandoned attempt in use for hold_us. The attempt counts
 * as in flight until then.
 */
void
slot_hold_start(router_t *router, pool_t *pool, instance_t *instance,
    bool was_time_bound, uint64_t hold_us)
{
	slot_hold_t *hold = g_new0(slot_hold_t, 1);

	hold->router = router;
	hold->pool = pool;
	hold->instance = instance;
	hold->was_time_bound = was_time_bound;
	hold->link.data = hold;
	g_queue_push_tail_link(&router->slot_holds, &hold->link);
	gw_timer_start(
	    router->rt, &hold->timer, hold_us, on_hold_expired, hold);
}

/*
 * Frees all holds; called when the router is freed.
 */
void
slot_holds_clear(GQueue *slot_holds)
{
	while (slot_holds->head != NULL)
		hold_free(slot_holds, slot_holds->head->data);
}
