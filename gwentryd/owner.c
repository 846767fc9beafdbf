#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "agents.h"
#include "gw/id.h"
#include "gw/log.h"
#include "owner.h"
#include "roles.h"

#define KEY_BYTES 200
/* A prefix and a job's id. */
#define RECORD_KEY_BYTES (KEY_BYTES + SCHED_JOB_ID_BYTES)
/* Events are gathered for this long before the pool decides. */
#define KICK_MS 2
/* Pause between writes, so that each holds what came in the meantime. */
#define COMMIT_PAUSE_MS 20
#define RETRY_MIN_MS 40
#define RETRY_MAX_MS 400
/* Writes that fail for so long mean that the store takes none. */
#define WRITE_LOST_MS 300
/* Entries of a transaction beside the records: two guards and a write. */
#define COMMIT_ENTRIES 3
/* Larger batches wait for the next write. */
#define RECORDS_MAX (STORE_TXN_ENTRIES_MAX - COMMIT_ENTRIES)

typedef enum {
	LOAD_SPECS,
	LOAD_RECORDS,
	LOAD_SEQUENCE,
	LOADED
} load_step_t;

struct owner {
	gw_rt_t *rt;
	store_t *store;
	char pool_name[SCHED_NAME_BYTES];
	char role_key[KEY_BYTES];
	char spec_prefix[KEY_BYTES];
	char record_prefix[KEY_BYTES];
	char sequence_key[KEY_BYTES];
	char boot[GW_ID_TEXT_BYTES];
	uint64_t fence;
	const owner_ops_t *ops;
	void *arg;
	sched_pool_t *pool;
	agents_t *agents;
	load_step_t step;
	char *load_after; /* last key of a truncated page */
	gw_timer_t load;
	gw_timer_t tick;
	/* The write under way, repeated as it is until its outcome is known. */
	sched_batch_t *batch;
	uint64_t sequence_revision;
	uint64_t sequence;
	gw_timer_t commit;
	uint32_t retry_ms;
	uint64_t commit_since_us;
	uint64_t committed_us;
	bool calling;
	bool dead; /* freed once the call under way has ended */
};

static void load_next(owner_t *);
static void on_tick(gw_timer_t *, void *);

static void
owner_destroy(owner_t *owner)
{
	g_free(owner->load_after);
	g_free(owner);
}

static void
kick_in(owner_t *owner, uint64_t delay_us)
{
	uint64_t due_us = gw_rt_now_us(owner->rt) + delay_us;

	if (owner->dead || owner->step != LOADED)
		return;
	if (gw_timer_armed(&owner->tick) && owner->tick.due_us <= due_us)
		return;
	gw_timer_start(owner->rt, &owner->tick, delay_us, on_tick, owner);
}

/*
 * Lets the pool decide soon, since something has changed.
 */
void
owner_kick(owner_t *owner)
{
	kick_in(owner, KICK_MS * GW_US_PER_MS);
}

/* Orders go out as the pool decides them. */

static void
on_start(const sched_start_t *start, void *arg)
{
	owner_t *owner = arg;

	agents_start(owner->agents, start);
}

static void
on_stop(const char *instance, const char *address, const sched_ref_t *ref,
    uint32_t run, void *arg)
{
	owner_t *owner = arg;

	agents_stop(owner->agents, instance, address, ref, run);
}

static void
on_hold(const sched_hold_t *hold, void *arg)
{
	owner_t *owner = arg;

	agents_hold(owner->agents, hold);
}

static void
on_advise(const sched_ref_t *ref, const GPtrArray *instances, void *arg)
{
	owner_t *owner = arg;

	(void)instances;
	sched_pool_advice_failed(owner->pool, ref);
}

static void
depose(owner_t *owner, const char *reason)
{
	if (!owner->dead)
		owner->ops->on_deposed(owner->pool_name, reason, owner->arg);
}

static uint64_t
lease_until_us(void *arg)
{
	owner_t *owner = arg;

	return owner->ops->lease_until_us(owner->arg);
}

static void
on_fenced(const char *instance, void *arg)
{
	owner_t *owner = arg;

	gw_log(GW_EV_RUN_REFUSED, "instance=%s pool=%s order=hold answer=fence",
	    instance, owner->pool_name);
}

static void
on_forgotten(const char *instance, void *arg)
{
	owner_t *owner = arg;

	agents_forget(owner->agents, instance);
}

static const sched_ops_t pool_ops = {.start = on_start,
    .stop = on_stop,
    .hold = on_hold,
    .advise = on_advise,
    .lease_until_us = lease_until_us,
    .fenced = on_fenced,
    .forgotten = on_forgotten};

/* Answers come in. */

static void
on_started(const char *instance, const sched_ref_t *ref, uint32_t run,
    sched_answer_t answer, void *arg)
{
	owner_t *owner = arg;

	sched_pool_started(owner->pool, instance, ref, run, answer);
	owner_kick(owner);
}

static void
on_stopped(const char *instance, const sched_ref_t *ref, uint32_t run,
    sched_answer_t answer, void *arg)
{
	owner_t *owner = arg;

	sched_pool_stopped(owner->pool, instance, ref, run, answer);
	owner_kick(owner);
}

static void
on_report(const char *instance, const sched_report_t *report, uint64_t sent_us,
    void *arg)
{
	owner_t *owner = arg;

	sched_pool_report(owner->pool, instance, report, sent_us);
	owner_kick(owner);
}

static void
on_hold_failed(const char *instance, sched_answer_t answer, void *arg)
{
	owner_t *owner = arg;

	sched_pool_hold_failed(owner->pool, instance, answer);
	owner_kick(owner);
}

static const agents_ops_t agent_ops = {.on_started = on_started,
    .on_stopped = on_stopped,
    .on_report = on_report,
    .on_hold_failed = on_hold_failed};

/* Writing records. */

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
	kick_in(owner, 0);
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
	char expected[KEY_BYTES];

	sequence_value(owner, expected, sizeof(expected));
	if (role == NULL || role->mod_revision != owner->fence)
		depose(owner, "role-key-changed");
	else if (sequence != NULL && sequence->value != NULL &&
	    strcmp(sequence->value, expected) == 0)
		committed(owner, sequence->mod_revision);
	else
		depose(owner, "sequence-changed");
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

	owner->calling = false;
	if (owner->dead)
		owner_destroy(owner);
	else if (err == NULL)
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
	store_guard_t guards[] = {{owner->role_key, owner->fence},
	    {owner->sequence_key, owner->sequence_revision}};
	store_write_t write[STORE_TXN_ENTRIES_MAX];
	const char *remove[STORE_TXN_ENTRIES_MAX];
	char keys[STORE_TXN_ENTRIES_MAX][RECORD_KEY_BYTES];
	char sequence[KEY_BYTES];
	store_txn_t txn = {.guards = guards,
	    .guard_count = G_N_ELEMENTS(guards),
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

static uint64_t
wall_ms(void)
{
	return (uint64_t)g_get_real_time() / 1000;
}

static void
on_tick(gw_timer_t *timer, void *arg)
{
	owner_t *owner = arg;
	uint64_t delay_us;

	(void)timer;
	delay_us = sched_pool_tick(owner->pool, wall_ms());
	if (owner->batch == NULL && !gw_timer_armed(&owner->commit))
		commit(owner);
	kick_in(owner, delay_us);
}

/* Loading records. */

static void
on_load_due(gw_timer_t *timer, void *arg)
{
	(void)timer;
	load_next(arg);
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
	sched_pool_loaded(owner->pool);
	kick_in(owner, 0);
}

static void
on_page(const store_page_t *page, const gw_err_t *err, void *arg)
{
	owner_t *owner = arg;
	const store_item_t *item = NULL;

	owner->calling = false;
	if (owner->dead) {
		owner_destroy(owner);
		return;
	}
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
		load_next(owner);
}

static void
load_next(owner_t *owner)
{
	const char *prefix = owner->step == LOAD_SPECS ? owner->spec_prefix
	    : owner->step == LOAD_RECORDS	       ? owner->record_prefix
						       : owner->sequence_key;

	if (owner->dead || owner->calling)
		return;
	owner->calling = true;
	store_range(owner->store, prefix, owner->load_after, on_page, owner);
}

/*
 * Begins to own a pool. Its records are read first; no former owner can write
 * them any more.
 */
owner_t *
owner_new(gw_rt_t *rt, store_t *store, const owner_role_t *role,
    const owner_ops_t *ops, void *arg)
{
	owner_t *owner = g_new0(owner_t, 1);

	owner->rt = rt;
	owner->store = store;
	g_strlcpy(owner->pool_name, role->pool, sizeof(owner->pool_name));
	roles_key(role->pool, owner->role_key, sizeof(owner->role_key));
	(void)snprintf(owner->spec_prefix, KEY_BYTES, "gw/job/%s/", role->pool);
	(void)snprintf(
	    owner->record_prefix, KEY_BYTES, "gw/run/%s/", role->pool);
	(void)snprintf(
	    owner->sequence_key, KEY_BYTES, "gw/seq/%s/n", role->pool);
	gw_id_random(owner->boot);
	owner->fence = role->fence;
	owner->ops = ops;
	owner->arg = arg;
	owner->retry_ms = RETRY_MIN_MS;
	owner->pool = sched_pool_new(role->pool, role->data_centre,
	    gw_rt_clock(rt), &role->bounds, &pool_ops, owner);
	owner->agents = agents_new(rt, role->fence, &agent_ops, owner);
	load_next(owner);
	return owner;
}

/*
 * Gives the pool up: nothing more is ordered. Callers that wait are told that
 * the outcome is unknown.
 */
void
owner_free(owner_t *owner)
{
	if (owner == NULL)
		return;
	owner->dead = true;
	gw_timer_stop(&owner->load);
	gw_timer_stop(&owner->tick);
	gw_timer_stop(&owner->commit);
	agents_free(owner->agents);
	if (owner->batch != NULL)
		sched_batch_drop(owner->batch);
	owner->batch = NULL;
	sched_pool_free(owner->pool);
	if (!owner->calling)
		owner_destroy(owner);
}

/*
 * Tells whether the records have been read.
 */
bool
owner_loaded(const owner_t *owner)
{
	return owner->step == LOADED;
}

/*
 * Passes the registry's entry of an instance on to the pool.
 */
void
owner_set_instance(owner_t *owner, const sched_info_t *info)
{
	sched_pool_set_instance(owner->pool, info);
	owner_kick(owner);
}

/*
 * Passes the removal of an entry on to the pool.
 */
void
owner_remove_instance(owner_t *owner, const char *id)
{
	sched_pool_remove_instance(owner->pool, id);
	owner_kick(owner);
}

/*
 * Returns the pool; it belongs to the owner.
 */
sched_pool_t *
owner_pool(owner_t *owner)
{
	return owner->pool;
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

/*
 * Tells whether all that was decided is recorded.
 */
bool
owner_is_quiet(const owner_t *owner)
{
	return owner->step == LOADED && owner->batch == NULL &&
	    !sched_pool_dirty(owner->pool);
}
