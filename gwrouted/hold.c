#include "hold.h"
#include "router.h"

/*
 * A slot whose attempt was abandoned: the endpoint may still work on it, and
 * would refuse the next request.
 */
typedef struct {
	router_t *router;
	pool_t *pool;
	instance_t *instance;
	bool bound;
	gw_timer_t timer;
	GList link;
} hold_t;

static void
hold_free(GQueue *holds, hold_t *hold)
{
	gw_timer_stop(&hold->timer);
	g_queue_unlink(holds, &hold->link);
	g_free(hold);
}

static void
on_over(gw_timer_t *timer, void *arg)
{
	hold_t *hold = arg;
	router_t *router = hold->router;
	pool_t *pool = hold->pool;

	(void)timer;
	pool_ended(pool, hold->instance, hold->bound);
	router_instance_changed(router, hold->instance, hold->bound);
	hold_free(&router->holds, hold);
	pool_dispatch(pool);
}

/*
 * Keeps the slot of an abandoned attempt in use for hold_us; it counts as in
 * flight until then.
 */
void
hold_start(router_t *router, pool_t *pool, instance_t *instance, bool bound,
    uint64_t hold_us)
{
	hold_t *hold = g_new0(hold_t, 1);

	hold->router = router;
	hold->pool = pool;
	hold->instance = instance;
	hold->bound = bound;
	hold->link.data = hold;
	g_queue_push_tail_link(&router->holds, &hold->link);
	gw_timer_start(router->rt, &hold->timer, hold_us, on_over, hold);
}

/*
 * Ends all holds at the end of the router.
 */
void
holds_clear(GQueue *holds)
{
	while (holds->head != NULL)
		hold_free(holds, holds->head->data);
}
