#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "gw/log.h"
#include "layout.h"
#include "sched/shard.h"
#include "store/follow.h"

#define LAYOUT_KEY "gw/layout"
/* Interval of the checks whether the pools have stopped growing. */
#define CHECK_INTERVAL_MS 200

struct layout {
	gw_rt_t *rt;
	store_t *store;
	const layout_ops_t *ops;
	void *arg;
	store_follow_t *follow; /* NULL once the number is known */
	shard_growth_t growth;
	uint32_t shard_count; /* 0: not known yet */
	bool proposal_in_flight;
	gw_timer_t timer;
};

/*
 * Stops following the key, which never changes once written.
 */
static void
on_stop_following(gw_timer_t *timer, void *arg)
{
	layout_t *layout = arg;

	(void)timer;
	store_follow_free(layout->follow);
	layout->follow = NULL;
}

static void
on_item(const store_item_t *item, void *arg)
{
	layout_t *layout = arg;
	unsigned long shard_count;

	if (strcmp(item->key, LAYOUT_KEY) != 0 || item->removed ||
	    layout->shard_count != 0)
		return;
	shard_count = strtoul(item->value, NULL, 10);
	if (shard_count == 0 || shard_count > SHARDS_MAX) {
		gw_log(GW_EV_ENTRY_IGNORED,
		    "key=%s text=\"not a number of shards from 1 "
		    "to " G_STRINGIFY(SHARDS_MAX) "\"",
		    item->key);
		return;
	}
	layout->shard_count = (uint32_t)shard_count;
	gw_timer_start(
	    layout->rt, &layout->timer, 0, on_stop_following, layout);
	gw_log(GW_EV_LAYOUT, "parts=%u revision=%" PRIu64, layout->shard_count,
	    item->mod_revision);
	layout->ops->on_shards_known(layout->shard_count, layout->arg);
}

static void
on_proposed(uint64_t revision, const store_page_t *current, const gw_err_t *err,
    void *arg)
{
	layout_t *layout = arg;

	(void)revision;
	(void)current;
	/* If another process was first, its number is in the followed key. */
	layout->proposal_in_flight = false;
	if (err != NULL && err->code != GW_ERR_CONFLICT)
		gw_log(GW_EV_COMMIT_FAILED, "key=%s err=%s text=\"%s\"",
		    LAYOUT_KEY, gw_errc_name(err->code), err->text);
}

/*
 * Writes the number of shards for pools of that many instances, on condition
 * that the key does not exist.
 */
static void
propose(layout_t *layout, uint32_t instances)
{
	store_precondition_t precondition = {LAYOUT_KEY, 0};
	store_write_t write = {.key = LAYOUT_KEY};
	store_txn_t txn = {.preconditions = &precondition,
	    .precondition_count = 1,
	    .writes = &write,
	    .write_count = 1};
	char value[16];

	(void)snprintf(value, sizeof(value), "%u", shard_count_for(instances));
	write.value = value;
	write.size_bytes = strlen(value);
	layout->proposal_in_flight = true;
	store_txn(layout->store, &txn, on_proposed, layout);
}

/*
 * Proposes the number of shards once the largest pool has stopped growing.
 */
static void
on_check(gw_timer_t *timer, void *arg)
{
	layout_t *layout = arg;
	uint32_t instances = layout->ops->largest_pool_instances(layout->arg);

	if (layout->shard_count != 0)
		return;
	if (shard_growth_settled(
		&layout->growth, instances, gw_rt_now_us(layout->rt)) &&
	    !layout->proposal_in_flight)
		propose(layout, layout->growth.largest);
	gw_timer_start(layout->rt, timer, CHECK_INTERVAL_MS * GW_US_PER_MS,
	    on_check, layout);
}

static void
on_listed(void *arg)
{
	layout_t *layout = arg;

	if (layout->shard_count == 0 && !gw_timer_armed(&layout->timer))
		on_check(&layout->timer, layout);
}

/* Contact with the store is reported by the roles' follower. */
static void
on_contact(const gw_err_t *err, void *arg)
{
	(void)err;
	(void)arg;
}

static const store_follow_ops_t follow_ops = {
    .on_item = on_item, .on_listed = on_listed, .on_contact = on_contact};

/*
 * Begins to follow the number of shards, and proposes one if there is none.
 */
layout_t *
layout_new(gw_rt_t *rt, store_t *store, const layout_ops_t *ops, void *arg)
{
	layout_t *layout = g_new0(layout_t, 1);

	layout->rt = rt;
	layout->store = store;
	layout->ops = ops;
	layout->arg = arg;
	layout->follow =
	    store_follow(store, LAYOUT_KEY, 0, &follow_ops, layout);
	return layout;
}

uint32_t
layout_shard_count(const layout_t *layout)
{
	return layout->shard_count;
}
