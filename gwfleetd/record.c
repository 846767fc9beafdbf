#include <string.h>

#include "fleet_state.h"
#include "gw/log.h"
#include "record.h"

static void begin_read(fleet_t *, record_t *, record_phase_t);

/*
 * Starts with nothing known of the key.
 */
void
record_init(record_t *record, const record_ops_t *ops, const char *key)
{
	memset(record, 0, sizeof(*record));
	record->ops = ops;
	g_strlcpy(record->key, key, sizeof(record->key));
}

/*
 * Frees what the record holds.
 */
void
record_clear(record_t *record)
{
	g_clear_pointer(&record->value, g_free);
	g_clear_pointer(&record->draft, g_free);
}

/*
 * Tells whether a read or write may begin.
 */
bool
record_idle(const record_t *record)
{
	return record->phase == RECORD_IDLE;
}

static void
retry_later(fleet_t *fleet, record_t *record, const gw_err_t *err)
{
	record->retry_us = fleet_now_us(fleet) + RECORD_RETRY_MS * GW_US_PER_MS;
	fleet->metrics.store_errors->value++;
	gw_log(GW_EV_STORE_RETRY, "key=%s err=%s text=\"%s\"", record->key,
	    err == NULL ? "stale" : gw_errc_name(err->code),
	    err == NULL ? "read is older than what is known" : err->text);
}

/*
 * Takes over a value that was read. Returns false when the read is older than
 * one before: a store that answers from a lagging replica must not bring back
 * an old value.
 */
static bool
take_value(record_t *record, const store_value_t *value)
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
		retry_later(fleet, record, msg->err);
		return;
	}
	if (msg->err->code != GW_ERR_CONFLICT)
		retry_later(fleet, record, msg->err);
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
 * Decides what became of the draft: it is the key's value, the key has not
 * changed (then the same draft is sent again), or another write came first.
 */
static void
resolve(fleet_t *fleet, record_t *record, const store_value_t *value)
{
	uint64_t expected = record->mod_revision;

	if (!take_value(record, value)) {
		retry_later(fleet, record, NULL);
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
		retry_later(fleet, record, msg->err);
		return;
	}
	if (record->phase == RECORD_RESOLVING) {
		resolve(fleet, record, msg->value);
		return;
	}
	if (!take_value(record, msg->value)) {
		retry_later(fleet, record, NULL);
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
 * Reads the key, again and again until the store answers.
 */
void
record_read(fleet_t *fleet, record_t *record)
{
	g_assert(record_idle(record));
	begin_read(fleet, record, RECORD_READING);
}

/*
 * Writes the draft, which the record takes over, when the key still has the
 * value that was read or written last.
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
 * Ends the owner's interest: answers that come later are ignored, and what was
 * read must be read again.
 */
void
record_cancel(fleet_t *fleet, record_t *record)
{
	calls_forget(&fleet->calls, record->call);
	record->phase = RECORD_IDLE;
	record->retry_us = 0;
	g_clear_pointer(&record->draft, g_free);
}

/*
 * Repeats a call that failed, once its wait has passed.
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
