#include <string.h>

#include "gw/log.h"
#include "owner_impl.h"

static void
on_load_due(gw_timer_t *timer, void *arg)
{
	(void)timer;
	owner_load_next_page(arg);
}

/*
 * Formats the prefix of the keys that the present step reads.
 */
static void
format_prefix(const owner_t *owner, char out[OWNER_KEY_BYTES])
{
	static const sched_write_kind_t kinds[] = {
	    [LOAD_SPECS] = SCHED_WRITE_SPEC,
	    [LOAD_RECORDS] = SCHED_WRITE_RECORD,
	    [LOAD_HANDED] = SCHED_WRITE_HANDED,
	    [LOAD_TRANSFERS] = SCHED_WRITE_TRANSFER,
	    [LOAD_QUEUES] = SCHED_WRITE_QUEUE,
	    [LOAD_LAPSING] = SCHED_WRITE_LAPSING,
	};

	if (owner->load_step == LOAD_SEQUENCE)
		(void)g_strlcpy(out, owner->sequence_key, OWNER_KEY_BYTES);
	else
		owner_record_key(
		    out, owner->shard, kinds[owner->load_step], "");
}

static void
load_sequence(owner_t *owner, const store_item_t *item)
{
	owner->sequence_revision = item->mod_revision;
	owner->lapsing_is_current =
	    g_str_has_suffix(item->value, SEQUENCE_MARK);
}

static int
load_lapsing(owner_t *owner, const store_item_t *item)
{
	return sched_pool_load_lapsing(owner->pool, item->value,
	    item->size_bytes,
	    owner->ops->lapsing_seen_us(
		item->key, item->mod_revision, owner->arg),
	    owner->lapsing_is_current);
}

static void
load_item(owner_t *owner, const char *prefix, const store_item_t *item)
{
	const char *job = item->key + strlen(prefix);
	int rc = 0;

	if (owner->load_step == LOAD_HANDED)
		rc = sched_pool_receive(
		    owner->pool, job, item->value, item->size_bytes);
	else if (strlen(job) >= SCHED_JOB_ID_BYTES)
		rc = -1;
	else if (owner->load_step == LOAD_SEQUENCE)
		load_sequence(owner, item);
	else if (owner->load_step == LOAD_LAPSING)
		rc = load_lapsing(owner, item);
	else if (owner->load_step == LOAD_TRANSFERS)
		rc = sched_pool_load_transfer(owner->pool, job, item->value);
	else if (owner->load_step == LOAD_QUEUES)
		sched_pool_load_queue(owner->pool, job);
	else if (owner->load_step == LOAD_SPECS)
		rc = sched_pool_load_spec(
		    owner->pool, job, item->value, item->size_bytes);
	else
		rc = sched_pool_load_record(
		    owner->pool, job, item->value, item->size_bytes);
	if (rc != 0)
		gw_log(GW_EV_ENTRY_IGNORED,
		    "key=%s text=\"not a record; skipped\"", item->key);
}

static void
finish_load(owner_t *owner)
{
	owner->load_step = LOADED;
	sched_pool_finish_load(owner->pool);
	owner_schedule_tick_in(owner, 0);
}

static void
on_page(const store_page_t *page, const gw_err_t *err, void *arg)
{
	owner_t *owner = arg;
	const store_item_t *item = NULL;
	char prefix[OWNER_KEY_BYTES];

	if (!owner_end_call(owner))
		return;
	if (err != NULL) {
		gw_log(GW_EV_COMMIT_FAILED,
		    "pool=%s step=load err=%s text=\"%s\"", owner->shard,
		    gw_errc_name(err->code), err->text);
		gw_timer_start(owner->rt, &owner->load_timer,
		    RETRY_MIN_MS * GW_US_PER_MS, on_load_due, owner);
		return;
	}
	format_prefix(owner, prefix);
	for (guint i = 0; i < page->items->len; i++) {
		item = page->items->pdata[i];
		load_item(owner, prefix, item);
	}
	g_clear_pointer(&owner->load_after_key, g_free);
	if (page->truncated && item != NULL)
		owner->load_after_key = g_strdup(item->key);
	else
		owner->load_step++;
	if (owner->load_step == LOADED)
		finish_load(owner);
	else
		owner_load_next_page(owner);
}

/*
 * Reads the next page from the store, in the order of load_step_t.
 */
void
owner_load_next_page(owner_t *owner)
{
	char prefix[OWNER_KEY_BYTES];

	if (owner->closing || owner->call_in_progress)
		return;
	owner->call_in_progress = true;
	format_prefix(owner, prefix);
	store_range(
	    owner->store, prefix, owner->load_after_key, on_page, owner);
}
