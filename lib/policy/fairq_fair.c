#include "policy/fairq_impl.h"

/* Virtual time units per microsecond of slot time at weight 1. */
#define TAG_SCALE 1000
/* How often running work beyond its charge is charged again. */
#define RECHARGE_US 10000
/* Window over which the load of quick work is measured. */
#define QUICK_WINDOW_US (5 * GW_US_PER_S)
/* Quick work never holds back more than a quarter of the slots. */
#define QUICK_MAX_PART 4
/* Archive work holds one in this many slots while quick work is about. */
#define ARCHIVE_PART 2
/* Half of the queue is guaranteed to the teams by weight. */
#define GUARANTEED_PART 2

/*
 * Shares of the classes inside a team. A quick request uses little slot time,
 * so at 16 to 1 it waits behind few others, and archive work still gets 1/21.
 */
static const uint64_t class_weight[CLASS_COUNT] = {
    [CLASS_QUICK] = 16,
    [CLASS_SETTLEMENT] = 4,
    [CLASS_ARCHIVE] = 1,
};

static uint64_t
tag_of(uint64_t cost_us, uint64_t weight)
{
	return cost_us * TAG_SCALE / MAX(weight, 1);
}

static uint64_t
line_mean_us(
    const fairq_t *q, const fairq_team_t *team, request_class_t request_class)
{
	const cost_mean_t *mean = &team->lines[request_class].mean;

	return mean->samples > 0 ? MAX(mean->mean_us, 1)
				 : cost_class_us(&q->cost, request_class);
}

static uint64_t
line_work_us(
    const fairq_t *q, const fairq_team_t *team, request_class_t request_class)
{
	return team->lines[request_class].items.length *
	    line_mean_us(q, team, request_class);
}

static uint64_t
team_work_us(const fairq_t *q, const fairq_team_t *team)
{
	uint64_t work_us = 0;

	for (int i = 0; i < CLASS_COUNT; i++)
		work_us += line_work_us(q, team, i);
	return work_us;
}

/*
 * The team's work that is served by the time a new item of the class starts:
 * each other class gets at most its weight's part of what this class gets.
 */
static uint64_t
work_ahead_in_team_us(
    const fairq_t *q, const fairq_team_t *team, request_class_t request_class)
{
	uint64_t own_us = line_work_us(q, team, request_class), sum_us = own_us;

	for (int i = 0; i < CLASS_COUNT; i++) {
		uint64_t part_us =
		    own_us * class_weight[i] / class_weight[request_class];
		if (i != (int)request_class)
			sum_us += MIN(part_us, line_work_us(q, team, i));
	}
	return sum_us;
}

/*
 * Mean time until a slot becomes free: none when one is free now.
 */
static uint64_t
slot_wait_us(const fairq_t *q)
{
	uint32_t running = q->running.length;

	if (q->slots > running + q->queued)
		return 0;
	if (running == 0)
		return 0;
	return q->running_cost_us / running / MAX(q->slots, 1);
}

/*
 * Time in which the slots serve the work: those of now until more come, then
 * the larger number.
 */
static uint64_t
serve_us(const fairq_t *q, uint64_t work_us)
{
	uint64_t now_us = gw_clock_now_us(q->clock);
	uint64_t until_us = q->soon_us > now_us ? q->soon_us - now_us : 0;
	uint64_t served_us = until_us * q->slots;

	if (q->slots_soon <= q->slots || work_us <= served_us)
		return work_us / MAX(q->slots, 1);
	return until_us + (work_us - served_us) / q->slots_soon;
}

/*
 * Wait of a new item in a fluid model: while the team's work ahead of it is
 * served, every other team gets at most its weight's part of the same.
 */
static uint64_t
fair_wait_us(
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
	return serve_us(q, sum_us) + slot_wait_us(q);
}

static uint64_t
weight_sum(const fairq_t *q)
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
 * True when the team already holds its guaranteed part of the queue and the
 * part that is shared first come, first served is used up.
 */
static bool
beyond_share(const fairq_t *q, const fairq_team_t *team)
{
	uint32_t guaranteed = q->max_items / GUARANTEED_PART;
	uint64_t weights = weight_sum(q), borrowed = 0, own;
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
	if (beyond_share(q, team))
		return FAIRQ_REFUSED_SHARE;
	if (item->deadline_us != 0 &&
	    now_us + fair_wait_us(q, team, item->request_class) >
		item->deadline_us)
		return FAIRQ_REFUSED_DEADLINE;
	return FAIRQ_ADMITTED;
}

/*
 * Charges running work that has used more than its charge; the charge
 * doubles, so an item is charged again only a few times.
 */
static void
recharge(fairq_t *q, uint64_t now_us)
{
	if (now_us < q->recharged_us + RECHARGE_US)
		return;
	q->recharged_us = now_us;
	for (GList *link = q->running.head; link != NULL; link = link->next) {
		fairq_entry_t *entry = link->data;
		fairq_item_t *item = entry->item;
		uint64_t used_us = now_us - item->started_us, extra_us;

		if (used_us <= item->cost_us)
			continue;
		extra_us = 2 * used_us - item->cost_us;
		item->cost_us += extra_us;
		q->running_cost_us += extra_us;
		entry->team->tag += tag_of(extra_us, entry->team->weight);
		entry->team->lines[item->request_class].tag +=
		    tag_of(extra_us, class_weight[item->request_class]);
	}
}

/*
 * Sets how many slots long work leaves free, from the slot time that quick
 * work used in the last window: the mean in use and one more.
 */
static void
measure_quick(fairq_t *q, uint64_t now_us)
{
	uint64_t span_us = now_us - q->quick_since_us;
	uint64_t slots;

	if (span_us < QUICK_WINDOW_US)
		return;
	slots = q->quick_work_us == 0
	    ? 0
	    : (q->quick_work_us + span_us - 1) / span_us + 1;
	q->quick_slots = (uint32_t)MIN(slots, q->slots / QUICK_MAX_PART);
	q->quick_work_us = 0;
	q->quick_since_us = now_us;
}

static bool
may_run_long(const fairq_t *q)
{
	return q->running_long + q->quick_slots < q->slots ||
	    q->slots <= q->quick_slots;
}

/*
 * While other classes are about, archive work holds at most half of the slots:
 * its long runs would keep a surge of quick work waiting.
 */
static bool
may_run_archive(const fairq_t *q)
{
	return q->quick_slots == 0 ||
	    ARCHIVE_PART * (q->running_archive + 1) <= q->slots ||
	    q->running_archive == 0;
}

static int
pick_class(const fairq_t *q, const fairq_team_t *team)
{
	int best = -1;

	for (int i = 0; i < CLASS_COUNT; i++) {
		if (team->lines[i].items.length == 0 ||
		    (i != CLASS_QUICK && !may_run_long(q)) ||
		    (i == CLASS_ARCHIVE && !may_run_archive(q)))
			continue;
		if (best < 0 || team->lines[i].tag < team->lines[best].tag)
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

	recharge(q, now_us);
	measure_quick(q, now_us);
	if (q->queued == 0)
		return NULL;
	g_hash_table_iter_init(&iter, q->teams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team)) {
		if (team->queued == 0 ||
		    (best != NULL && team->tag >= best->tag))
			continue;
		class_index = pick_class(q, team);
		if (class_index < 0)
			continue;
		best = team;
		best_class = class_index;
	}
	return best == NULL ? NULL
			    : g_queue_peek_head(&best->lines[best_class].items);
}

/*
 * A team or class that was idle starts at the present virtual time: it gains
 * no credit by idling.
 */
static void
fair_queued(fairq_t *q, fairq_entry_t *entry)
{
	fairq_team_t *team = entry->team;
	fairq_line_t *line = &team->lines[entry->item->request_class];

	if (team->queued == 1)
		team->tag = MAX(team->tag, q->virtual_clock);
	if (line->items.length == 0)
		line->tag = MAX(line->tag, team->line_clock);
	g_queue_push_tail_link(&line->items, &entry->link);
}

static void
fair_unqueued(fairq_t *q, fairq_entry_t *entry)
{
	(void)q;
	g_queue_unlink(&entry->team->lines[entry->item->request_class].items,
	    &entry->link);
}

static void
fair_started(fairq_t *q, fairq_entry_t *entry)
{
	fairq_team_t *team = entry->team;
	request_class_t class_index = entry->item->request_class;
	fairq_line_t *line = &team->lines[class_index];

	q->virtual_clock = MAX(q->virtual_clock, team->tag);
	team->line_clock = MAX(team->line_clock, line->tag);
	team->tag += tag_of(entry->item->cost_us, team->weight);
	line->tag += tag_of(entry->item->cost_us, class_weight[class_index]);
}

static void
correct(uint64_t *tag, uint64_t charged, uint64_t used)
{
	if (used >= charged)
		*tag += used - charged;
	else
		*tag -= MIN(*tag, charged - used);
}

/*
 * Replaces the charge made at the start by the slot time really used.
 */
static void
fair_finished(fairq_t *q, fairq_entry_t *entry, uint64_t service_us)
{
	fairq_item_t *item = entry->item;
	fairq_team_t *team = entry->team;
	uint64_t weight = class_weight[item->request_class];

	correct(&team->tag, tag_of(item->cost_us, team->weight),
	    tag_of(service_us, team->weight));
	correct(&team->lines[item->request_class].tag,
	    tag_of(item->cost_us, weight), tag_of(service_us, weight));
	if (item->request_class == CLASS_QUICK)
		q->quick_work_us += service_us;
}

const fairq_ops_t fairq_fair = {
    .name = "fair",
    .admit = fair_admit,
    .pick = fair_pick,
    .queued = fair_queued,
    .unqueued = fair_unqueued,
    .started = fair_started,
    .finished = fair_finished,
    .wait_us = fair_wait_us,
};
