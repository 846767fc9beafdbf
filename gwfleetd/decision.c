#include "fleet_state.h"
#include "gw/log.h"

/*
 * Initializes an empty list of decisions.
 */
void
decisions_init(decisions_t *decisions)
{
	g_queue_init(&decisions->kept);
}

/*
 * Frees the kept decisions.
 */
void
decisions_clear(decisions_t *decisions)
{
	g_queue_clear_full(&decisions->kept, g_free);
}

/*
 * Logs a decision, and keeps it for /v1/explain in place of the oldest one when
 * DECISIONS_KEPT are held.
 */
void
decision_log(fleet_t *fleet, const char *what, const char *instance_id,
    const char *pool, const char *reason)
{
	decision_t *decision;

	decision = g_new0(decision_t, 1);
	decision->at_us = fleet_now_us(fleet);
	g_strlcpy(decision->what, what, sizeof(decision->what));
	g_strlcpy(
	    decision->instance_id, instance_id, sizeof(decision->instance_id));
	g_strlcpy(decision->pool, pool, sizeof(decision->pool));
	g_strlcpy(decision->reason, reason, sizeof(decision->reason));
	g_queue_push_tail(&fleet->decisions.kept, decision);
	if (fleet->decisions.kept.length > DECISIONS_KEPT)
		g_free(g_queue_pop_head(&fleet->decisions.kept));
	fleet->metrics.decisions->value++;
	gw_log(GW_EV_DECISION, "what=%s instance=%s pool=%s reason=\"%s\"",
	    what, instance_id, pool, reason);
}
