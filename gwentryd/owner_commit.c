#include <stdio.h>
#include <string.h>

#include "gw/log.h"
#include "owner_impl.h"

/* Pause between writes, so that each holds what came in the meantime. */
#define COMMIT_PAUSE_MS 20
/* Writes that fail for so long mean that the store takes none. */
#define WRITE_LOST_MS 300
/* Entries of a transaction beside the records: two preconditions and a write.
 */
#define COMMIT_ENTRIES 3
/* Larger batches wait for the next write. */
#define RECORDS_MAX (STORE_TXN_ENTRIES_MAX - COMMIT_ENTRIES)

static void commit(owner_t *);

static void
on_commit_due(gw_timer_t *timer, void *arg)
{
	(void)timer;
	commit(arg);
}

static void
sequence_value(const owner_t *owner, char *out, uint32_t size_bytes)
{
	(void)snprintf(out, size_bytes, "%s %" PRIu64 " %" PRIu64, owner->boot,
	    owner->fence, owner->sequence);
}

static void
committed(owner_t *owner, uint64_t revision)
{
	sched_batch_t *batch = owner->batch;

	owner->batch = NULL;
	owner->sequence_revision = revision;
	owner->retry_ms = RETRY_MIN_MS;
	owner->commit_since_us = 0;
	owner->committed_us = gw_rt_now_us(owner->rt);
	sched_pool_batch_done(owner->pool, batch);
	owner_kick_in(owner, 0);
}

static const store_item_t *
find_item(const store_page_t *page, const char *key)
{
	for (guint i = 0; i < page->items->len; i++) {
		const store_item_t *item = page->items->pdata[i];

		if (strcmp(item->key, key) == 0)
			return item;
	}
	return NULL;
}

/*
 * Decides after a conflict: the role is lost, or an earlier attempt of the same
 * write took effect and its answer was lost.
 */
static void
conflict(owner_t *owner, const store_page_t *current)
{
	const store_item_t *role = find_item(current, owner->role_key);
	const store_item_t *sequence = find_item(current, owner->sequence_key);
	char expected[ROLE_KEY_BYTES];

	sequence_value(owner, expected, sizeof(expected));
	if (role == NULL || role->mod_revision != owner->fence)
		owner_depose(owner, "role-key-changed");
	else if (sequence != NULL && sequence->value != NULL &&
	    strcmp(sequence->value, expected) == 0)
		committed(owner, sequence->mod_revision);
	else
		owner_depose(owner, "sequence-changed");
}

static void
retry_commit(owner_t *owner, const gw_err_t *err)
{
	gw_log(GW_EV_COMMIT_FAILED,
	    "pool=%s sequence=%" PRIu64 " writes=%u err=%s text=\"%s\" "
	    "retry_ms=%u",
	    owner->pool_name, owner->sequence, sched_batch_writes(owner->batch),
	    gw_errc_name(err->code), err->text, owner->retry_ms);
	gw_timer_start(owner->rt, &owner->commit,
	    owner->retry_ms * GW_US_PER_MS, on_commit_due, owner);
	owner->retry_ms = MIN(owner->retry_ms * 2, RETRY_MAX_MS);
}

static void
on_committed(uint64_t revision, const store_page_t *current,
    const gw_err_t *err, void *arg)
{
	owner_t *owner = arg;

	if (!owner_call_ended(owner))
		return;
	if (err == NULL)
		committed(owner, revision);
	else if (err->code == GW_ERR_CONFLICT)
		conflict(owner, current);
	else
		retry_commit(owner, err);
}

/*
 * Sends the batch under way, with the role's key and the last write's sequence
 * as conditions: a copy that takes effect late changes nothing.
 */
static void
send_batch(owner_t *owner)
{
	uint32_t count = sched_batch_writes(owner->batch), writes = 0;
	uint32_t removes = 0;
	store_precondition_t preconditions[] = {{owner->role_key, owner->fence},
	    {owner->sequence_key, owner->sequence_revision}};
	store_write_t write[STORE_TXN_ENTRIES_MAX];
	const char *remove[STORE_TXN_ENTRIES_MAX];
	char keys[STORE_TXN_ENTRIES_MAX][RECORD_KEY_BYTES];
	char sequence[ROLE_KEY_BYTES];
	store_txn_t txn = {.preconditions = preconditions,
	    .precondition_count = G_N_ELEMENTS(preconditions),
	    .writes = write,
	    .removes = remove};

	sequence_value(owner, sequence, sizeof(sequence));
	write[writes++] =
	    (store_write_t){owner->sequence_key, sequence, strlen(sequence), 0};
	for (uint32_t i = 0; i < count; i++) {
		const sched_write_t *from = sched_batch_write(owner->batch, i);
		gsize size_bytes = 0;

		(void)snprintf(keys[i], RECORD_KEY_BYTES, "%s%s",
		    from->is_spec ? owner->spec_prefix : owner->record_prefix,
		    from->job);
		if (from->value == NULL) {
			remove[removes++] = keys[i];
			continue;
		}
		write[writes].key = keys[i];
		write[writes].value =
		    g_bytes_get_data(from->value, &size_bytes);
		write[writes].size_bytes = size_bytes;
		write[writes++].lease_id = 0;
	}
	txn.write_count = writes;
	txn.remove_count = removes;
	owner->calling = true;
	store_txn(owner->store, &txn, on_committed, owner);
}

/*
 * Writes what is to be recorded, one write at a time.
 */
static void
commit(owner_t *owner)
{
	uint64_t now_us = gw_rt_now_us(owner->rt);
	uint64_t due_us = owner->committed_us + COMMIT_PAUSE_MS * GW_US_PER_MS;

	if (owner->calling || owner->step != LOADED || owner->dead)
		return;
	if (owner->batch == NULL) {
		if (!sched_pool_dirty(owner->pool))
			return;
		if (now_us < due_us) {
			gw_timer_start(owner->rt, &owner->commit,
			    due_us - now_us, on_commit_due, owner);
			return;
		}
		owner->batch = sched_pool_take_batch(owner->pool, RECORDS_MAX);
		owner->sequence++;
		owner->commit_since_us = now_us;
	}
	send_batch(owner);
}

/*
 * Writes what is to be recorded, unless a write or a pause is under way.
 */
void
owner_commit_soon(owner_t *owner)
{
	if (owner->batch == NULL && !gw_timer_armed(&owner->commit))
		commit(owner);
}

/*
 * Tells whether the last write succeeded or has not failed for long.
 */
bool
owner_can_write(const owner_t *owner)
{
	return owner->commit_since_us == 0 ||
	    gw_elapsed_us(gw_rt_now_us(owner->rt), owner->commit_since_us) <
	    WRITE_LOST_MS * GW_US_PER_MS;
}
