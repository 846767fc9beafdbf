#include "policy/fairq_impl.h"

/* Team that requests of unknown teams are accounted to. */
#define OTHER_TEAM ""
/* Queued work should start within this part of the wait callers allow. */
#define PATIENCE_PART 4

static fairq_team_t *
team_new(const char *name, uint32_t weight)
{
	fairq_team_t *team = g_new0(fairq_team_t, 1);

	g_strlcpy(team->name, name, sizeof(team->name));
	team->weight = weight;
	for (int i = 0; i < CLASS_COUNT; i++)
		g_queue_init(&team->lines[i].items);
	return team;
}

static fairq_team_t *
team_of(const fairq_t *q, const char *name)
{
	fairq_team_t *team = g_hash_table_lookup(q->teams, name);

	return team != NULL && team->weight > 0 ? team : q->other;
}

/*
 * Makes a queue of at most max_items waiting requests. Memory is bounded by
 * max_items, the teams set and the slots.
 */
fairq_t *
fairq_new(const fairq_ops_t *ops, const gw_clock_t *clock, uint32_t max_items)
{
	fairq_t *q = g_new0(fairq_t, 1);

	q->ops = ops;
	q->clock = clock;
	q->max_items = max_items;
	q->teams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	q->other = team_new(OTHER_TEAM, 1);
	g_hash_table_insert(q->teams, q->other->name, q->other);
	g_queue_init(&q->order);
	g_queue_init(&q->running);
	q->quick_since_us = gw_clock_now_us(clock);
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
drop_all(GQueue *entries)
{
	GList *link;

	while ((link = g_queue_pop_head_link(entries)) != NULL)
		entry_free(link->data);
}

/*
 * Frees the queue. Items that still wait or run are detached from it, so
 * they must still exist.
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
			drop_all(&team->lines[i].items);
	drop_all(&q->order);
	drop_all(&q->running);
	g_hash_table_destroy(q->teams);
	cost_clear(&q->cost);
	g_free(q);
}

static gboolean
idle_and_unset(gpointer name, gpointer value, gpointer arg)
{
	const fairq_team_t *team = value;

	(void)name;
	return team != arg && team->weight == 0 &&
	    team->queued + team->running == 0;
}

/*
 * Sets a team's weight. With weight 0 the team's later requests are accounted
 * to the common team of unknown ones, and it is forgotten once it is idle.
 */
void
fairq_set_team(fairq_t *q, const char *team, uint32_t weight)
{
	fairq_team_t *found = g_hash_table_lookup(q->teams, team);

	if (found == NULL) {
		found = team_new(team, weight);
		g_hash_table_insert(q->teams, found->name, found);
	}
	if (found != q->other)
		found->weight = weight;
	g_hash_table_foreach_remove(q->teams, idle_and_unset, q->other);
}

void
fairq_set_slots(fairq_t *q, uint32_t slots)
{
	q->slots = slots;
}

void
fairq_set_slots_soon(fairq_t *q, uint32_t slots, uint64_t at_us)
{
	q->slots_soon = slots;
	q->soon_us = at_us;
}

/*
 * Admits the item or refuses it at once; a refused item leaves no trace.
 */
fairq_verdict_t
fairq_push(fairq_t *q, fairq_item_t *item)
{
	fairq_team_t *team = team_of(q, item->team);
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
		cost_mean_add(&q->patience[item->request_class],
		    item->deadline_us - item->arrived_us);
	q->queued++;
	team->queued++;
	team->queued_of[item->request_class]++;
	q->ops->queued(q, entry);
	return FAIRQ_ADMITTED;
}

static void
unqueue(fairq_t *q, fairq_entry_t *entry)
{
	q->ops->unqueued(q, entry);
	entry->item->queued = false;
	q->queued--;
	entry->team->queued--;
	entry->team->queued_of[entry->item->request_class]--;
}

static void
start(fairq_t *q, fairq_entry_t *entry, uint64_t now_us)
{
	fairq_item_t *item = entry->item;

	unqueue(q, entry);
	item->started_us = now_us;
	item->cost_us =
	    cost_expect_us(&q->cost, item->route, item->request_class);
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
expired(const fairq_item_t *item, uint64_t now_us)
{
	return item->deadline_us != 0 && item->deadline_us < now_us;
}

/*
 * Takes the next item to start and charges its expected cost, or returns NULL
 * when none may start. Items past their deadline go to on_expired, and the
 * queue keeps no trace of them. A deadline of 0 means none.
 */
fairq_item_t *
fairq_pop(fairq_t *q, void (*on_expired)(fairq_item_t *, void *), void *arg)
{
	uint64_t now_us = gw_clock_now_us(q->clock);
	fairq_entry_t *entry;
	fairq_item_t *item;

	while ((entry = q->ops->pick(q)) != NULL) {
		item = entry->item;
		if (!expired(item, now_us)) {
			start(q, entry, now_us);
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
	unqueue(q, entry);
	entry_free(entry);
}

void
fairq_done(fairq_t *q, fairq_item_t *item, uint64_t service_us)
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
	cost_learn(&q->cost, item->route, item->request_class, service_us);
	cost_mean_add(
	    &entry->team->lines[item->request_class].mean, service_us);
	q->ops->finished(q, entry, service_us);
	entry_free(entry);
}

uint32_t
fairq_length(const fairq_t *q)
{
	return q->queued;
}

/* Time in which queued work of the class should start. */
static uint64_t
drain_us(const fairq_t *q, request_class_t request_class)
{
	const cost_mean_t *patience = &q->patience[request_class];

	if (patience->samples == 0)
		return GW_US_PER_S;
	return MAX(patience->mean_us / PATIENCE_PART, 1);
}

/*
 * Slots in use, and those that would finish the queued work within a quarter
 * of the time that its callers allow. By learned costs and allowed waits, a
 * burst that the queue can absorb does not look like a lasting surge.
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
			work_us =
			    team->queued_of[i] * cost_class_us(&q->cost, i);
			slots += (double)work_us / drain_us(q, i);
		}
	return (uint32_t)(slots + 1 - 1e-9);
}

/*
 * Estimated wait of a new item of the team and class. Costs of the queued
 * items are those learned for the team and class, so the route does not
 * matter to the wait.
 */
uint64_t
fairq_wait_us(const fairq_t *q, const char *team, request_class_t request_class,
    uint32_t route)
{
	(void)route;
	return q->ops->wait_us(q, team_of(q, team), request_class);
}
