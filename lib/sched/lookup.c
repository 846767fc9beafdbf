#include <string.h>

#include "sched/lookup.h"
#include "sched/shard.h"

struct sched_homes {
	GHashTable *by_key; /* key of a queue -> names of shards (GPtrArray) */
};

struct sched_lookup {
	Gw__CallKind kind; /* of the request */
	GArray *calls;	   /* sched_lookup_call_t */
	guint next;	   /* the next one to make */
	guint ended;	   /* calls that have ended */
	bool has_followed; /* a call went to where the job was moved */
	Gw__Reply result;
	char *reason; /* of the result */
};

sched_homes_t *
sched_homes_new(void)
{
	sched_homes_t *homes = g_new0(sched_homes_t, 1);

	homes->by_key = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
	return homes;
}

void
sched_homes_free(sched_homes_t *homes)
{
	if (homes == NULL)
		return;
	g_hash_table_destroy(homes->by_key);
	g_free(homes);
}

void
sched_homes_add(sched_homes_t *homes, const char *key, const char *shard)
{
	GPtrArray *shards = g_hash_table_lookup(homes->by_key, key);

	if (shards == NULL) {
		shards = g_ptr_array_new_with_free_func(g_free);
		g_hash_table_insert(homes->by_key, g_strdup(key), shards);
	}
	g_ptr_array_add(shards, g_strdup(shard));
}

static bool
is_in_pool(const char *shard, const char *pool)
{
	char name[SCHED_NAME_BYTES];

	(void)shard_parse_name(shard, name);
	return strcmp(name, pool) == 0;
}

bool
sched_homes_has_other(
    const sched_homes_t *homes, const char *key, const char *pool)
{
	const GPtrArray *shards = g_hash_table_lookup(homes->by_key, key);

	for (guint i = 0; shards != NULL && i < shards->len; i++)
		if (!is_in_pool(shards->pdata[i], pool))
			return true;
	return false;
}

void
sched_homes_foreach(const sched_homes_t *homes,
    void (*cb)(const char *shard, void *arg), void *arg)
{
	GHashTableIter iter;
	GPtrArray *shards;

	g_hash_table_iter_init(&iter, homes->by_key);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&shards))
		for (guint i = 0; i < shards->len; i++)
			cb(shards->pdata[i], arg);
}

static void
add_call(sched_lookup_t *lookup, Gw__CallKind kind, const char *shard)
{
	sched_lookup_call_t call = {.kind = kind};

	g_strlcpy(call.shard, shard, sizeof(call.shard));
	g_array_append_val(lookup->calls, call);
}

/*
 * Adds calls to the shards of other pools that have accepted jobs of the queue:
 * for a job, to those of its number only.
 */
static void
add_other_homes(sched_lookup_t *lookup, const sched_homes_t *homes,
    const sched_lookup_queue_t *queue, Gw__CallKind kind, uint32_t number)
{
	const GPtrArray *shards =
	    g_hash_table_lookup(homes->by_key, queue->key);
	char pool[SCHED_NAME_BYTES];

	for (guint i = 0; shards != NULL && i < shards->len; i++) {
		const char *shard = shards->pdata[i];

		if (is_in_pool(shard, queue->pool))
			continue;
		if (lookup->kind == GW__CALL_KIND__CALL_PENDING ||
		    shard_parse_name(shard, pool) == number)
			add_call(lookup, kind, shard);
	}
}

/*
 * A job is looked for in its queue's present pool first, since most are there.
 * It is submitted there only once no other pool has it.
 */
sched_lookup_t *
sched_lookup_new(const sched_homes_t *homes, const sched_lookup_queue_t *queue,
    Gw__CallKind kind, const char *id)
{
	sched_lookup_t *lookup = g_new0(sched_lookup_t, 1);
	bool is_count = kind == GW__CALL_KIND__CALL_PENDING;
	bool is_submit = kind == GW__CALL_KIND__CALL_SUBMIT;
	uint32_t number = is_count ? 0 : shard_of_id(id, queue->shard_count);
	uint32_t end = is_count ? queue->shard_count : number + 1;
	char shard[SCHED_NAME_BYTES];

	lookup->kind = kind;
	lookup->calls = g_array_new(FALSE, FALSE, sizeof(sched_lookup_call_t));
	gw__reply__init(&lookup->result);
	lookup->result.outcome = is_count ? GW__CALL_OUTCOME__CALL_OK
					  : GW__CALL_OUTCOME__CALL_ABSENT;
	if (is_submit)
		add_other_homes(
		    lookup, homes, queue, GW__CALL_KIND__CALL_RESUBMIT, number);
	for (uint32_t i = number; i < end; i++) {
		shard_format_name(queue->pool, i, queue->shard_count, shard);
		add_call(lookup, kind, shard);
	}
	if (!is_submit)
		add_other_homes(lookup, homes, queue, kind, number);
	return lookup;
}

void
sched_lookup_free(sched_lookup_t *lookup)
{
	g_array_free(lookup->calls, TRUE);
	g_free(lookup->reason);
	g_free(lookup);
}

const sched_lookup_call_t *
sched_lookup_next(sched_lookup_t *lookup)
{
	if (lookup->next == lookup->calls->len)
		return NULL;
	return &g_array_index(
	    lookup->calls, sched_lookup_call_t, lookup->next++);
}

bool
sched_lookup_is_parallel(const sched_lookup_t *lookup)
{
	return lookup->kind == GW__CALL_KIND__CALL_PENDING;
}

static void
set_result(sched_lookup_t *lookup, const Gw__Reply *response)
{
	g_free(lookup->reason);
	lookup->reason =
	    g_strdup(response->reason == NULL ? "" : response->reason);
	lookup->result.outcome = response->outcome;
	lookup->result.state = response->state;
	lookup->result.retry_after_ms = response->retry_after_ms;
	lookup->result.reason = lookup->reason;
}

/*
 * Adds one shard's count. If it is not known, neither is the sum.
 */
static bool
add_count(sched_lookup_t *lookup, const Gw__Reply *response)
{
	lookup->result.pending += response->pending;
	if (response->outcome == GW__CALL_OUTCOME__CALL_OK)
		return lookup->ended == lookup->calls->len;
	set_result(lookup, response);
	return true;
}

/*
 * Returns whether the response names another shard of the pool that has the
 * job, and makes that the next one to be called.
 */
static bool
follow_transfer(sched_lookup_t *lookup, const sched_lookup_call_t *from,
    const Gw__Reply *response)
{
	sched_lookup_call_t call = {.kind = from->kind};

	if (response->moved_to == NULL || response->moved_to[0] == '\0' ||
	    lookup->has_followed)
		return false;
	lookup->has_followed = true;
	g_strlcpy(call.shard, response->moved_to, sizeof(call.shard));
	g_array_insert_val(lookup->calls, lookup->next, call);
	return true;
}

/*
 * A job that one shard has is found. Otherwise the outcome that says least
 * decides: a job is known to be absent only if no shard has it. A submission
 * ends where it is not known whether the shard has the job: its outcome is
 * unknown even if the owner has refused the call.
 */
bool
sched_lookup_add(sched_lookup_t *lookup, const Gw__Reply *response)
{
	const sched_lookup_call_t *call =
	    &g_array_index(lookup->calls, sched_lookup_call_t, lookup->ended);

	lookup->ended++;
	if (sched_lookup_is_parallel(lookup))
		return add_count(lookup, response);
	if (follow_transfer(lookup, call, response)) {
		set_result(lookup, response);
		return false;
	}
	if (response->outcome == GW__CALL_OUTCOME__CALL_OK ||
	    response->outcome >= lookup->result.outcome)
		set_result(lookup, response);
	if (response->outcome == GW__CALL_OUTCOME__CALL_OK)
		return true;
	if (call->kind == GW__CALL_KIND__CALL_RESUBMIT &&
	    response->outcome != GW__CALL_OUTCOME__CALL_ABSENT) {
		lookup->result.outcome = GW__CALL_OUTCOME__CALL_UNKNOWN;
		return true;
	}
	return lookup->ended == lookup->calls->len;
}

const Gw__Reply *
sched_lookup_result(const sched_lookup_t *lookup)
{
	return &lookup->result;
}
