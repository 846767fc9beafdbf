#include <string.h>

#include "fleet_state.h"
#include "gw/log.h"
#include "record.h"

static void begin_read(fleet_t *, record_t *, record_phase_t);

/*
 * Initializes a record whose key has not been read.
 */
void
record_init(record_t *record, const record_ops_t *ops, const char *key)
{
	memset(record, 0, sizeof(*record));
	record->ops = ops;
	g_strlcpy(record->key, key, sizeof(record->key));
}

/*
 * Frees the value and the draft.
 */
void
record_clear(record_t *record)
{
	g_clear_pointer(&record->value, g_free);
	g_clear_pointer(&record->draft, g_free);
}

/*
 * Returns whether a read or write may begin.
 */
bool
record_idle(const record_t *record)
{
	return record->phase == RECORD_IDLE;
}

static void
schedule_retry(fleet_t *fleet, record_t *record, const gw_err_t *err)
{
	record->retry_us = fleet_now_us(fleet) + RECORD_RETRY_MS * GW_US_PER_MS;
	fleet->metrics.store_errors->value++;
	gw_log(GW_EV_STORE_RETRY, "key=%s err=%s text=\"%s\"", record->key,
	    err == NULL ? "stale" : gw_errc_name(err->code),
	    err == NULL ? "the store returned an older revision than before"
			: err->text);
}

/*
 * Updates the value from a read. Returns false when the read is older than an
 * earlier one: a reply from a lagging replica of the store must not restore an
 * old value.
 */
static bool
update_value(record_t *record, const store_value_t *value)
{
	if (value->store_revision < record->store_revision ||
	    (value->mod_revision != 0 &&
		value->mod_revision < record->mod_revision))
		return false;
	record->store_revision = value->store_revision;
	record->mod_revision = value->mod_revision;
	g_free(record->value);
	record->value = g_strdup(value->value);
	return true;
}

static void
on_put(fleet_t *fleet, const fleet_msg_t *msg, void *arg)
{
	record_t *record = arg;

	if (msg->err == NULL) {
		record->phase = RECORD_IDLE;
		record->mod_revision = msg->number;
		record->store_revision =
		    MAX(record->store_revision, msg->number);
		g_free(record->value);
		record->value = g_steal_pointer(&record->draft);
		record->ops->on_written(fleet, record);
		return;
	}
	record->sent |= msg->err->code != GW_ERR_UNAVAILABLE;
	if (msg->err->code == GW_ERR_UNAVAILABLE) {
		schedule_retry(fleet, record, msg->err);
		return;
	}
	if (msg->err->code != GW_ERR_CONFLICT)
		schedule_retry(fleet, record, msg->err);
	begin_read(fleet, record, RECORD_RESOLVING);
}

static void
begin_put(fleet_t *fleet, record_t *record)
{
	record->phase = RECORD_WRITING;
	record->retry_us = 0;
	record->call = calls_add(&fleet->calls, on_put, record);
	fleet->metrics.store_writes->value++;
	fleet->ops->put_if(fleet->ctx, record->call, record->key,
	    record->mod_revision, record->draft, record->lease_id);
}

/*
 * Determines the outcome of a write from the key's value. If it is the draft,
 * the write took effect. If the key has not changed, the same draft is sent
 * again. Otherwise another process wrote first.
 */
static void
resolve(fleet_t *fleet, record_t *record, const store_value_t *value)
{
	uint64_t expected = record->mod_revision;

	if (!update_value(record, value)) {
		schedule_retry(fleet, record, NULL);
		return;
	}
	if (g_strcmp0(record->value, record->draft) == 0) {
		record->phase = RECORD_IDLE;
		g_clear_pointer(&record->draft, g_free);
		record->ops->on_written(fleet, record);
		return;
	}
	if (record->mod_revision == expected) {
		begin_put(fleet, record);
		return;
	}
	record->phase = RECORD_IDLE;
	g_clear_pointer(&record->draft, g_free);
	record->ops->on_lost(fleet, record);
}

static void
on_get(fleet_t *fleet, const fleet_msg_t *msg, void *arg)
{
	record_t *record = arg;

	if (msg->err != NULL) {
		schedule_retry(fleet, record, msg->err);
		return;
	}
	if (record->phase == RECORD_RESOLVING) {
		resolve(fleet, record, msg->value);
		return;
	}
	if (!update_value(record, msg->value)) {
		schedule_retry(fleet, record, NULL);
		return;
	}
	record->phase = RECORD_IDLE;
	record->ops->on_read(fleet, record);
}

static void
begin_read(fleet_t *fleet, record_t *record, record_phase_t phase)
{
	record->phase = phase;
	record->retry_us = 0;
	record->call = calls_add(&fleet->calls, on_get, record);
	fleet->metrics.store_reads->value++;
	fleet->ops->get(fleet->ctx, record->call, record->key);
}

/*
 * Reads the key, and repeats the read until the store replies.
 */
void
record_read(fleet_t *fleet, record_t *record)
{
	g_assert(record_idle(record));
	begin_read(fleet, record, RECORD_READING);
}

/*
 * Writes the draft if the key still has the value that was read or written
 * last. Takes ownership of the draft.
 */
void
record_write(fleet_t *fleet, record_t *record, char *draft)
{
	g_assert(record_idle(record));
	g_free(record->draft);
	record->draft = draft;
	record->sent = false;
	begin_put(fleet, record);
}

/*
 * Cancels the pending call; a later reply is ignored. The caller must read the
 * key again before it writes.
 */
void
record_cancel(fleet_t *fleet, record_t *record)
{
	calls_cancel(&fleet->calls, record->call);
	record->phase = RECORD_IDLE;
	record->retry_us = 0;
	g_clear_pointer(&record->draft, g_free);
}

/*
 * Repeats a failed call after its delay.
 */
void
record_tick(fleet_t *fleet, record_t *record)
{
	if (record->retry_us == 0 || fleet_now_us(fleet) < record->retry_us)
		return;
	if (record->phase == RECORD_WRITING)
		begin_put(fleet, record);
	else
		begin_read(fleet, record, record->phase);
}
