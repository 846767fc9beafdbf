#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "gw/log.h"
#include "layout.h"
#include "sched/parts.h"
#include "store/follow.h"

#define LAYOUT_KEY "gw/layout"
#define RETRY_MS 200

struct layout {
	gw_rt_t *rt;
	store_t *store;
	const layout_ops_t *ops;
	void *arg;
	store_follow_t *follow; /* NULL once it is known */
	parts_growth_t growth;
	uint32_t parts;
	bool proposing;
	gw_timer_t timer;
};

/*
 * The key never changes, so that it is followed no longer.
 */
static void
on_settled(gw_timer_t *timer, void *arg)
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
	unsigned long parts;

	if (strcmp(item->key, LAYOUT_KEY) != 0 || item->removed ||
	    layout->parts != 0)
		return;
	parts = strtoul(item->value, NULL, 10);
	if (parts == 0 || parts > PARTS_MAX) {
		gw_log(GW_EV_ENTRY_IGNORED, "key=%s text=\"not a layout\"",
		    item->key);
		return;
	}
	layout->parts = (uint32_t)parts;
	gw_timer_start(layout->rt, &layout->timer, 0, on_settled, layout);
	gw_log(GW_EV_LAYOUT, "parts=%u revision=%" PRIu64, layout->parts,
	    item->mod_revision);
	layout->ops->on_known(layout->parts, layout->arg);
}

static void
on_proposed(uint64_t revision, const store_page_t *current, const gw_err_t *err,
    void *arg)
{
	layout_t *layout = arg;

	(void)revision;
	(void)current;
	/* In any case the followed key tells what holds. */
	layout->proposing = false;
	if (err != NULL && err->code != GW_ERR_CONFLICT)
		gw_log(GW_EV_COMMIT_FAILED, "key=%s err=%s text=\"%s\"",
		    LAYOUT_KEY, gw_errc_name(err->code), err->text);
}

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

	(void)snprintf(value, sizeof(value), "%u", parts_for(instances));
	write.value = value;
	write.size_bytes = strlen(value);
	layout->proposing = true;
	store_txn(layout->store, &txn, on_proposed, layout);
}

static void
on_timer(gw_timer_t *timer, void *arg)
{
	layout_t *layout = arg;
	uint32_t instances = layout->ops->largest_pool(layout->arg);

	if (layout->parts != 0)
		return;
	if (parts_settled(
		&layout->growth, instances, gw_rt_now_us(layout->rt)) &&
	    !layout->proposing)
		propose(layout, layout->growth.largest);
	gw_timer_start(
	    layout->rt, timer, RETRY_MS * GW_US_PER_MS, on_timer, layout);
}

static void
on_listed(void *arg)
{
	layout_t *layout = arg;

	if (layout->parts == 0 && !gw_timer_armed(&layout->timer))
		on_timer(&layout->timer, layout);
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
 * Begins to read the layout, and proposes one if there is none.
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

/*
 * Returns the number of parts, or 0.
 */
uint32_t
layout_parts(const layout_t *layout)
{
	return layout->parts;
}
