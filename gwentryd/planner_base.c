#include "planner_impl.h"

/*
 * Frees a released planner, when no call is in flight.
 */
void
planner_destroy(planner_t *planner)
{
	fleet_free(planner->fleet);
	gw_httpc_free(planner->machines_api);
	g_hash_table_destroy(planner->pools);
	g_hash_table_destroy(planner->wave_records);
	g_array_free(planner->recent_orders, TRUE);
	g_array_free(planner->pending_orders, TRUE);
	g_array_free(planner->orders_in_write, TRUE);
	g_ptr_array_free(planner->queued_waves, TRUE);
	g_free(planner->list_page_token);
	g_free(planner->records_resume_key);
	g_free(planner);
}

/*
 * Ends a call. Returns false if the planner was released during the call; it
 * may have been freed.
 */
bool
planner_end_call(planner_t *planner)
{
	planner->calls_in_flight--;
	if (!planner->released)
		return true;
	if (planner->calls_in_flight == 0)
		planner_destroy(planner);
	return false;
}

/*
 * Counts a call as in flight until planner_end_call(). The caller frees the
 * result.
 */
planner_call_t *
planner_call_new(planner_t *planner, const char *subject)
{
	planner_call_t *call = g_new0(planner_call_t, 1);

	call->planner = planner;
	g_strlcpy(call->subject, subject, sizeof(call->subject));
	planner->calls_in_flight++;
	return call;
}
