#include "policy/fairq_impl.h"

/* Running work that exceeds its charge is charged more at this interval. */
#define OVERRUN_INTERVAL_US 10000
/* Window over which the load of quick work is measured. */
#define QUICK_WINDOW_US (5 * GW_US_PER_S)
/* At most 1/4 of the slots is kept free for quick work. */
#define QUICK_RESERVE_DIVISOR 4
/* Archive work gets at most 1/2 of the slots while there is quick work. */
#define ARCHIVE_LIMIT_DIVISOR 2
/* 1/2 of the places in the queue is guaranteed to the teams by weight. */
#define GUARANTEED_DIVISOR 2

/*
 * Weights of the classes inside a team. Quick requests use little slot time,
 * so with 16 to 1 they wait behind few others, and archive work is still sure
 * of 1/21 of the team's slot time.
 */
static const uint64_t class_weight[CLASS_COUNT] = {
    [CLASS_QUICK] = 16,
    [CLASS_SETTLEMENT] = 4,
    [CLASS_ARCHIVE] = 1,
};

static uint64_t
class_service_us(
    const fairq_t *q, const fairq_team_t *team, request_class_t request_class)
{
	const cost_mean_t *mean = &team->classes[request_class].mean;

	return mean->samples > 0
	    ? MAX(mean->mean_us, 1)
	    : cost_estimate_class_us(&q->cost, request_class);
}

static uint64_t
class_work_us(
    const fairq_t *q, const fairq_team_t *team, request_class_t request_class)
{
	return team->classes[request_class].items.length *
	    class_service_us(q, team, request_class);
}

static uint64_t
team_work_us(const fairq_t *q, const fairq_team_t *team)
{
	uint64_t work_us = 0;

	for (int i = 0; i < CLASS_COUNT; i++)
		work_us += class_work_us(q, team, i);
	return work_us;
}

/*
 * Work of the team that is served before a new item of the class starts: all
 * queued work of that class, and of each other class at most what its weight
 * entitles it to in the same time.
 */
static uint64_t
work_ahead_in_team_us(
    const fairq_t *q, const fairq_team_t *team, request_class_t request_class)
{
	uint64_t own_us = class_work_us(q, team, request_class),
		 sum_us = own_us;

	for (int i = 0; i < CLASS_COUNT; i++) {
		uint64_t part_us =
		    own_us * class_weight[i] / class_weight[request_class];
		if (i != (int)request_class)
			sum_us += MIN(part_us, class_work_us(q, team, i));
	}
	return sum_us;
}

/*
 * Mean time until a slot becomes free, 0 when one is free now.
 */
static uint64_t
mean_slot_wait_us(const fairq_t *q)
{
	uint32_t running = q->running.length;

	if (q->slots > running + q->queued)
		return 0;
	if (running == 0)
		return 0;
	return q->running_cost_us / running / MAX(q->slots, 1);
}

/*
 * Time that the slots take to serve the work: the present slots until
 * upcoming_from_us, then the upcoming ones if they are more.
 */
static uint64_t
work_duration_us(const fairq_t *q, uint64_t work_us)
{
	uint64_t now_us = gw_clock_now_us(q->clock);
	uint64_t until_us =
	    q->upcoming_from_us > now_us ? q->upcoming_from_us - now_us : 0;
	uint64_t served_us = until_us * q->slots;

	if (q->upcoming_slots <= q->slots || work_us <= served_us)
		return work_us / MAX(q->slots, 1);
	return until_us + (work_us - served_us) / q->upcoming_slots;
}

/*
 * Estimates the wait of a new item with a fluid model: while the team's work
 * ahead of the item is served, each other team is served at most what its
 * weight entitles it to in the same time.
 */
static uint64_t
fair_estimate_wait_us(
    const fairq_t *q, const fairq_team_t *team, request_class_t request_class)
{
	uint64_t own_us = work_ahead_in_team_us(q, team, request_class);
	uint64_t sum_us = own_us;
	const fairq_team_t *other;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, q->teams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&other)) {
		uint64_t part_us =
		    own_us * other->weight / MAX(team->weight, 1);
		if (other != team && other->queued > 0)
			sum_us += MIN(part_us, team_work_us(q, other));
	}
	return work_duration_us(q, sum_us) + mean_slot_wait_us(q);
}

static uint64_t
total_weight(const fairq_t *q)
{
	const fairq_team_t *team;
	GHashTableIter iter;
	uint64_t sum = 0;

	g_hash_table_iter_init(&iter, q->teams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team))
		sum += team->weight;
	return MAX(sum, 1);
}

/*
 * Returns true when the team uses up the places guaranteed to it and the
 * places that any team may take, first come, first served, are used up too.
 */
static bool
exceeds_share(const fairq_t *q, const fairq_team_t *team)
{
	uint32_t guaranteed = q->max_items / GUARANTEED_DIVISOR;
	uint64_t weights = total_weight(q), borrowed = 0, own;
	const fairq_team_t *other;
	GHashTableIter iter;

	own = guaranteed * (uint64_t)team->weight / weights;
	if (team->queued < own || q->queued < guaranteed)
		return false;
	g_hash_table_iter_init(&iter, q->teams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&other)) {
		own = guaranteed * (uint64_t)other->weight / weights;
		if (other->queued > own)
			borrowed += other->queued - own;
	}
	return borrowed >= q->max_items - guaranteed;
}

static fairq_verdict_t
fair_admit(const fairq_t *q, const fairq_team_t *team, const fairq_item_t *item)
{
	uint64_t now_us = gw_clock_now_us(q->clock);

	if (q->queued >= q->max_items)
		return FAIRQ_REFUSED_FULL;
	if (exceeds_share(q, team))
		return FAIRQ_REFUSED_SHARE;
	if (item->deadline_us != 0 &&
	    now_us + fair_estimate_wait_us(q, team, item->request_class) >
		item->deadline_us)
		return FAIRQ_REFUSED_DEADLINE;
	return FAIRQ_ADMITTED;
}

/*
 * Raises the charge of running items that have used more slot time than they
 * were charged, to twice the time used, so that an item is charged again only
 * a few times.
 */
static void
charge_overruns(fairq_t *q, uint64_t now_us)
{
	if (now_us < q->overruns_charged_us + OVERRUN_INTERVAL_US)
		return;
	q->overruns_charged_us = now_us;
	for (GList *link = q->running.head; link != NULL; link = link->next) {
		fairq_entry_t *entry = link->data;
		fairq_item_t *item = entry->item;
		uint64_t used_us = now_us - item->started_us, extra_us;

		if (used_us <= item->cost_us)
			continue;
		extra_us = 2 * used_us - item->cost_us;
		item->cost_us += extra_us;
		q->running_cost_us += extra_us;
		share_charge_more(
		    &entry->team->account, extra_us, entry->team->weight);
		share_charge_more(
		    &entry->team->classes[item->request_class].account,
		    extra_us, class_weight[item->request_class]);
	}
}

/*
 * Sets how many slots the other classes leave free for quick work: the mean
 * number that quick work used in the last window, rounded up, and one more.
 */
static void
update_quick_reserve(fairq_t *q, uint64_t now_us)
{
	uint64_t span_us = now_us - q->quick_window_start_us;
	uint64_t slots;

	if (span_us < QUICK_WINDOW_US)
		return;
	slots = q->quick_work_us == 0
	    ? 0
	    : (q->quick_work_us + span_us - 1) / span_us + 1;
	q->quick_reserved_slots =
	    (uint32_t)MIN(slots, q->slots / QUICK_RESERVE_DIVISOR);
	q->quick_work_us = 0;
	q->quick_window_start_us = now_us;
}

static bool
may_run_long(const fairq_t *q)
{
	return q->running_long + q->quick_reserved_slots < q->slots ||
	    q->slots <= q->quick_reserved_slots;
}

/*
 * Limits archive work to half of the slots, or one, while slots are kept free
 * for quick work: its long runs would keep a surge of quick work waiting.
 */
static bool
may_run_archive(const fairq_t *q)
{
	return q->quick_reserved_slots == 0 ||
	    ARCHIVE_LIMIT_DIVISOR * (q->running_archive + 1) <= q->slots ||
	    q->running_archive == 0;
}

static int
pick_class(const fairq_t *q, const fairq_team_t *team)
{
	int best = -1;

	for (int i = 0; i < CLASS_COUNT; i++) {
		if (team->classes[i].items.length == 0 ||
		    (i != CLASS_QUICK && !may_run_long(q)) ||
		    (i == CLASS_ARCHIVE && !may_run_archive(q)))
			continue;
		if (best < 0 ||
		    team->classes[i].account.tag <
			team->classes[best].account.tag)
			best = i;
	}
	return best;
}

static fairq_entry_t *
fair_pick(fairq_t *q)
{
	uint64_t now_us = gw_clock_now_us(q->clock);
	fairq_team_t *best = NULL, *team;
	int best_class = -1, class_index;
	GHashTableIter iter;

	charge_overruns(q, now_us);
	update_quick_reserve(q, now_us);
	if (q->queued == 0)
		return NULL;
	g_hash_table_iter_init(&iter, q->teams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
		if (team->queued == 0 ||
		    (best != NULL && team->account.tag >= best->account.tag))
			continue;
		class_index = pick_class(q, team);
		if (class_index < 0)
			continue;
		best = team;
		best_class = class_index;
	}
	return best == NULL
	    ? NULL
	    : g_queue_peek_head(&best->classes[best_class].items);
}

/*
 * Links the entry into the queue of its class. A team or class that was idle
 * starts at the present virtual time, so that it gains no credit by idling.
 */
static void
fair_enqueue(fairq_t *q, fairq_entry_t *entry)
{
	fairq_team_t *team = entry->team;
	fairq_class_queue_t *class_queue =
	    &team->classes[entry->item->request_class];

	if (team->queued == 1)
		share_activate(&q->share, &team->account);
	if (class_queue->items.length == 0)
		share_activate(&team->class_share, &class_queue->account);
	g_queue_push_tail_link(&class_queue->items, &entry->link);
}

static void
fair_dequeue(fairq_t *q, fairq_entry_t *entry)
{
	(void)q;
	g_queue_unlink(&entry->team->classes[entry->item->request_class].items,
	    &entry->link);
}

static void
fair_started(fairq_t *q, fairq_entry_t *entry)
{
	fairq_team_t *team = entry->team;
	request_class_t class_index = entry->item->request_class;
	fairq_class_queue_t *class_queue = &team->classes[class_index];

	share_charge(
	    &q->share, &team->account, entry->item->cost_us, team->weight);
	share_charge(&team->class_share, &class_queue->account,
	    entry->item->cost_us, class_weight[class_index]);
}

/*
 * Replaces the slot time charged to the item's team and class by the slot time
 * that it used.
 */
static void
fair_finished(fairq_t *q, fairq_entry_t *entry, uint64_t service_us)
{
	fairq_item_t *item = entry->item;
	fairq_team_t *team = entry->team;
	uint64_t weight = class_weight[item->request_class];

	share_correct(&team->account, item->cost_us, service_us, team->weight);
	share_correct(&team->classes[item->request_class].account,
	    item->cost_us, service_us, weight);
	if (item->request_class == CLASS_QUICK)
		q->quick_work_us += service_us;
}

const fairq_ops_t fairq_fair = {
    .name = "fair",
    .admit = fair_admit,
    .pick = fair_pick,
    .enqueue = fair_enqueue,
    .dequeue = fair_dequeue,
    .started = fair_started,
    .finished = fair_finished,
    .estimate_wait_us = fair_estimate_wait_us,
};
