#include "sched/impl.h"

/*
 * Fairness among the kinds of jobs of a pool, which are its queues: in a class
 * and priority they take turns by the work placed for them, so that none pays
 * for all. The load: queues of one pool whose jobs differ in size together
 * submit more than it can do. The least work first would then leave the queue
 * with the larger jobs out.
 */

/* All queues of a pool have the same share of it. */
#define KIND_WEIGHT 1

/* Accounts beyond this number are removed once they hold nothing. */
#define KINDS_MAX 64

static share_account_t *
get_account(const sched_pool_t *pool, const char *queue)
{
	share_account_t *account = g_hash_table_lookup(pool->kinds, queue);

	if (account == NULL) {
		account = g_new0(share_account_t, 1);
		g_hash_table_insert(pool->kinds, g_strdup(queue), account);
	}
	share_activate(&pool->kind_share, account);
	return account;
}

static sched_turn_t
kind_turn(const sched_pool_t *pool, const sched_job_t *job)
{
	share_account_t *account = get_account(pool, job->queue);

	return (sched_turn_t){
	    .owner = account, .account = *account, .weight = KIND_WEIGHT};
}

/*
 * Orders jobs of one class and priority by the shares of their queues.
 */
void
sched_kind_order(const sched_pool_t *pool, sched_job_t **jobs, guint count)
{
	if (sched_order_kinds_take_turns(pool))
		sched_turns_take(
		    pool, &pool->kind_share, kind_turn, jobs, count);
}

/* An account at the virtual time is as good as a new one. */
static gboolean
holds_nothing(gpointer queue, gpointer data, gpointer arg)
{
	const share_account_t *account = data;
	const share_t *share = arg;

	(void)queue;
	return account->tag <= share->virtual_time;
}

/*
 * Charges the task's queue for its work, which has been placed.
 */
void
sched_kind_note_placed(sched_pool_t *pool, const sched_task_t *task)
{
	uint64_t work =
	    sched_order_step_work(pool, sched_task_step_spec(task), 1);

	if (work == 0)
		return;
	if (g_hash_table_size(pool->kinds) > KINDS_MAX)
		(void)g_hash_table_foreach_remove(
		    pool->kinds, holds_nothing, &pool->kind_share);
	share_charge(&pool->kind_share, get_account(pool, task->job->queue),
	    work, KIND_WEIGHT);
}
