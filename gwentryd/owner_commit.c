#include <stdio.h>
#include <string.h>

#include "gw/log.h"
#include "homes.h"
#include "owner_impl.h"
#include "platform/registry.h"

/* Pause after a commit, so that the next one has several changes. */
#define COMMIT_PAUSE_MS 20
/* The store counts as not writable after a commit has failed for this long. */
#define STORE_UNWRITABLE_MS 300
/*
 * Entries of each transaction besides the records: three preconditions, and the
 * write of the sequence key.
 */
#define COMMIT_FIXED_ENTRIES 4
/* Most records in a commit; others wait for the next one. */
#define COMMIT_RECORDS_MAX (STORE_TXN_ENTRIES_MAX - COMMIT_FIXED_ENTRIES)

static void commit(owner_t *);

static void
on_commit_due(gw_timer_t *timer, void *arg)
{
	(void)timer;
	commit(arg);
}

/*
 * Formats the value of the sequence key: unique to one commit of one owner, so
 * that the owner can recognize its own write.
 */
static void
format_sequence_value(const owner_t *owner, char *out, uint32_t size_bytes)
{
	(void)snprintf(out, size_bytes, "%s %" PRIu64 " %" PRIu64 SEQUENCE_MARK,
	    owner->boot_id, owner->fence, owner->sequence);
}

static void
finish_commit(owner_t *owner, uint64_t revision)
{
	sched_batch_t *batch = owner->batch;

	owner->batch = NULL;
	owner->sequence_revision = revision;
	owner->written_revision = revision;
	owner->retry_ms = RETRY_MIN_MS;
	owner->commit_started_us = 0;
	owner->last_commit_us = gw_rt_now_us(owner->rt);
	sched_pool_batch_done(owner->pool, batch);
	owner_schedule_tick_in(owner, 0);
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
 * Handles a commit of new jobs that has failed since there is a newer
 * configuration. It can no longer take effect.
 */
static void
handle_newer_config(owner_t *owner, const store_item_t *config)
{
	sched_batch_t *batch = owner->batch;

	gw_log(GW_EV_COMMIT_OUTDATED,
	    "pool=%s sequence=%" PRIu64 " writes=%u config_revision=%" PRIu64
	    " newest=%" PRIu64,
	    owner->shard, owner->sequence, sched_batch_write_count(batch),
	    owner->batch_config_revision, config->mod_revision);
	owner->batch = NULL;
	owner->retry_ms = RETRY_MIN_MS;
	owner->commit_started_us = 0;
	owner->ops->on_config_item(config, owner->arg);
	sched_pool_batch_outdated(owner->pool, batch);
	owner_config_changed(owner);
}

/*
 * Finds the cause of a conflict. Either an earlier attempt of this commit took
 * effect and the store's response was lost, or another process has written the
 * role key or the sequence key, so that this process no longer owns the shard,
 * or there is a newer configuration.
 */
static void
resolve_conflict(owner_t *owner, const store_page_t *current)
{
	const store_item_t *role = find_item(current, owner->role_key);
	const store_item_t *sequence = find_item(current, owner->sequence_key);
	const store_item_t *config = find_item(current, PLAT_CONFIG_KEY);
	uint64_t revision = sequence == NULL ? 0 : sequence->mod_revision;
	char expected[ROLE_KEY_BYTES];

	format_sequence_value(owner, expected, sizeof(expected));
	if (role == NULL || role->mod_revision != owner->fence)
		owner_report_lost(owner, "role-key-changed");
	else if (sequence != NULL && sequence->value != NULL &&
	    strcmp(sequence->value, expected) == 0)
		finish_commit(owner, sequence->mod_revision);
	else if (revision == owner->sequence_revision && config != NULL &&
	    config->mod_revision != owner->batch_config_revision)
		handle_newer_config(owner, config);
	else
		owner_report_lost(owner, "sequence-changed");
}

static void
retry_commit(owner_t *owner, const gw_err_t *err)
{
	gw_log(GW_EV_COMMIT_FAILED,
	    "pool=%s sequence=%" PRIu64 " writes=%u err=%s text=\"%s\" "
	    "retry_ms=%u",
	    owner->shard, owner->sequence,
	    sched_batch_write_count(owner->batch), gw_errc_name(err->code),
	    err->text, owner->retry_ms);
	gw_timer_start(owner->rt, &owner->commit_timer,
	    owner->retry_ms * GW_US_PER_MS, on_commit_due, owner);
	owner->retry_ms = MIN(owner->retry_ms * 2, RETRY_MAX_MS);
}

/*
 * Handles a commit that the store refuses as it is, so that it would refuse it
 * again. The pool commits the jobs one by one instead. If, against its
 * response, the store has written it, the next one fails on the sequence key.
 */
static void
split_commit(owner_t *owner, const gw_err_t *err)
{
	sched_batch_t *batch = owner->batch;

	gw_log(GW_EV_COMMIT_FAILED,
	    "pool=%s sequence=%" PRIu64 " writes=%u err=%s text=\"%s\"",
	    owner->shard, owner->sequence, sched_batch_write_count(batch),
	    gw_errc_name(err->code), err->text);
	owner->batch = NULL;
	owner->retry_ms = RETRY_MIN_MS;
	owner->commit_started_us = 0;
	owner->last_commit_us = gw_rt_now_us(owner->rt);
	sched_pool_batch_refused(owner->pool, batch);
	owner_schedule_tick_in(owner, 0);
}

static void
on_commit_response(uint64_t revision, const store_page_t *current,
    const gw_err_t *err, void *arg)
{
	owner_t *owner = arg;

	if (!owner_end_call(owner))
		return;
	if (err == NULL)
		finish_commit(owner, revision);
	else if (err->code == GW_ERR_CONFLICT)
		resolve_conflict(owner, current);
	else if (err->code == GW_ERR_LIMIT)
		split_commit(owner, err);
	else
		retry_commit(owner, err);
}

void
owner_record_key(char out[OWNER_KEY_BYTES], const char *shard,
    sched_write_kind_t kind, const char *id)
{
	static const char *const prefixes[] = {
	    [SCHED_WRITE_SPEC] = "gw/job/",
	    [SCHED_WRITE_RECORD] = "gw/run/",
	    [SCHED_WRITE_QUEUE] = HOMES_KEY_PREFIX,
	    [SCHED_WRITE_TRANSFER] = "gw/transfer/",
	    [SCHED_WRITE_HANDED] = "gw/part/",
	    [SCHED_WRITE_OLD_ROW] = "gw/part/",
	};

	if (kind == SCHED_WRITE_LAPSING)
		roles_lapsing_key(shard, out, OWNER_KEY_BYTES);
	else
		(void)snprintf(
		    out, OWNER_KEY_BYTES, "%s%s/%s", prefixes[kind], shard, id);
}

/*
 * Sends the current batch, on condition that the role key and the sequence key
 * are unchanged. A duplicate of the request that reaches the store late fails
 * this condition, so it changes nothing. New jobs are written on condition that
 * no newer configuration has sent their queue to another pool.
 */
static void
send_batch(owner_t *owner)
{
	uint32_t count = sched_batch_write_count(owner->batch), writes = 0;
	uint32_t removes = 0;
	store_precondition_t preconditions[] = {{owner->role_key, owner->fence},
	    {owner->sequence_key, owner->sequence_revision},
	    {PLAT_CONFIG_KEY, owner->batch_config_revision}};
	store_write_t write[STORE_TXN_ENTRIES_MAX];
	const char *remove[STORE_TXN_ENTRIES_MAX];
	char keys[STORE_TXN_ENTRIES_MAX][OWNER_KEY_BYTES];
	char sequence[ROLE_KEY_BYTES];
	store_txn_t txn = {.preconditions = preconditions,
	    .precondition_count =
		sched_batch_accepts_jobs(owner->batch) ? 3 : 2,
	    .writes = write,
	    .removes = remove};

	format_sequence_value(owner, sequence, sizeof(sequence));
	write[writes++] =
	    (store_write_t){owner->sequence_key, sequence, strlen(sequence), 0};
	for (uint32_t i = 0; i < count; i++) {
		const sched_write_t *from = sched_batch_write(owner->batch, i);
		gsize size_bytes = 0;

		owner_record_key(keys[i],
		    from->shard[0] == '\0' ? owner->shard : from->shard,
		    from->kind, from->id);
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
	owner->call_in_progress = true;
	store_txn(owner->store, &txn, on_commit_response, owner);
}

/*
 * Sends the current batch again, or takes the next one once the pause after the
 * last commit is over. Only one commit is in progress at a time.
 */
static void
commit(owner_t *owner)
{
	uint64_t now_us = gw_rt_now_us(owner->rt);
	uint64_t due_us =
	    owner->last_commit_us + COMMIT_PAUSE_MS * GW_US_PER_MS;

	if (owner->call_in_progress || owner->load_step != LOADED ||
	    owner->closing)
		return;
	if (owner->batch == NULL) {
		if (!sched_pool_is_dirty(owner->pool))
			return;
		if (now_us < due_us) {
			gw_timer_start(owner->rt, &owner->commit_timer,
			    due_us - now_us, on_commit_due, owner);
			return;
		}
		owner->batch =
		    sched_pool_take_batch(owner->pool, COMMIT_RECORDS_MAX);
		owner->batch_config_revision =
		    owner->ops->config_revision(owner->arg);
		owner->sequence++;
		owner->commit_started_us = now_us;
	}
	send_batch(owner);
}

/*
 * Commits pending changes, unless a commit or the pause after one is in
 * progress. The next commit follows both without this call.
 */
void
owner_schedule_commit(owner_t *owner)
{
	if (owner->batch == NULL && !gw_timer_armed(&owner->commit_timer))
		commit(owner);
}

/*
 * Returns false once the commit in progress has failed for STORE_UNWRITABLE_MS.
 */
bool
owner_can_write(const owner_t *owner)
{
	return owner->commit_started_us == 0 ||
	    gw_elapsed_us(gw_rt_now_us(owner->rt), owner->commit_started_us) <
	    STORE_UNWRITABLE_MS * GW_US_PER_MS;
}
