#include "sched/impl.h"

/*
 * Estimates the time of the longest chain of dependent steps, if every task has
 * room at once. Counts only the open steps of the occurrence, or all steps when
 * it is NULL.
 */
uint32_t
sched_critical_path_ms(
    const Gw__JobSpec *spec, const sched_occurrence_t *occurrence)
{
	uint32_t end_ms[SCHED_STEPS_MAX], longest_ms = 0;

	for (size_t i = 0; i < spec->n_steps; i++) {
		const Gw__JobStep *step = spec->steps[i];
		bool is_open =
		    occurrence == NULL || occurrence->steps[i].open > 0;

		end_ms[i] = 0;
		for (size_t k = 0; k < step->n_after; k++)
			end_ms[i] = MAX(end_ms[i], end_ms[step->after[k]]);
		end_ms[i] += is_open ? step->estimate_ms : 0;
		longest_ms = MAX(longest_ms, end_ms[i]);
	}
	return longest_ms;
}

/*
 * Estimates the remaining work of an occurrence, in core milliseconds.
 */
static uint64_t
remaining_work(const sched_pool_t *pool, const sched_job_t *job,
    const sched_occurrence_t *occurrence)
{
	uint64_t work = 0;

	for (uint32_t i = 0; i < occurrence->step_count; i++)
		work += sched_order_step_work(
		    pool, job->spec->steps[i], occurrence->steps[i].open);
	return work;
}

/*
 * Returns the time from first submission in which a job with this critical path
 * should end.
 */
uint64_t
sched_objective_ms(const Gw__JobSpec *spec, uint64_t critical_path_ms)
{
	return spec->objective_ms +
	    critical_path_ms * spec->stretch_permille / 1000;
}

/*
 * Sets the key by which a job is ordered; see order.c. After the long-running
 * jobs come those that can still end in time, then those that are late. Among
 * equals of these two classes the job with the least work left comes first, so
 * that as many jobs as possible end in time. Overdue jobs come last.
 * Long-running and overdue jobs are placed in the order of their first
 * submission.
 */
sched_rank_t
sched_job_update_rank(
    const sched_pool_t *pool, sched_job_t *job, uint64_t now_us)
{
	uint64_t age_ms =
	    (gw_elapsed_us(now_us, job->accepted_us)) / GW_US_PER_MS;
	uint64_t objective_ms =
	    sched_objective_ms(job->spec, job->critical_path_ms);
	sched_order_key_t *key = &job->key_in_order;
	uint32_t critical_path_ms = 0;
	uint64_t work = 0;

	key->priority = job->spec->priority;
	if (job->long_running) {
		key->rank_class = SCHED_RANK_LONG_RUNNING;
		key->rank = job->accepted_us;
		return key->rank_class;
	}
	for (guint i = 0; i < job->occurrences->len; i++) {
		const sched_occurrence_t *occurrence =
		    job->occurrences->pdata[i];

		critical_path_ms = MAX(critical_path_ms,
		    sched_critical_path_ms(job->spec, occurrence));
		work += remaining_work(pool, job, occurrence);
	}
	key->rank = work;
	if (age_ms + critical_path_ms <= objective_ms) {
		key->rank_class = SCHED_RANK_IN_TIME;
	} else if (age_ms + critical_path_ms <=
	    SCHED_OVERDUE_FACTOR * objective_ms) {
		key->rank_class = SCHED_RANK_LATE;
	} else {
		key->rank_class = SCHED_RANK_OVERDUE;
		key->rank = job->accepted_us;
	}
	return key->rank_class;
}
