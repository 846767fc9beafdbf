#include <string.h>

#include "jobs_state.h"

/*
 * The platform's usage figures can be 10 s old, so a job's usage counts only
 * after it ran longer than that.
 */
#define USAGE_MIN_RUN_MS 15000

/*
 * Sums the declared resources of an instance's jobs. Returns false when the
 * instance's usage cannot be divided among them: one is throttled, not
 * confirmed, started too recently or has ended.
 */
static bool
sum_declared(const fleet_t *fleet, const char *node, place_size_t *sum)
{
	uint64_t now_us = fleet_now_us(fleet);
	GHashTableIter iter;
	gpointer value;

	memset(sum, 0, sizeof(*sum));
	g_hash_table_iter_init(&iter, fleet->jobs->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const job_t *job = value;

		if (strcmp(job->node, node) != 0 || !job->task_may_exist)
			continue;
		if (job->place.throttled || !job_placed(job) ||
		    !job->confirmed ||
		    now_us < job->started_us + USAGE_MIN_RUN_MS * GW_US_PER_MS)
			return false;
		for (int r = 0; r < PLACE_RESOURCE_COUNT; r++)
			sum->of[r] += job->spec.size.of[r];
	}
	return sum->of[PLACE_CPU_MILLIS] > 0;
}

static void
divide_usage(fleet_t *fleet, const char *node, const json_t *from)
{
	static const char *const names[] = {"cpu_millis", "memory_mib"};
	place_size_t sum, part;
	GHashTableIter iter;
	gpointer value;

	if (!sum_declared(fleet, node, &sum))
		return;
	g_hash_table_iter_init(&iter, fleet->jobs->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		job_t *job = value;

		if (strcmp(job->node, node) != 0 || !job_placed(job))
			continue;
		part = job->spec.size;
		for (int r = 0; r < PLACE_ACCELERATORS; r++)
			part.of[r] = (uint64_t)json_integer_value(
					 json_object_get(from, names[r])) *
			    part.of[r] / MAX(sum.of[r], 1);
		place_record_usage(fleet->jobs->place, &job->place, &part);
	}
}

/*
 * Handles the platform's usage figures, which are delayed and per instance. The
 * usage of an instance is divided among its jobs in proportion to their
 * declared resources, if all of them ran long enough and none ended there
 * lately.
 */
void
job_handle_usage(fleet_t *fleet, const job_msg_t *msg)
{
	const json_t *from;
	const char *id;
	size_t i;

	if (msg->call != fleet->jobs->usage_call)
		return;
	json_array_foreach(json_object_get(msg->list, "instances"), i, from)
	{
		id = json_string_value(json_object_get(from, "id"));
		if (id != NULL)
			divide_usage(fleet, id, from);
	}
}
