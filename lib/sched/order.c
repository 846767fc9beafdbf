#include "gw/log.h"
#include "sched/impl.h"

/*
 * The order of jobs in a pool that is full; docs/design/scarce-room.md. The
 * load: the queues of a pool together submit more than it can do, for some
 * seconds or for long, and their jobs differ in priority, memory and width.
 */

/*
 * While an overdue job waits, one part in so many of the work placed goes to
 * the one that has waited longest. Work in time loses no more than this.
 */
#define OVERDUE_PARTS 16

struct sched_order {
	const char *name;
	/* Compares all that comes before the shares of teams and the work. */
	int (*compare_tier)(
	    const sched_order_key_t *, const sched_order_key_t *);
	/* Returns what count tasks of the step take, in core milliseconds. */
	uint64_t (*step_work)(
	    const sched_pool_t *, const Gw__JobStep *, uint64_t count);
	bool kinds_take_turns;
	uint32_t overdue_parts; /* 0: overdue work comes last */
};

static int
compare_class(const sched_order_key_t *x, const sched_order_key_t *y)
{
	if (x->rank_class != y->rank_class)
		return x->rank_class < y->rank_class ? -1 : 1;
	if (x->is_beyond_share != y->is_beyond_share)
		return x->is_beyond_share ? 1 : -1;
	return 0;
}

static uint64_t
cpu_work(const sched_pool_t *pool, const Gw__JobStep *step, uint64_t count)
{
	(void)pool;
	return sched_step_work_cpu_ms(step, count);
}

static int
compare_priority(const sched_order_key_t *x, const sched_order_key_t *y)
{
	int result = compare_class(x, y);

	if (result != 0 || x->priority == y->priority)
		return result;
	return x->priority < y->priority ? -1 : 1;
}

/*
 * Counts memory as the CPU that the pool has for each MiB, and takes the larger
 * of the two: a task that fills the memory of an instance keeps others from its
 * CPU.
 */
static uint64_t
dominant_work(const sched_pool_t *pool, const Gw__JobStep *step, uint64_t count)
{
	const sched_resources_t *capacity = &pool->capacity;
	uint64_t by_memory;

	if (step->lasting)
		return 0;
	by_memory = capacity->memory_mib == 0 ? 0
					      : (uint64_t)step->memory_mib *
		capacity->cpu_millis / capacity->memory_mib;
	return count * MAX(sched_step_cpu_millis(step), by_memory) *
	    step->estimate_ms / 1000;
}

const sched_order_t sched_order_cpu = {
    "cpu", compare_class, cpu_work, false, 0};
const sched_order_t sched_order_priority = {
    "priority", compare_priority, dominant_work, true, OVERDUE_PARTS};

void
sched_pool_set_order(sched_pool_t *pool, const sched_order_t *order)
{
	pool->order = order;
}

/*
 * Returns whether queues take turns instead of the least work coming first.
 */
bool
sched_order_kinds_take_turns(const sched_pool_t *pool)
{
	return pool->order->kinds_take_turns;
}

/*
 * Sums up the capacity of the instances in use, against which work is counted.
 */
void
sched_order_update_capacity(sched_pool_t *pool, uint64_t now_us)
{
	sched_instance_t *instance;
	GHashTableIter iter;

	pool->capacity = (sched_resources_t){0};
	g_hash_table_iter_init(&iter, pool->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance)) {
		if (!sched_instance_is_usable(instance, now_us))
			continue;
		pool->capacity.cpu_millis += instance->info.capacity.cpu_millis;
		pool->capacity.memory_mib += instance->info.capacity.memory_mib;
	}
}

/*
 * Returns what count tasks of the step take of the pool, in core milliseconds.
 */
uint64_t
sched_order_step_work(
    const sched_pool_t *pool, const Gw__JobStep *step, uint64_t count)
{
	return pool->order->step_work(pool, step, count);
}

/*
 * Compares two jobs without regard to the shares of teams and to the work left;
 * negative when x comes first.
 */
int
sched_order_compare_tier(const sched_pool_t *pool, const sched_order_key_t *x,
    const sched_order_key_t *y)
{
	return pool->order->compare_tier(x, y);
}

/*
 * Compares two jobs by the keys that sched_job_update_rank() set; negative when
 * x comes first.
 */
int
sched_order_compare(
    const sched_pool_t *pool, const sched_job_t *x, const sched_job_t *y)
{
	int result =
	    sched_order_compare_tier(pool, &x->key_in_order, &y->key_in_order);

	if (result != 0)
		return result;
	if (x->key_in_order.rank != y->key_in_order.rank)
		return x->key_in_order.rank < y->key_in_order.rank ? -1 : 1;
	if (x->accepted_us != y->accepted_us)
		return x->accepted_us < y->accepted_us ? -1 : 1;
	return 0;
}

static gint
compare_jobs(gconstpointer a, gconstpointer b, gpointer pool)
{
	return sched_order_compare(pool, *(const sched_job_t *const *)a,
	    *(const sched_job_t *const *)b);
}

/*
 * Sorts jobs into the order in which they are placed.
 */
void
sched_order_sort(sched_pool_t *pool, GPtrArray *jobs, uint64_t now_us)
{
	sched_order_update_capacity(pool, now_us);
	for (guint i = 0; i < jobs->len; i++)
		(void)sched_job_update_rank(pool, jobs->pdata[i], now_us);
	g_ptr_array_sort_with_data(jobs, compare_jobs, pool);
}

/*
 * Returns the overdue job that was submitted first, or NULL if none waits.
 */
static sched_job_t *
find_oldest_overdue(const GPtrArray *jobs)
{
	sched_job_t *oldest = NULL;

	for (guint i = 0; i < jobs->len; i++) {
		sched_job_t *job = jobs->pdata[i];

		if (job->key_in_order.rank_class == SCHED_RANK_OVERDUE &&
		    (oldest == NULL || job->accepted_us < oldest->accepted_us))
			oldest = job;
	}
	return oldest;
}

/*
 * Returns the overdue job whose turn it is before all but long-running jobs, or
 * NULL. Otherwise it would wait as long as the pool has work in time.
 */
sched_job_t *
sched_order_next_overdue(sched_pool_t *pool, const GPtrArray *jobs)
{
	sched_job_t *job =
	    pool->order->overdue_parts == 0 ? NULL : find_oldest_overdue(jobs);

	pool->overdue_waits = job != NULL;
	if (job == NULL) {
		pool->overdue_credit = MIN(pool->overdue_credit, 0);
		return NULL;
	}
	return pool->overdue_credit > 0 ? job : NULL;
}

static void
log_out_of_turn(const sched_pool_t *pool, sched_job_t *job)
{
	if (job->is_out_of_turn)
		return;
	job->is_out_of_turn = true;
	gw_log(GW_EV_OUT_OF_TURN,
	    "job=%s pool=%s queue=%s priority=%u age_ms=%" PRIu64
	    " credit_cpu_ms=%" PRIi64,
	    job->id, pool->name, job->queue, job->spec->priority,
	    gw_elapsed_us(gw_clock_now_us(pool->clock), job->accepted_us) /
		GW_US_PER_MS,
	    pool->overdue_credit);
}

/*
 * Counts the work of a task that was placed for or against the overdue jobs
 * that wait.
 */
void
sched_order_note_placed(sched_pool_t *pool, const sched_task_t *task)
{
	int64_t work =
	    (int64_t)sched_order_step_work(pool, sched_task_step_spec(task), 1);

	if (!pool->overdue_waits)
		return;
	if (task->job->key_in_order.rank_class != SCHED_RANK_OVERDUE) {
		pool->overdue_credit += work / pool->order->overdue_parts;
		return;
	}
	if (pool->overdue_credit > 0)
		log_out_of_turn(pool, task->job);
	pool->overdue_credit -= work;
}
