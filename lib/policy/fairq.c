#include "policy/fairq_impl.h"

/* Team that requests of teams without a weight are charged to. */
#define DEFAULT_TEAM ""
/* Queued work should start within 1/4 of the wait that callers allow. */
#define DRAIN_TARGET_DIVISOR 4

static fairq_team_t *
team_new(const char *name, uint32_t weight)
{
	fairq_team_t *team = g_new0(fairq_team_t, 1);

	g_strlcpy(team->name, name, sizeof(team->name));
	team->weight = weight;
	for (int i = 0; i < CLASS_COUNT; i++)
		g_queue_init(&team->classes[i].items);
	return team;
}

static fairq_team_t *
team_or_default(const fairq_t *q, const char *name)
{
	fairq_team_t *team = g_hash_table_lookup(q->teams, name);

	return team != NULL && team->weight > 0 ? team : q->default_team;
}

/*
 * Returns a new queue of at most max_items waiting requests. Its memory is
 * bounded by max_items, the number of teams and the number of slots.
 */
fairq_t *
fairq_new(const fairq_ops_t *ops, const gw_clock_t *clock, uint32_t max_items)
{
	fairq_t *q = g_new0(fairq_t, 1);

	q->ops = ops;
	q->clock = clock;
	q->max_items = max_items;
	q->teams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	q->default_team = team_new(DEFAULT_TEAM, 1);
	g_hash_table_insert(q->teams, q->default_team->name, q->default_team);
	g_queue_init(&q->order);
	g_queue_init(&q->running);
	q->quick_window_start_us = gw_clock_now_us(clock);
	cost_init(&q->cost);
	return q;
}

static void
entry_free(fairq_entry_t *entry)
{
	entry->item->queued = false;
	entry->item->impl = NULL;
	g_free(entry);
}

static void
free_entries(GQueue *entries)
{
	GList *link;

	while ((link = g_queue_pop_head_link(entries)) != NULL)
		entry_free(link->data);
}

/*
 * Frees the queue. Writes to the items that still wait or run to detach them,
 * so the caller must not have freed those.
 */
void
fairq_free(fairq_t *q)
{
	GHashTableIter iter;
	fairq_team_t *team;

	if (q == NULL)
		return;
	g_hash_table_iter_init(&iter, q->teams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team))
		for (int i = 0; i < CLASS_COUNT; i++)
			free_entries(&team->classes[i].items);
	free_entries(&q->order);
	free_entries(&q->running);
	g_hash_table_destroy(q->teams);
	cost_clear(&q->cost);
	g_free(q);
}

static gboolean
is_idle_and_unset(gpointer name, gpointer value, gpointer arg)
{
	const fairq_team_t *team = value;

	(void)name;
	return team != arg && team->weight == 0 &&
	    team->queued + team->running == 0;
}

/*
 * Sets a team's weight. With weight 0 the team's later requests are charged
 * to the default team, and the team is removed once it is idle.
 */
void
fairq_set_team(fairq_t *q, const char *team, uint32_t weight)
{
	fairq_team_t *found = g_hash_table_lookup(q->teams, team);

	if (found == NULL) {
		found = team_new(team, weight);
		g_hash_table_insert(q->teams, found->name, found);
	}
	if (found != q->default_team)
		found->weight = weight;
	g_hash_table_foreach_remove(
	    q->teams, is_idle_and_unset, q->default_team);
}

void
fairq_set_slots(fairq_t *q, uint32_t slots)
{
	q->slots = slots;
}

void
fairq_set_upcoming_slots(fairq_t *q, uint32_t slots, uint64_t at_us)
{
	q->upcoming_slots = slots;
	q->upcoming_from_us = at_us;
}

/*
 * Admits and enqueues the item, or refuses it. A refused item is not modified
 * and not remembered.
 */
fairq_verdict_t
fairq_push(fairq_t *q, fairq_item_t *item)
{
	fairq_team_t *team = team_or_default(q, item->team);
	fairq_verdict_t verdict = q->ops->admit(q, team, item);
	fairq_entry_t *entry;

	if (verdict != FAIRQ_ADMITTED)
		return verdict;
	entry = g_new0(fairq_entry_t, 1);
	entry->item = item;
	entry->team = team;
	entry->link.data = entry;
	item->impl = entry;
	item->queued = true;
	if (item->deadline_us > item->arrived_us)
		cost_mean_add(&q->allowed_wait[item->request_class],
		    item->deadline_us - item->arrived_us);
	q->queued++;
	team->queued++;
	team->queued_of[item->request_class]++;
	q->ops->enqueue(q, entry);
	return FAIRQ_ADMITTED;
}

static void
remove_from_queue(fairq_t *q, fairq_entry_t *entry)
{
	q->ops->dequeue(q, entry);
	entry->item->queued = false;
	q->queued--;
	entry->team->queued--;
	entry->team->queued_of[entry->item->request_class]--;
}

static void
start_entry(fairq_t *q, fairq_entry_t *entry, uint64_t now_us)
{
	fairq_item_t *item = entry->item;

	remove_from_queue(q, entry);
	item->started_us = now_us;
	item->cost_us =
	    cost_estimate_us(&q->cost, item->route, item->request_class);
	g_queue_push_tail_link(&q->running, &entry->link);
	entry->team->running++;
	q->running_cost_us += item->cost_us;
	if (item->request_class != CLASS_QUICK)
		q->running_long++;
	if (item->request_class == CLASS_ARCHIVE)
		q->running_archive++;
	q->ops->started(q, entry);
}

static bool
is_expired(const fairq_item_t *item, uint64_t now_us)
{
	return item->deadline_us != 0 && item->deadline_us < now_us;
}

/*
 * Dequeues the next item to start and charges its expected cost to its team,
 * or returns NULL when none may start. Items past their deadline are removed
 * and then passed to on_expired. A deadline of 0 means none.
 */
fairq_item_t *
fairq_pop(fairq_t *q, void (*on_expired)(fairq_item_t *, void *), void *arg)
{
	uint64_t now_us = gw_clock_now_us(q->clock);
	fairq_entry_t *entry;
	fairq_item_t *item;

	while ((entry = q->ops->pick(q)) != NULL) {
		item = entry->item;
		if (!is_expired(item, now_us)) {
			start_entry(q, entry, now_us);
			return item;
		}
		fairq_remove(q, item);
		if (on_expired != NULL)
			on_expired(item, arg);
	}
	return NULL;
}

void
fairq_remove(fairq_t *q, fairq_item_t *item)
{
	fairq_entry_t *entry = item->impl;

	if (entry == NULL || !item->queued)
		return;
	remove_from_queue(q, entry);
	entry_free(entry);
}

void
fairq_complete(fairq_t *q, fairq_item_t *item, uint64_t service_us)
{
	fairq_entry_t *entry = item->impl;

	if (entry == NULL || item->queued)
		return;
	g_queue_unlink(&q->running, &entry->link);
	entry->team->running--;
	q->running_cost_us -= MIN(q->running_cost_us, item->cost_us);
	if (item->request_class != CLASS_QUICK)
		q->running_long--;
	if (item->request_class == CLASS_ARCHIVE)
		q->running_archive--;
	cost_record(&q->cost, item->route, item->request_class, service_us);
	cost_mean_add(
	    &entry->team->classes[item->request_class].mean, service_us);
	q->ops->finished(q, entry, service_us);
	entry_free(entry);
}

uint32_t
fairq_length(const fairq_t *q)
{
	return q->queued;
}

/*
 * Time within which the queued work of the class should start: 1 s until a
 * request of the class with a deadline was queued.
 */
static uint64_t
drain_target_us(const fairq_t *q, request_class_t request_class)
{
	const cost_mean_t *allowed_wait = &q->allowed_wait[request_class];

	if (allowed_wait->samples == 0)
		return GW_US_PER_S;
	return MAX(allowed_wait->mean_us / DRAIN_TARGET_DIVISOR, 1);
}

/*
 * Slots in use plus those that would serve the queued work within a quarter of
 * the wait that callers allow. Because this weighs learned costs against
 * allowed waits, a burst that the queue can absorb does not raise the demand
 * as a long surge does.
 */
uint32_t
fairq_slots_wanted(const fairq_t *q)
{
	const fairq_team_t *team;
	GHashTableIter iter;
	uint64_t work_us;
	double slots = q->running.length;

	g_hash_table_iter_init(&iter, q->teams);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&team))
		for (int i = 0; i < CLASS_COUNT; i++) {
			work_us = team->queued_of[i] *
			    cost_estimate_class_us(&q->cost, i);
			slots += (double)work_us / drain_target_us(q, i);
		}
	return (uint32_t)(slots + 1 - 1e-9);
}

/*
 * Estimates the wait of an item of the team and class that arrives now. The
 * route is not used: the cost of queued items is the mean of their team and
 * class.
 */
uint64_t
fairq_estimate_wait_us(const fairq_t *q, const char *team,
    request_class_t request_class, uint32_t route)
{
	(void)route;
	return q->ops->estimate_wait_us(
	    q, team_or_default(q, team), request_class);
}
