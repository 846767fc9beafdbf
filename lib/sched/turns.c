#include "sched/impl.h"

/* The jobs of one owner while they are being ordered. */
typedef struct {
	sched_turn_t turn;
	GPtrArray *jobs; /* sched_job_t, first one first */
	guint next;
} lane_t;

static lane_t *
get_lane(GArray *lanes, const share_t *share, const sched_turn_t *turn)
{
	lane_t lane = {.turn = *turn};

	for (guint i = 0; i < lanes->len; i++)
		if (g_array_index(lanes, lane_t, i).turn.owner == turn->owner)
			return &g_array_index(lanes, lane_t, i);
	share_activate(share, &lane.turn.account);
	lane.jobs = g_ptr_array_new();
	g_array_append_val(lanes, lane);
	return &g_array_index(lanes, lane_t, lanes->len - 1);
}

static lane_t *
next_lane(GArray *lanes)
{
	lane_t *best = NULL;

	for (guint i = 0; i < lanes->len; i++) {
		lane_t *lane = &g_array_index(lanes, lane_t, i);

		if (lane->next < lane->jobs->len &&
		    (best == NULL ||
			lane->turn.account.tag < best->turn.account.tag))
			best = lane;
	}
	return best;
}

/*
 * Lets the owners of the jobs take turns by their tags, as if each job's
 * waiting work were placed. The jobs of an owner keep their order.
 */
void
sched_turns_take(const sched_pool_t *pool, const share_t *now,
    sched_turn_of_t turn_of, sched_job_t **jobs, guint count)
{
	g_autoptr(GArray) lanes = g_array_new(FALSE, TRUE, sizeof(lane_t));
	share_t share = *now;
	lane_t *lane;
	guint at = 0;

	for (guint i = 0; i < count; i++) {
		sched_turn_t turn = turn_of(pool, jobs[i]);

		g_ptr_array_add(get_lane(lanes, now, &turn)->jobs, jobs[i]);
	}
	while ((lane = next_lane(lanes)) != NULL) {
		sched_job_t *job = lane->jobs->pdata[lane->next++];
		sched_ready_t ready = {0};

		sched_job_add_ready(job, &ready);
		share_charge(&share, &lane->turn.account, ready.cpu_ms,
		    lane->turn.weight);
		jobs[at++] = job;
	}
	for (guint i = 0; i < lanes->len; i++)
		g_ptr_array_free(g_array_index(lanes, lane_t, i).jobs, TRUE);
}
