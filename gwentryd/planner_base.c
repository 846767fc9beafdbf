#include "planner_impl.h"

/*
 * Frees a planner that was given up, after its last call.
 */
void
planner_destroy(planner_t *planner)
{
	fleet_free(planner->fleet);
	gw_httpc_free(planner->machines);
	g_hash_table_destroy(planner->pools);
	g_hash_table_destroy(planner->waves);
	g_array_free(planner->recent, TRUE);
	g_array_free(planner->orders, TRUE);
	g_array_free(planner->recording, TRUE);
	g_ptr_array_free(planner->wave_queue, TRUE);
	g_free(planner->page);
	g_free(planner->records_after);
	g_free(planner);
}

/*
 * Ends a call; false when the planner was given up meanwhile.
 */
bool
planner_call_ended(planner_t *planner)
{
	planner->refs--;
	if (!planner->dead)
		return true;
	if (planner->refs == 0)
		planner_destroy(planner);
	return false;
}

/*
 * Counts a call as under way; planner_call_ended() counts it off.
 */
asked_t *
planner_asked_new(planner_t *planner, const char *machine)
{
	asked_t *asked = g_new0(asked_t, 1);

	asked->planner = planner;
	g_strlcpy(asked->machine, machine, sizeof(asked->machine));
	planner->refs++;
	return asked;
}
