#include <string.h>

#include "gw/log.h"
#include "owner_impl.h"

static void
on_load_due(gw_timer_t *timer, void *arg)
{
	(void)timer;
	owner_load(arg);
}

static void
load_item(owner_t *owner, const store_item_t *item)
{
	const char *prefix = owner->step == LOAD_SPECS ? owner->spec_prefix
						       : owner->record_prefix;
	const char *job = item->key + strlen(prefix);
	int rc;

	if (strlen(job) >= SCHED_JOB_ID_BYTES)
		rc = -1;
	else if (owner->step == LOAD_SPECS)
		rc = sched_pool_load_spec(
		    owner->pool, job, item->value, item->size_bytes);
	else
		rc = sched_pool_load_record(
		    owner->pool, job, item->value, item->size_bytes);
	if (rc != 0)
		gw_log(GW_EV_ENTRY_IGNORED, "key=%s text=\"not a record\"",
		    item->key);
}

static void
loaded(owner_t *owner)
{
	owner->step = LOADED;
	sched_pool_finish_load(owner->pool);
	owner_kick_in(owner, 0);
}

static void
on_page(const store_page_t *page, const gw_err_t *err, void *arg)
{
	owner_t *owner = arg;
	const store_item_t *item = NULL;

	if (!owner_call_ended(owner))
		return;
	if (err != NULL) {
		gw_log(GW_EV_COMMIT_FAILED,
		    "pool=%s step=load err=%s text=\"%s\"", owner->pool_name,
		    gw_errc_name(err->code), err->text);
		gw_timer_start(owner->rt, &owner->load,
		    RETRY_MIN_MS * GW_US_PER_MS, on_load_due, owner);
		return;
	}
	for (guint i = 0; i < page->items->len; i++) {
		item = page->items->pdata[i];
		if (owner->step == LOAD_SEQUENCE)
			owner->sequence_revision = item->mod_revision;
		else
			load_item(owner, item);
	}
	g_clear_pointer(&owner->load_after, g_free);
	if (page->truncated && item != NULL)
		owner->load_after = g_strdup(item->key);
	else
		owner->step++;
	if (owner->step == LOADED)
		loaded(owner);
	else
		owner_load(owner);
}

/*
 * Reads the next page of records, in the order of load_step_t.
 */
void
owner_load(owner_t *owner)
{
	const char *prefix = owner->step == LOAD_SPECS ? owner->spec_prefix
	    : owner->step == LOAD_RECORDS	       ? owner->record_prefix
						       : owner->sequence_key;

	if (owner->dead || owner->calling)
		return;
	owner->calling = true;
	store_range(owner->store, prefix, owner->load_after, on_page, owner);
}
