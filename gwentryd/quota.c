#include <stdio.h>
#include <string.h>

#include "gw/log.h"
#include "platform/registry.h"
#include "quota.h"

#define KEY_PREFIX "gw/quota/"
#define KEY_BYTES (sizeof(KEY_PREFIX) + SCHED_NAME_BYTES)
/* Entries of a transaction besides the teams' keys: two preconditions. */
#define FIXED_ENTRIES 2
/* A team's key is a precondition and a write. */
#define TEAMS_MAX ((STORE_TXN_ENTRIES_MAX - FIXED_ENTRIES) / 2)
/* Pause between writes, for tasks that wait and for what is given back. */
#define LACKING_PAUSE_MS 20
#define SPARE_PAUSE_MS 250
/* The same after a conflict, which has shown the keys as they are. */
#define CONFLICT_PAUSE_MS 5
/* Keys that were read longer ago are read again before others are asked. */
#define READ_AGE_MAX_MS 100
/* Another shard is asked for a team's quota this often. */
#define ASK_PAUSE_MS 200
#define RETRY_MIN_MS 40
#define RETRY_MAX_MS 400

/* A team's key, as last read or written. */
typedef struct {
	uint64_t revision; /* 0: it is absent */
	Gw__QuotaRecord *record;
	/*
	 * A write on condition of this revision may still take effect, so that
	 * the key must change before this shard's part is known.
	 */
	bool is_uncertain;
	uint64_t asked_us; /* when others were last asked to yield */
} row_t;

struct quota {
	gw_rt_t *rt;
	store_t *store;
	sched_pool_t *pool;
	char shard[SCHED_NAME_BYTES];
	const char *role_key;
	uint64_t fence;
	const quota_ops_t *ops;
	void *arg;
	GHashTable *rows;  /* team -> row_t */
	GArray *changes;   /* being written (sched_quota_change_t) */
	GArray *parts;	   /* of these, what is written (sched_resources_t) */
	uint64_t read_us;  /* when all keys were read; 0: they must be */
	uint64_t ended_us; /* of the last call */
	uint32_t retry_ms;
	uint64_t retry_at_us; /* no call before */
	gw_timer_t timer;
	bool has_conflicted; /* the last write */
	bool call_in_progress;
	bool closing;
};

static void
row_free(gpointer data)
{
	row_t *row = data;

	if (row->record != NULL)
		gw__quota_record__free_unpacked(row->record, NULL);
	g_free(row);
}

quota_t *
quota_new(gw_rt_t *rt, store_t *store, sched_pool_t *pool,
    const quota_role_t *role, const quota_ops_t *ops, void *arg)
{
	quota_t *quota = g_new0(quota_t, 1);

	quota->rt = rt;
	quota->store = store;
	quota->pool = pool;
	g_strlcpy(quota->shard, role->shard, sizeof(quota->shard));
	quota->role_key = role->role_key;
	quota->fence = role->fence;
	quota->ops = ops;
	quota->arg = arg;
	quota->rows =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, row_free);
	quota->changes = g_array_new(FALSE, TRUE, sizeof(sched_quota_change_t));
	quota->parts = g_array_new(FALSE, TRUE, sizeof(sched_resources_t));
	quota->retry_ms = RETRY_MIN_MS;
	return quota;
}

static void
destroy(quota_t *quota)
{
	g_hash_table_destroy(quota->rows);
	g_array_free(quota->changes, TRUE);
	g_array_free(quota->parts, TRUE);
	g_free(quota);
}

void
quota_free(quota_t *quota)
{
	quota->closing = true;
	gw_timer_stop(&quota->timer);
	if (!quota->call_in_progress)
		destroy(quota);
}

/*
 * Marks the call to the store as ended. Returns false if quota_free() was
 * called during the call.
 */
static bool
end_call(quota_t *quota)
{
	quota->call_in_progress = false;
	quota->ended_us = gw_rt_now_us(quota->rt);
	if (!quota->closing)
		return true;
	destroy(quota);
	return false;
}

static void
on_timer(gw_timer_t *timer, void *arg)
{
	(void)timer;
	quota_update(arg);
}

static void
schedule(quota_t *quota, uint64_t at_us)
{
	uint64_t now_us = gw_rt_now_us(quota->rt);

	if (!gw_timer_armed(&quota->timer))
		gw_timer_start(quota->rt, &quota->timer,
		    at_us > now_us ? at_us - now_us : 0, on_timer, quota);
}

static void
retry_later(quota_t *quota, const gw_err_t *err, const char *step)
{
	gw_log(GW_EV_COMMIT_FAILED,
	    "pool=%s step=%s err=%s text=\"%s\" retry_ms=%u", quota->shard,
	    step, gw_errc_name(err->code), err->text, quota->retry_ms);
	quota->retry_at_us =
	    gw_rt_now_us(quota->rt) + quota->retry_ms * GW_US_PER_MS;
	quota->retry_ms = MIN(quota->retry_ms * 2, RETRY_MAX_MS);
	schedule(quota, quota->retry_at_us);
}

static row_t *
get_row(quota_t *quota, const char *team)
{
	row_t *row = g_hash_table_lookup(quota->rows, team);

	if (row == NULL) {
		row = g_new0(row_t, 1);
		g_hash_table_insert(quota->rows, g_strdup(team), row);
	}
	return row;
}

/*
 * Takes the state of a team's key. The shard has the part that stands there,
 * unless a write of its own may still change it.
 */
static void
apply_row(quota_t *quota, const char *team, uint64_t revision,
    Gw__QuotaRecord *record)
{
	row_t *row = get_row(quota, team);
	sched_resources_t part = sched_quota_part(record, quota->shard);
	sched_resources_t others = sched_quota_others(record, quota->shard);

	if (row->record != NULL)
		gw__quota_record__free_unpacked(row->record, NULL);
	row->record = record;
	if (revision != row->revision)
		row->is_uncertain = false;
	row->revision = revision;
	if (!row->is_uncertain)
		sched_pool_set_quota_held(quota->pool, team, &part, &others);
}

/*
 * Takes an item of the store. A value that cannot be read counts as none, and
 * is replaced.
 */
static void
apply_item(quota_t *quota, const store_item_t *item)
{
	const char *team = item->key + strlen(KEY_PREFIX);
	Gw__QuotaRecord *record = NULL;

	if (!g_str_has_prefix(item->key, KEY_PREFIX) ||
	    strlen(team) >= SCHED_NAME_BYTES)
		return;
	if (item->value != NULL)
		record = gw__quota_record__unpack(
		    NULL, item->size_bytes, (const uint8_t *)item->value);
	if (item->value != NULL && record == NULL)
		gw_log(GW_EV_ENTRY_IGNORED,
		    "key=%s text=\"not a record; replaced\"", item->key);
	apply_row(quota, team, item->mod_revision, record);
}

static bool
is_on_page(const store_page_t *page, const char *team)
{
	for (guint i = 0; i < page->items->len; i++) {
		const store_item_t *item = page->items->pdata[i];

		if (g_str_has_prefix(item->key, KEY_PREFIX) &&
		    strcmp(item->key + strlen(KEY_PREFIX), team) == 0)
			return true;
	}
	return false;
}

/*
 * Takes the keys of the teams that are being changed. One that the page lacks
 * is absent.
 */
static void
apply_page(quota_t *quota, const store_page_t *page)
{
	for (guint i = 0; i < page->items->len; i++)
		apply_item(quota, page->items->pdata[i]);
	for (guint i = 0; i < quota->changes->len; i++) {
		const char *team =
		    g_array_index(quota->changes, sched_quota_change_t, i).team;

		if (!is_on_page(page, team))
			apply_row(quota, team, 0, NULL);
	}
}

static void
on_read(const store_page_t *page, const gw_err_t *err, void *arg)
{
	quota_t *quota = arg;

	if (!end_call(quota))
		return;
	if (err != NULL) {
		retry_later(quota, err, "read-quotas");
		return;
	}
	quota->retry_ms = RETRY_MIN_MS;
	quota->read_us = quota->ended_us;
	apply_page(quota, page);
	quota_update(quota);
}

/*
 * Reads the keys of all teams. A list that is cut off, of more than some 500
 * teams, is completed by the conflicts of writes.
 */
static void
read_rows(quota_t *quota)
{
	quota->call_in_progress = true;
	store_range(quota->store, KEY_PREFIX, NULL, on_read, quota);
}

static void
log_part(const quota_t *quota, const sched_quota_change_t *change,
    const sched_resources_t *part)
{
	gw_log(GW_EV_QUOTA_PART,
	    "team=%s pool=%s cpu=%" PRIu64 " memory=%" PRIu64
	    " wanted_cpu=%" PRIu64 " wanted_memory=%" PRIu64
	    " used_cpu=%" PRIu64 " used_memory=%" PRIu64 " quota_cpu=%" PRIu64
	    " quota_memory=%" PRIu64,
	    change->team, quota->shard, part->cpu_millis, part->memory_mib,
	    change->wanted.cpu_millis, change->wanted.memory_mib,
	    change->used.cpu_millis, change->used.memory_mib,
	    change->quota.cpu_millis, change->quota.memory_mib);
}

static void
finish_write(quota_t *quota, uint64_t revision)
{
	for (guint i = 0; i < quota->changes->len; i++) {
		const sched_quota_change_t *change =
		    &g_array_index(quota->changes, sched_quota_change_t, i);
		const sched_resources_t *part =
		    &g_array_index(quota->parts, sched_resources_t, i);
		row_t *row = get_row(quota, change->team);
		g_autoptr(GBytes) value =
		    sched_quota_encode(row->record, quota->shard, part);
		gsize size_bytes = 0;
		const uint8_t *data =
		    value == NULL ? NULL : g_bytes_get_data(value, &size_bytes);

		log_part(quota, change, part);
		apply_row(quota, change->team, value == NULL ? 0 : revision,
		    value == NULL
			? NULL
			: gw__quota_record__unpack(NULL, size_bytes, data));
	}
	quota->retry_ms = RETRY_MIN_MS;
	quota->ops->on_changed(quota->arg);
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
 * Handles that a key has changed: a team's, by another shard or by an attempt
 * of this one, the role's, or the configuration.
 */
static void
resolve_conflict(quota_t *quota, const store_page_t *current)
{
	const store_item_t *role = find_item(current, quota->role_key);
	const store_item_t *config = find_item(current, PLAT_CONFIG_KEY);

	apply_page(quota, current);
	if (role == NULL || role->mod_revision != quota->fence) {
		quota->ops->on_role_changed(quota->arg);
		return;
	}
	if (config != NULL &&
	    config->mod_revision != quota->ops->config_revision(quota->arg))
		quota->ops->on_config_item(config, quota->arg);
	quota->ops->on_changed(quota->arg);
}

/*
 * Handles that the write may have taken effect, or may yet. The keys are read
 * and written again.
 */
static void
mark_uncertain(quota_t *quota)
{
	quota->read_us = 0;
	for (guint i = 0; i < quota->changes->len; i++) {
		const char *team =
		    g_array_index(quota->changes, sched_quota_change_t, i).team;

		get_row(quota, team)->is_uncertain = true;
		sched_pool_forget_quota_held(quota->pool, team);
	}
}

static void
on_written(uint64_t revision, const store_page_t *current, const gw_err_t *err,
    void *arg)
{
	quota_t *quota = arg;

	if (!end_call(quota))
		return;
	quota->has_conflicted = err != NULL && err->code == GW_ERR_CONFLICT;
	if (err == NULL)
		finish_write(quota, revision);
	else if (err->code == GW_ERR_CONFLICT)
		resolve_conflict(quota, current);
	else {
		mark_uncertain(quota);
		retry_later(quota, err, "write-quotas");
	}
}

/*
 * Writes the parts in quota->parts. What they give back is not used from now
 * on.
 */
static void
write_parts(quota_t *quota)
{
	uint32_t count = quota->changes->len;
	store_precondition_t preconditions[FIXED_ENTRIES + TEAMS_MAX] = {
	    {quota->role_key, quota->fence},
	    {PLAT_CONFIG_KEY, quota->ops->config_revision(quota->arg)}};
	store_write_t writes[TEAMS_MAX];
	const char *removes[TEAMS_MAX];
	char keys[TEAMS_MAX][KEY_BYTES];
	g_autoptr(GPtrArray) values =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	store_txn_t txn = {.preconditions = preconditions,
	    .precondition_count = FIXED_ENTRIES + count,
	    .writes = writes,
	    .removes = removes};

	for (uint32_t i = 0; i < count; i++) {
		const sched_quota_change_t *change =
		    &g_array_index(quota->changes, sched_quota_change_t, i);
		const sched_resources_t *part =
		    &g_array_index(quota->parts, sched_resources_t, i);
		const row_t *row = get_row(quota, change->team);
		GBytes *value =
		    sched_quota_encode(row->record, quota->shard, part);
		gsize size_bytes = 0;

		(void)snprintf(
		    keys[i], sizeof(keys[i]), KEY_PREFIX "%s", change->team);
		preconditions[FIXED_ENTRIES + i] =
		    (store_precondition_t){keys[i], row->revision};
		sched_pool_limit_quota_held(quota->pool, change->team, part);
		if (value == NULL) {
			removes[txn.remove_count++] = keys[i];
			continue;
		}
		g_ptr_array_add(values, value);
		writes[txn.write_count] = (store_write_t){.key = keys[i],
		    .value = g_bytes_get_data(value, &size_bytes)};
		writes[txn.write_count++].size_bytes = size_bytes;
	}
	quota->call_in_progress = true;
	store_txn(quota->store, &txn, on_written, quota);
}

/*
 * Asks the other shards that hold some of the team's quota.
 */
static void
ask_others(quota_t *quota, const char *team, row_t *row, uint64_t now_us)
{
	if (row->record == NULL ||
	    gw_elapsed_us(now_us, row->asked_us) < ASK_PAUSE_MS * GW_US_PER_MS)
		return;
	row->asked_us = now_us;
	for (size_t i = 0; i < row->record->n_parts; i++)
		if (strcmp(row->record->parts[i]->shard, quota->shard) != 0)
			quota->ops->ask_to_yield(
			    row->record->parts[i]->shard, team, quota->arg);
}

/*
 * Selects the changes that the store's keys, as known, allow. Returns whether
 * tasks wait for a change that they do not allow.
 */
static bool
select_changes(quota_t *quota, GArray *wanted, uint64_t now_us)
{
	bool is_lacking = false;

	g_array_set_size(quota->changes, 0);
	g_array_set_size(quota->parts, 0);
	for (guint i = 0; i < wanted->len; i++) {
		const sched_quota_change_t *change =
		    &g_array_index(wanted, sched_quota_change_t, i);
		row_t *row = get_row(quota, change->team);
		sched_resources_t part =
		    sched_quota_grant(row->record, quota->shard, change);
		bool is_less = part.cpu_millis < change->wanted.cpu_millis ||
		    part.memory_mib < change->wanted.memory_mib ||
		    part.accelerators < change->wanted.accelerators;

		if (change->is_lacking && is_less) {
			is_lacking = true;
			ask_others(quota, change->team, row, now_us);
		}
		if (quota->changes->len == TEAMS_MAX ||
		    (sched_resources_equal(&part, &change->held) &&
			!row->is_uncertain))
			continue;
		g_array_append_val(quota->changes, *change);
		g_array_append_val(quota->parts, part);
	}
	return is_lacking;
}

static bool
must_read(const quota_t *quota, const GArray *wanted)
{
	bool is_unknown = quota->read_us == 0;

	for (guint i = 0; i < wanted->len; i++)
		is_unknown |=
		    g_array_index(wanted, sched_quota_change_t, i).must_read;
	return is_unknown;
}

static bool
has_lacking(const GArray *wanted)
{
	for (guint i = 0; i < wanted->len; i++)
		if (g_array_index(wanted, sched_quota_change_t, i).is_lacking)
			return true;
	return false;
}

/*
 * Returns when the next call may be made.
 */
static uint64_t
next_call_us(const quota_t *quota, const GArray *wanted)
{
	uint32_t pause_ms =
	    has_lacking(wanted) ? LACKING_PAUSE_MS : SPARE_PAUSE_MS;
	uint64_t at_us;

	if (quota->has_conflicted)
		pause_ms = CONFLICT_PAUSE_MS;
	at_us = quota->ended_us == 0
	    ? 0
	    : quota->ended_us + pause_ms * GW_US_PER_MS;

	return MAX(at_us, quota->retry_at_us);
}

void
quota_update(quota_t *quota)
{
	uint64_t now_us = gw_rt_now_us(quota->rt);
	g_autoptr(GArray) wanted = NULL;
	bool is_lacking;

	if (quota->call_in_progress || !quota->ops->may_write(quota->arg))
		return;
	wanted = sched_pool_quota_changes(quota->pool);
	if (wanted->len == 0)
		return;
	if (quota->read_us != quota->ended_us &&
	    now_us < next_call_us(quota, wanted)) {
		schedule(quota, next_call_us(quota, wanted));
		return;
	}
	if (must_read(quota, wanted)) {
		g_array_set_size(quota->changes, 0);
		g_array_append_vals(quota->changes, wanted->data, wanted->len);
		read_rows(quota);
		return;
	}
	is_lacking = select_changes(quota, wanted, now_us);
	if (quota->changes->len > 0)
		write_parts(quota);
	else if (is_lacking &&
	    gw_elapsed_us(now_us, quota->read_us) >=
		READ_AGE_MAX_MS * GW_US_PER_MS) {
		quota->read_us = 0;
		schedule(quota, now_us);
	} else if (is_lacking)
		schedule(
		    quota, quota->read_us + READ_AGE_MAX_MS * GW_US_PER_MS);
}
