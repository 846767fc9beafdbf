#include <stdio.h>
#include <string.h>

#include "gw/log.h"
#include "sched/room.h"
#include "sched/shard.h"
#include "transfer.h"

/* Time for the other owner's response, including a write to the store. */
#define CALL_TIMEOUT_MS 2000
/* Time for an answer whether there is room; later it is out of date. */
#define ROOM_TIMEOUT_MS 300

/* The room of the shards of one pool. */
typedef struct {
	const transfer_t *transfer;
	char pool[SCHED_NAME_BYTES];
	sched_room_t *rooms[SHARDS_MAX];
} rooms_t;

static void
add_instance(const sched_instance_info_t *info, void *arg)
{
	rooms_t *rooms = arg;

	if (strcmp(info->pool, rooms->pool) == 0)
		sched_room_add(rooms->rooms[shard_of_id(info->machine,
				   rooms->transfer->shard_count)],
		    info);
}

bool
transfer_find_shard(const transfer_t *transfer, const char *shard,
    const sched_seeker_t *misfit, char to[SCHED_NAME_BYTES])
{
	uint32_t count = transfer->shard_count, found = 0;
	rooms_t rooms = {.transfer = transfer};
	uint32_t present = shard_parse_name(shard, rooms.pool);
	bool is_found;

	for (uint32_t i = 0; i < count; i++)
		rooms.rooms[i] = sched_room_new(misfit->spec);
	view_replay_instances(transfer->view, add_instance, &rooms);
	is_found = sched_room_choose_shard(rooms.rooms, count, present,
	    shard_of_id(misfit->id, count), misfit->is_open, &found);
	if (is_found)
		shard_format_name(rooms.pool, found, count, to);
	for (uint32_t i = 0; i < count; i++)
		sched_room_free(rooms.rooms[i]);
	return is_found;
}

/* A request about one job on behalf of a shard's owner. */
typedef struct {
	const transfer_t *transfer;
	char shard[SCHED_NAME_BYTES];
	char to[SCHED_NAME_BYTES]; /* the shard that is asked for room */
	uint64_t fence;		   /* of this process's ownership */
	char id[SCHED_JOB_ID_BYTES];
	GBytes *spec; /* NULL: not read yet */
	/* sched_pool_transfer_count() when the read began. */
	uint64_t transfer_count;
	bool is_call; /* from another owner */
	bool is_part; /* room is asked for some of the job's tasks */
	dispatch_response_cb_t cb;
	void *arg;
} job_call_t;

static job_call_t *
request_new(const transfer_t *transfer, const char *shard, const char *id)
{
	owner_t *owner = owners_find(transfer->owners, shard);
	job_call_t *request;

	if (owner == NULL)
		return NULL;
	request = g_new0(job_call_t, 1);
	request->transfer = transfer;
	g_strlcpy(request->shard, shard, sizeof(request->shard));
	g_strlcpy(request->id, id, sizeof(request->id));
	request->fence = owner_fence(owner);
	request->transfer_count = sched_pool_transfer_count(owner_pool(owner));
	return request;
}

static void
request_free(job_call_t *request)
{
	if (request->spec != NULL)
		g_bytes_unref(request->spec);
	g_free(request);
}

/*
 * Returns the owner that the request is for, or NULL if this process has lost
 * the shard since.
 */
static owner_t *
request_owner(const job_call_t *request)
{
	owner_t *owner = owners_find(request->transfer->owners, request->shard);

	if (owner == NULL || owner_fence(owner) != request->fence)
		return NULL;
	return owner;
}

/* Asking another owner for room. */

/*
 * Returns for how many tasks the answer offers room; 1 means all if it is about
 * a whole job.
 */
static uint32_t
room_in(const job_call_t *request, const Gw__Reply *response)
{
	if (response->outcome != GW__CALL_OUTCOME__CALL_OK)
		return 0;
	return request->is_part ? response->tasks : 1;
}

static void
on_room_answer(const Gw__Reply *response, void *arg)
{
	job_call_t *request = arg;
	owner_t *owner = request_owner(request);

	if (owner != NULL) {
		sched_pool_apply_room_answer(owner_pool(owner), request->id,
		    request->to, room_in(request, response));
		owner_schedule_tick(owner);
	}
	request_free(request);
}

void
transfer_ask_room(const transfer_t *transfer, const char *shard,
    const sched_seeker_t *job, const char *to)
{
	job_call_t *request = request_new(transfer, shard, job->id);
	uint32_t open_steps[SCHED_STEPS_MAX];
	Gw__Call call = GW__CALL__INIT;

	if (request == NULL)
		return;
	g_strlcpy(request->to, to, sizeof(request->to));
	request->is_part = job->is_part;
	call.kind = GW__CALL_KIND__CALL_ROOM;
	call.part = job->is_part;
	call.pool = (char *)to;
	call.id = (char *)job->id;
	call.spec = (Gw__JobSpec *)job->spec;
	call.open_steps = open_steps;
	for (uint32_t i = 0; !job->is_part && i < job->spec->n_steps; i++)
		if (job->is_open[i])
			open_steps[call.n_open_steps++] = i;
	if (job->is_part)
		open_steps[call.n_open_steps++] = job->step;
	dispatch_call(transfer->dispatch, &call, ROOM_TIMEOUT_MS,
	    on_room_answer, request);
}

/*
 * An owner that is about to release its shards offers no room there.
 */
void
transfer_handle_room(const transfer_t *transfer, const Gw__Call *call,
    dispatch_response_cb_t cb, void *arg)
{
	owner_t *owner = owners_find(transfer->owners, call->pool);
	bool is_open[SCHED_STEPS_MAX] = {false};
	const sched_seeker_t job = {.id = call->id,
	    .spec = call->spec,
	    .is_open = is_open,
	    .is_part = call->part,
	    .step = call->n_open_steps == 0 ? 0 : call->open_steps[0]};
	Gw__Reply response = GW__REPLY__INIT;

	response.outcome = GW__CALL_OUTCOME__CALL_ABSENT;
	for (size_t i = 0; i < call->n_open_steps; i++)
		if (call->open_steps[i] < SCHED_STEPS_MAX)
			is_open[call->open_steps[i]] = true;
	if (call->spec != NULL && call->spec->n_steps > 0 &&
	    call->spec->n_steps <= SCHED_STEPS_MAX && owner != NULL &&
	    !owners_are_closing(transfer->owners))
		response.tasks = sched_pool_offer_room(owner_pool(owner), &job);
	if (response.tasks > 0)
		response.outcome = GW__CALL_OUTCOME__CALL_OK;
	cb(&response, arg);
}

/* Telling the other owner. */

static void
on_told(const Gw__Reply *response, void *arg)
{
	job_call_t *request = arg;
	owner_t *owner = request_owner(request);

	if (owner != NULL) {
		sched_pool_apply_adopt_result(
		    owner_pool(owner), request->id, response->outcome);
		owner_schedule_tick(owner);
	}
	request_free(request);
}

void
transfer_tell_adopt(const transfer_t *transfer, const char *shard,
    const char *to, const char *id)
{
	job_call_t *request = request_new(transfer, shard, id);
	Gw__Call call = GW__CALL__INIT;

	if (request == NULL)
		return;
	call.kind = GW__CALL_KIND__CALL_ADOPT;
	call.pool = (char *)to;
	call.id = (char *)id;
	dispatch_call(
	    transfer->dispatch, &call, CALL_TIMEOUT_MS, on_told, request);
}

/* Adoption of a job from its records. */

static void
end_read(job_call_t *request, Gw__CallOutcome outcome, const char *reason)
{
	Gw__Reply response = GW__REPLY__INIT;

	response.outcome = outcome;
	response.reason = (char *)reason;
	request->cb(&response, request->arg);
	request_free(request);
}

static void
on_adopted(const sched_response_t *response, void *arg)
{
	job_call_t *request = arg;

	end_read(request, response->outcome,
	    response->reason == NULL ? "" : response->reason);
}

/*
 * Replies about a job that the shard has.
 */
static void
reply_held(job_call_t *request, owner_t *owner)
{
	sched_pool_resubmit(
	    owner_pool(owner), request->id, on_adopted, request);
	owner_schedule_tick(owner);
}

/*
 * Handles that the store has no such job in the shard. Only its owner knows
 * that for certain. One that has transferred the job knows where it is.
 */
static void
end_absent(job_call_t *request, owner_t *owner)
{
	if (!owner_lease_is_valid(owner))
		end_read(request, GW__CALL_OUTCOME__CALL_REFUSED,
		    "lease-not-renewed");
	else if (request->is_call &&
	    sched_pool_has_job(owner_pool(owner), request->id))
		end_read(request, GW__CALL_OUTCOME__CALL_OK, "");
	else
		end_read(request, GW__CALL_OUTCOME__CALL_ABSENT, "no-such-job");
}

static const store_item_t *
only_item(const store_page_t *page, const char *id)
{
	for (guint i = 0; i < page->items->len; i++) {
		const store_item_t *item = page->items->pdata[i];

		if (g_str_has_suffix(item->key, id))
			return item;
	}
	return NULL;
}

static void
adopt(job_call_t *request, owner_t *owner, const store_item_t *record)
{
	gsize spec_bytes = 0;
	const void *spec = g_bytes_get_data(request->spec, &spec_bytes);
	const sched_job_rows_t rows = {.spec = spec,
	    .spec_bytes = spec_bytes,
	    .record = record->value,
	    .record_bytes = record->size_bytes};

	if (sched_pool_adopt(owner_pool(owner), request->id, &rows, on_adopted,
		request) == 0) {
		owner_schedule_tick(owner);
		return;
	}
	gw_log(GW_EV_ENTRY_IGNORED,
	    "pool=%s job=%s text=\"not the records of a job; skipped\"",
	    request->shard, request->id);
	end_read(request, GW__CALL_OUTCOME__CALL_REFUSED, "malformed-record");
}

static void read_records(job_call_t *);

static void
on_read(const store_page_t *page, const gw_err_t *err, void *arg)
{
	job_call_t *request = arg;
	owner_t *owner = request_owner(request);
	const store_item_t *item;

	if (err != NULL || owner == NULL || !owner_is_loaded(owner)) {
		end_read(request, GW__CALL_OUTCOME__CALL_REFUSED,
		    err != NULL ? "store-not-read" : "not-owner");
		return;
	}
	if (sched_pool_holds_job(owner_pool(owner), request->id)) {
		reply_held(request, owner);
		return;
	}
	if (sched_pool_transfer_count(owner_pool(owner)) !=
	    request->transfer_count) {
		end_read(request, GW__CALL_OUTCOME__CALL_REFUSED, "changed");
		return;
	}
	item = only_item(page, request->id);
	if (item == NULL) {
		end_absent(request, owner);
		return;
	}
	if (request->spec != NULL) {
		adopt(request, owner, item);
		return;
	}
	request->spec = g_bytes_new(item->value, item->size_bytes);
	read_records(request);
}

/*
 * Reads the job's specification, and then its progress.
 */
static void
read_records(job_call_t *request)
{
	char key[OWNER_KEY_BYTES];

	owner_record_key(key, request->shard,
	    request->spec == NULL ? SCHED_WRITE_SPEC : SCHED_WRITE_RECORD,
	    request->id);
	store_range(request->transfer->store, key, NULL, on_read, request);
}

void
transfer_handle_adopt(const transfer_t *transfer, const Gw__Call *call,
    dispatch_response_cb_t cb, void *arg)
{
	job_call_t *request = request_new(transfer, call->pool, call->id);
	Gw__Reply response = GW__REPLY__INIT;
	owner_t *owner;

	if (request == NULL) {
		response.outcome = GW__CALL_OUTCOME__CALL_REFUSED;
		response.reason = (char *)"not-owner";
		cb(&response, arg);
		return;
	}
	request->is_call = true;
	request->cb = cb;
	request->arg = arg;
	owner = request_owner(request);
	if (!owner_is_loaded(owner)) {
		end_read(request, GW__CALL_OUTCOME__CALL_REFUSED, "loading");
	} else if (sched_pool_holds_job(owner_pool(owner), call->id)) {
		reply_held(request, owner);
	} else {
		read_records(request);
	}
}

static void
on_found(const Gw__Reply *response, void *arg)
{
	job_call_t *request = arg;
	owner_t *owner = request_owner(request);

	if (owner != NULL &&
	    response->outcome == GW__CALL_OUTCOME__CALL_ABSENT) {
		sched_pool_forget_transfer(owner_pool(owner), request->id);
		owner_schedule_tick(owner);
	}
	request_free(request);
}

void
transfer_find_records(
    const transfer_t *transfer, const char *shard, const char *id)
{
	job_call_t *request = request_new(transfer, shard, id);

	if (request == NULL)
		return;
	request->cb = on_found;
	request->arg = request_new(transfer, shard, id);
	read_records(request);
}
