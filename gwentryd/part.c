#include "part.h"

#include <string.h>

#include "gw/log.h"

/* Time for the other owner's response, including a write to the store. */
#define CALL_TIMEOUT_MS 2000

/* A call that this process has sent or received, about one job of a shard. */
typedef struct {
	const transfer_t *transfer;
	char shard[SCHED_NAME_BYTES]; /* that this process owns */
	char to[SCHED_NAME_BYTES];    /* that is called */
	uint64_t fence;		      /* of this process's ownership */
	char id[SCHED_JOB_ID_BYTES];
	char prefix[OWNER_KEY_BYTES]; /* of the job's rows */
	char *after_key; /* last key of a truncated page, or NULL */
	/* sched_pool_transfer_count() when the read began. */
	uint64_t transfer_count;
	bool is_ended;
	bool is_part; /* from a shard with a part */
	char from[SCHED_NAME_BYTES];
	GArray *steps;	  /* of the part (sched_part_step_t) */
	GArray *may_stop; /* the same, see sched_pool_part_asks() */
	dispatch_response_cb_t cb;
	void *arg;
} part_call_t;

static part_call_t *
call_new(const transfer_t *transfer, const char *shard, const char *id)
{
	owner_t *owner = owners_find(transfer->owners, shard);
	part_call_t *call;

	if (owner == NULL)
		return NULL;
	call = g_new0(part_call_t, 1);
	call->transfer = transfer;
	g_strlcpy(call->shard, shard, sizeof(call->shard));
	g_strlcpy(call->id, id, sizeof(call->id));
	call->fence = owner_fence(owner);
	call->transfer_count = sched_pool_transfer_count(owner_pool(owner));
	call->steps = g_array_new(FALSE, FALSE, sizeof(sched_part_step_t));
	call->may_stop = g_array_new(FALSE, FALSE, sizeof(sched_part_step_t));
	return call;
}

static void
call_free(part_call_t *call)
{
	g_array_unref(call->steps);
	g_array_unref(call->may_stop);
	g_free(call->after_key);
	g_free(call);
}

/*
 * Returns the owner that the call is for, or NULL if this process has lost the
 * shard since.
 */
static owner_t *
call_owner(const part_call_t *call)
{
	owner_t *owner = owners_find(call->transfer->owners, call->shard);

	if (owner == NULL || owner_fence(owner) != call->fence)
		return NULL;
	return owner;
}

/* Steps in messages. */

static void
read_steps(GArray *steps, Gw__PartStep *const *rows, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		sched_part_step_t step = {.occurrence = rows[i]->occurrence,
		    .step = rows[i]->step,
		    .tasks = rows[i]->tasks,
		    .unavailable = rows[i]->unavailable,
		    .leaving = rows[i]->leaving};

		g_array_append_val(steps, step);
	}
}

/* Steps in the form of a message. */
typedef struct {
	Gw__PartStep *rows;
	Gw__PartStep **list;
	size_t count;
} message_steps_t;

static message_steps_t
message_steps_new(const GArray *steps)
{
	message_steps_t message = {.count = steps == NULL ? 0 : steps->len};

	message.rows = g_new(Gw__PartStep, message.count + 1);
	message.list = g_new(Gw__PartStep *, message.count + 1);
	for (size_t i = 0; i < message.count; i++) {
		const sched_part_step_t *step =
		    &g_array_index(steps, sched_part_step_t, i);
		Gw__PartStep *row = &message.rows[i];

		gw__part_step__init(row);
		row->occurrence = step->occurrence;
		row->step = step->step;
		row->tasks = step->tasks;
		row->unavailable = step->unavailable;
		row->leaving = step->leaving;
		message.list[i] = row;
	}
	return message;
}

static void
message_steps_clear(message_steps_t *message)
{
	g_free(message->rows);
	g_free(message->list);
}

/* The caller. */

static void
on_told(const Gw__Reply *response, void *arg)
{
	part_call_t *call = arg;
	owner_t *owner = call_owner(call);

	if (owner != NULL) {
		read_steps(call->may_stop, response->part_steps,
		    response->n_part_steps);
		sched_pool_apply_part_result(owner_pool(owner), call->id,
		    call->to, response->outcome, call->may_stop);
		owner_schedule_tick(owner);
	}
	call_free(call);
}

void
part_tell(const transfer_t *transfer, const char *shard,
    const sched_part_call_t *from)
{
	part_call_t *sent = call_new(transfer, shard, from->id);
	message_steps_t steps;
	Gw__Call call = GW__CALL__INIT;

	if (sent == NULL)
		return;
	steps = message_steps_new(from->steps);
	g_strlcpy(sent->to, from->shard, sizeof(sent->to));
	call.kind = GW__CALL_KIND__CALL_PART;
	call.pool = (char *)from->shard;
	call.id = (char *)from->id;
	call.ended = from->is_ended;
	call.part = from->is_part;
	call.has_rows = from->has_rows;
	call.from = (char *)shard;
	call.n_part_steps = steps.count;
	call.part_steps = steps.list;
	dispatch_call(
	    transfer->dispatch, &call, CALL_TIMEOUT_MS, on_told, sent);
	message_steps_clear(&steps);
}

/* The owner that is called. */

static void
end_call(part_call_t *call, Gw__CallOutcome outcome, const char *reason)
{
	message_steps_t steps = message_steps_new(call->may_stop);
	Gw__Reply response = GW__REPLY__INIT;

	response.outcome = outcome;
	response.reason = (char *)reason;
	response.n_part_steps = steps.count;
	response.part_steps = steps.list;
	call->cb(&response, call->arg);
	message_steps_clear(&steps);
	call_free(call);
}

static void
on_recorded(const sched_response_t *response, void *arg)
{
	end_call(arg, response->outcome,
	    response->reason == NULL ? "" : response->reason);
}

/*
 * Answers once all rows were read. Whether the job is open is certain only
 * while no other process can own the shard.
 */
static void
answer(part_call_t *call, owner_t *owner)
{
	sched_pool_t *pool = owner_pool(owner);

	if (!owner_lease_is_valid(owner)) {
		end_call(
		    call, GW__CALL_OUTCOME__CALL_REFUSED, "lease-not-renewed");
		return;
	}
	if (call->is_part)
		sched_pool_part_asks(pool, call->id, call->from, call->steps,
		    call->may_stop, on_recorded, call);
	else
		sched_pool_part_told(
		    pool, call->id, call->is_ended, on_recorded, call);
	owner_schedule_tick(owner);
}

static void on_rows(const store_page_t *, const gw_err_t *, void *arg);

static void
read_rows(part_call_t *call)
{
	store_range(call->transfer->store, call->prefix, call->after_key,
	    on_rows, call);
}

static void
on_rows(const store_page_t *page, const gw_err_t *err, void *arg)
{
	part_call_t *call = arg;
	owner_t *owner = call_owner(call);
	size_t key_bytes;

	if (err != NULL || owner == NULL || !owner_is_loaded(owner)) {
		end_call(call, GW__CALL_OUTCOME__CALL_REFUSED,
		    err != NULL ? "store-not-read" : "not-owner");
		return;
	}
	if (sched_pool_transfer_count(owner_pool(owner)) !=
	    call->transfer_count) {
		end_call(call, GW__CALL_OUTCOME__CALL_REFUSED, "changed");
		return;
	}
	key_bytes = strlen(call->prefix) - strlen(call->id) - 1;
	for (guint i = 0; i < page->items->len; i++) {
		const store_item_t *item = page->items->pdata[i];

		if (sched_pool_receive(owner_pool(owner), item->key + key_bytes,
			item->value, item->size_bytes) != 0)
			gw_log(GW_EV_ENTRY_IGNORED,
			    "key=%s text=\"not a row with tasks; skipped\"",
			    item->key);
		g_free(call->after_key);
		call->after_key = g_strdup(item->key);
	}
	if (page->truncated && page->items->len > 0)
		read_rows(call);
	else
		answer(call, owner);
}

void
part_handle_call(const transfer_t *transfer, const Gw__Call *from,
    dispatch_response_cb_t cb, void *arg)
{
	part_call_t *call = call_new(transfer, from->pool, from->id);
	char row[SCHED_ROW_BYTES];
	Gw__Reply response = GW__REPLY__INIT;

	if (call == NULL) {
		response.outcome = GW__CALL_OUTCOME__CALL_REFUSED;
		response.reason = (char *)"not-owner";
		cb(&response, arg);
		return;
	}
	call->is_ended = from->ended;
	call->is_part = from->part;
	g_strlcpy(call->from, from->from, sizeof(call->from));
	read_steps(call->steps, from->part_steps, from->n_part_steps);
	call->cb = cb;
	call->arg = arg;
	if (!owner_is_loaded(call_owner(call))) {
		end_call(call, GW__CALL_OUTCOME__CALL_REFUSED, "loading");
		return;
	}
	g_strlcpy(row, call->id, sizeof(row));
	(void)g_strlcat(row, ".", sizeof(row));
	owner_record_key(call->prefix, call->shard, SCHED_WRITE_HANDED, row);
	if (from->has_rows)
		read_rows(call);
	else
		answer(call, call_owner(call));
}
