#include "sched/impl.h"

/* A job is late for its objective up to this many times over. */
#define LATE_FACTOR 3

/* Jobs are served class by class. */
enum {
	RANK_LASTING, /* its tasks are owed at any time */
	RANK_IN_TIME, /* can still meet its objective */
	RANK_LATE,    /* can still be done before it is worth nothing */
	RANK_OVERDUE
};

/*
 * Estimates the longest chain of steps, in ms, with room for every task.
 */
uint32_t
sched_chain_ms(const Gw__JobSpec *spec)
{
	uint32_t *end_ms = g_new0(uint32_t, spec->n_steps);
	uint32_t longest_ms = 0;

	for (size_t i = 0; i < spec->n_steps; i++) {
		const Gw__JobStep *step = spec->steps[i];
		uint32_t start_ms = 0;

		for (size_t k = 0; k < step->n_after; k++)
			start_ms = MAX(start_ms, end_ms[step->after[k]]);
		end_ms[i] = start_ms + step->estimate_ms;
		longest_ms = MAX(longest_ms, end_ms[i]);
	}
	g_free(end_ms);
	return longest_ms;
}

/*
 * Estimates what is left of an occurrence: the longest chain of open steps in
 * ms, and the work in cpu-ms.
 */
static void
left(const sched_job_t *job, const sched_occurrence_t *occurrence,
    uint32_t *chain_ms, uint64_t *work)
{
	uint32_t end_ms[64] = {0};
	size_t count = MIN(job->spec->n_steps, G_N_ELEMENTS(end_ms));

	for (size_t i = 0; i < count; i++) {
		const Gw__JobStep *step = job->spec->steps[i];
		uint32_t open = occurrence->steps[i].open, start_ms = 0;

		for (size_t k = 0; k < step->n_after; k++)
			start_ms = MAX(start_ms, end_ms[step->after[k]]);
		end_ms[i] = start_ms + (open > 0 ? step->estimate_ms : 0);
		*chain_ms = MAX(*chain_ms, end_ms[i]);
		*work += (uint64_t)open * step->estimate_ms * step->cpu_millis;
	}
}

/*
 * Ranks a job for the load in which a queue asks for more than its pool holds:
 * what can still be done in time goes first, least work left first, so that
 * the most callers are served in time; what is late comes in the order of
 * acceptance.
 */
static void
rank(sched_job_t *job, uint64_t now_us)
{
	uint64_t age_ms =
	    (gw_elapsed_us(now_us, job->accepted_us)) / GW_US_PER_MS;
	uint64_t objective_ms = job->spec->objective_ms +
	    (uint64_t)job->chain_ms * job->spec->stretch_permille / 1000;
	uint32_t chain_ms = 0;
	uint64_t work = 0;

	if (job->lasting) {
		job->rank_class = RANK_LASTING;
		job->rank = job->accepted_us;
		return;
	}
	for (guint i = 0; i < job->occurrences->len; i++)
		left(job, job->occurrences->pdata[i], &chain_ms, &work);
	if (age_ms + chain_ms <= objective_ms) {
		job->rank_class = RANK_IN_TIME;
		job->rank = work;
	} else if (age_ms + chain_ms <= LATE_FACTOR * objective_ms) {
		job->rank_class = RANK_LATE;
		job->rank = work;
	} else {
		job->rank_class = RANK_OVERDUE;
		job->rank = job->accepted_us;
	}
}

static gint
by_rank(gconstpointer a, gconstpointer b)
{
	const sched_job_t *x = *(const sched_job_t *const *)a;
	const sched_job_t *y = *(const sched_job_t *const *)b;

	if (x->rank_class != y->rank_class)
		return x->rank_class < y->rank_class ? -1 : 1;
	if (x->rank != y->rank)
		return x->rank < y->rank ? -1 : 1;
	return 0;
}

/*
 * Sorts jobs into the order in which they get room.
 */
void
sched_order_jobs(sched_pool_t *pool, GPtrArray *jobs, uint64_t now_us)
{
	(void)pool;
	for (guint i = 0; i < jobs->len; i++)
		rank(jobs->pdata[i], now_us);
	g_ptr_array_sort(jobs, by_rank);
}
