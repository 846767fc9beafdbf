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
remaining_work_cpu_ms(
    const sched_job_t *job, const sched_occurrence_t *occurrence)
{
	uint64_t work = 0;

	for (uint32_t i = 0; i < occurrence->step_count; i++) {
		const Gw__JobStep *step = job->spec->steps[i];

		work += sched_step_work_cpu_ms(step, occurrence->steps[i].open);
	}
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
 * Ranks a job. The order matters when a queue submits more than its pool can
 * do. After the long-running jobs come those that can still end in time, then
 * those that are late. In these two classes jobs beyond their team's share come
 * last, and of the others the job with the least work left comes first, so that
 * as many jobs as possible end in time. Overdue jobs come last. Long-running
 * and overdue jobs are placed in the order of their first submission.
 */
sched_rank_t
sched_job_update_rank(sched_job_t *job, uint64_t now_us)
{
	uint64_t age_ms =
	    (gw_elapsed_us(now_us, job->accepted_us)) / GW_US_PER_MS;
	uint64_t objective_ms =
	    sched_objective_ms(job->spec, job->critical_path_ms);
	uint32_t critical_path_ms = 0;
	uint64_t work = 0;

	if (job->long_running) {
		job->rank_class = SCHED_RANK_LONG_RUNNING;
		job->rank = job->accepted_us;
		return job->rank_class;
	}
	for (guint i = 0; i < job->occurrences->len; i++) {
		const sched_occurrence_t *occurrence =
		    job->occurrences->pdata[i];

		critical_path_ms = MAX(critical_path_ms,
		    sched_critical_path_ms(job->spec, occurrence));
		work += remaining_work_cpu_ms(job, occurrence);
	}
	if (age_ms + critical_path_ms <= objective_ms) {
		job->rank_class = SCHED_RANK_IN_TIME;
		job->rank = work;
	} else if (age_ms + critical_path_ms <=
	    SCHED_OVERDUE_FACTOR * objective_ms) {
		job->rank_class = SCHED_RANK_LATE;
		job->rank = work;
	} else {
		job->rank_class = SCHED_RANK_OVERDUE;
		job->rank = job->accepted_us;
	}
	return job->rank_class;
}

/*
 * Compares two jobs by the rank that sched_job_update_rank() set; negative when
 * x comes first.
 */
int
sched_compare_rank(const sched_job_t *x, const sched_job_t *y)
{
	if (x->rank_class != y->rank_class)
		return x->rank_class < y->rank_class ? -1 : 1;
	if (x->is_beyond_share != y->is_beyond_share)
		return x->is_beyond_share ? 1 : -1;
	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	return 0;
}

static gint
compare_jobs(gconstpointer a, gconstpointer b)
{
	return sched_compare_rank(
	    *(const sched_job_t *const *)a, *(const sched_job_t *const *)b);
}

/*
 * Sorts jobs into the order in which they are placed.
 */
void
sched_sort_jobs(GPtrArray *jobs, uint64_t now_us)
{
	for (guint i = 0; i < jobs->len; i++)
		(void)sched_job_update_rank(jobs->pdata[i], now_us);
	g_ptr_array_sort(jobs, compare_jobs);
}
