#include "policy/fairq_impl.h"

/*
 * Baseline discipline: one queue in order of arrival, bounded in length only.
 */
static fairq_verdict_t
fifo_admit(const fairq_t *q, const fairq_team_t *team, const fairq_item_t *item)
{
	(void)team;
	(void)item;
	return q->queued < q->max_items ? FAIRQ_ADMITTED : FAIRQ_REFUSED_FULL;
}

static fairq_entry_t *
fifo_pick(fairq_t *q)
{
	return g_queue_peek_head(&q->order);
}

static void
fifo_enqueue(fairq_t *q, fairq_entry_t *entry)
{
	g_queue_push_tail_link(&q->order, &entry->link);
}

static void
fifo_dequeue(fairq_t *q, fairq_entry_t *entry)
{
	g_queue_unlink(&q->order, &entry->link);
}

static void
fifo_started(fairq_t *q, fairq_entry_t *entry)
{
	(void)q;
	(void)entry;
}

static void
fifo_finished(fairq_t *q, fairq_entry_t *entry, uint64_t service_us)
{
	(void)q;
	(void)entry;
	(void)service_us;
}

static uint64_t
fifo_estimate_wait_us(
    const fairq_t *q, const fairq_team_t *team, request_class_t request_class)
{
	(void)team;
	return q->queued * cost_estimate_class_us(&q->cost, request_class) /
	    MAX(q->slots, 1);
}

const fairq_ops_t fairq_fifo = {
    .name = "fifo",
    .admit = fifo_admit,
    .pick = fifo_pick,
    .enqueue = fifo_enqueue,
    .dequeue = fifo_dequeue,
    .started = fifo_started,
    .finished = fifo_finished,
    .estimate_wait_us = fifo_estimate_wait_us,
};
