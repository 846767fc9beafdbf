#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"
#include "sched/room.h"
#include "sched/shard.h"

/*
 * Jobs that this shard's instances cannot run, while those of another shard of
 * the pool can. Such a job is transferred: one transaction of this shard's
 * owner removes its records here, writes them there and leaves a note here that
 * says where it is. So the store has the job in one shard at any time. The
 * other owner is then told, reads the records and adopts the job.
 *
 * Callers' requests go to the home shard of the job's id, which keeps its note
 * for as long as another shard has the job. A job that cannot run away from its
 * home either goes back there first, so that a note always names its place.
 *
 * A job is transferred only while none of its tasks is placed.
 */

/* How long a job must have fitted nowhere here. */
#define MISFIT_MIN_US GW_US_PER_S
/* How often it is checked whether a job fits. */
#define CHECK_INTERVAL_US (200 * GW_US_PER_MS)
/*
 * Pause after a call to the other owner that did not succeed; it doubles. The
 * longest one bounds how much longer callers wait for the job's new place than
 * its owner is away.
 */
#define RETRY_US (200 * GW_US_PER_MS)
#define RETRY_MAX_US (3 * GW_US_PER_S)
/* The home shard asks so often whether the other one still has the job. */
#define RECHECK_US (30 * GW_US_PER_S)

/* Where a job is that this shard has transferred. */
typedef struct {
	char id[SCHED_JOB_ID_BYTES];
	char queue_key[SCHED_QUEUE_KEY_BYTES];
	char shard[SCHED_NAME_BYTES];
	bool is_adopted;	 /* its owner has said so */
	bool in_flight;		 /* a call to its owner */
	uint64_t due_us;	 /* of the next call */
	uint64_t retry_us;	 /* pause after the next failure */
	uint32_t failures;	 /* of calls in a row */
	Gw__CallOutcome outcome; /* of the last one of them */
} note_t;

static note_t *
add_note(sched_pool_t *pool, const char *id, const char *shard,
    const char *queue_key)
{
	note_t *note = g_new0(note_t, 1);

	g_strlcpy(note->id, id, sizeof(note->id));
	g_strlcpy(note->shard, shard, sizeof(note->shard));
	g_strlcpy(note->queue_key, queue_key, sizeof(note->queue_key));
	note->retry_us = RETRY_US;
	g_hash_table_replace(pool->transfers, note->id, note);
	return note;
}

/*
 * Formats the note on a job that is about to be transferred.
 */
GBytes *
sched_transfer_encode(const sched_job_t *job)
{
	char *text = g_strdup_printf("%s %s", job->move_to, job->queue_key);

	return g_bytes_new_take(text, strlen(text));
}

/*
 * Loads a note from the store, after the jobs. Returns -1 when it is malformed.
 */
int
sched_pool_load_transfer(sched_pool_t *pool, const char *id, const char *value)
{
	const char *space = strchr(value, ' ');
	char shard[SCHED_NAME_BYTES];
	note_t *note;

	if (space == NULL || space == value ||
	    (size_t)(space - value) >= sizeof(shard) ||
	    strlen(space + 1) >= SCHED_QUEUE_KEY_BYTES)
		return -1;
	g_strlcpy(shard, value, (gsize)(space - value) + 1);
	note = add_note(pool, id, shard, space + 1);
	sched_queue_use(pool, note->queue_key);
	/* The job came back, and its note was not removed yet. */
	if (sched_pool_find_job(pool, id) != NULL)
		sched_pool_forget_transfer(pool, id);
	return 0;
}

/*
 * Removes the note on a job, also from the store.
 */
void
sched_pool_forget_transfer(sched_pool_t *pool, const char *id)
{
	note_t *note = g_hash_table_lookup(pool->transfers, id);

	if (note == NULL)
		return;
	sched_queue_unuse(pool, note->queue_key);
	g_queue_push_tail(pool->old_transfers, g_strdup(id));
	g_hash_table_remove(pool->transfers, id);
}

/*
 * Returns the id of a job whose note is to be removed from the store, or NULL.
 * The caller frees it.
 */
char *
sched_transfer_take_old(sched_pool_t *pool)
{
	return g_queue_pop_head(pool->old_transfers);
}

/*
 * Handles that another note on the job is about to be written.
 */
void
sched_transfer_keep_row(sched_pool_t *pool, const char *id)
{
	GList *link =
	    g_queue_find_custom(pool->old_transfers, id, (GCompareFunc)strcmp);

	if (link == NULL)
		return;
	g_free(link->data);
	g_queue_delete_link(pool->old_transfers, link);
}

/*
 * Handles that the store has refused a batch with a note or its removal.
 */
void
sched_transfer_undo_write(sched_pool_t *pool, const sched_write_t *write)
{
	if (write->value == NULL)
		g_queue_push_tail(pool->old_transfers, g_strdup(write->id));
}

/*
 * Returns whether the job is in another shard, and sets the response to a call
 * that is about it: the caller asks there, or again until it can.
 */
bool
sched_transfer_find(
    const sched_pool_t *pool, const char *id, sched_response_t *response)
{
	const note_t *note = g_hash_table_lookup(pool->transfers, id);

	if (note == NULL || sched_pool_find_job(pool, id) != NULL)
		return false;
	*response = (sched_response_t){
	    .outcome = GW__CALL_OUTCOME__CALL_REFUSED, .reason = "job-moving"};
	if (note->is_adopted) {
		response->moved_to = note->shard;
		response->retry_after_ms = RETRY_US / GW_US_PER_MS;
	}
	return true;
}

const char *
sched_transfer_place(const sched_pool_t *pool, const char *id)
{
	const note_t *note = g_hash_table_lookup(pool->transfers, id);

	return note == NULL ? NULL : note->shard;
}

/*
 * Removes a job that the store now has in another shard.
 */
void
sched_transfer_done(sched_pool_t *pool, sched_job_t *job)
{
	uint64_t now_us = gw_clock_now_us(pool->clock);
	note_t *note = add_note(pool, job->id, job->move_to, job->queue_key);

	note->due_us = now_us;
	pool->transfer_count++;
	gw_log(GW_EV_JOB_TRANSFERRED, "job=%s pool=%s to=%s age_ms=%" PRIu64,
	    job->id, pool->name, note->shard,
	    gw_elapsed_us(now_us, job->accepted_us) / GW_US_PER_MS);
	/* Ends of former runs, which no longer concern the job. */
	for (guint i = 0; i < job->acks->len; i++)
		sched_acknowledge(
		    pool, &g_array_index(job->acks, sched_ack_t, i));
	if (job->dirty)
		(void)g_queue_remove(pool->dirty, job);
	sched_part_forget_peers(pool, job);
	g_ptr_array_remove_fast(pool->open, job);
	g_hash_table_remove(pool->jobs, job->id);
}

bool
sched_pool_holds_job(const sched_pool_t *pool, const char *id)
{
	return sched_pool_find_job(pool, id) != NULL;
}

uint64_t
sched_pool_transfer_count(const sched_pool_t *pool)
{
	return pool->transfer_count;
}

/*
 * Takes over a job that another shard has transferred to this one, with its
 * records from the store. Replies once it has written to the store, which
 * proves that it still owns the pool. Returns -1 when the records are
 * malformed.
 */
int
sched_pool_adopt(sched_pool_t *pool, const char *id,
    const sched_job_rows_t *rows, sched_response_cb_t cb, void *arg)
{
	sched_job_t *job;

	if (sched_pool_find_job(pool, id) != NULL) {
		sched_pool_resubmit(pool, id, cb, arg);
		return 0;
	}
	if (sched_pool_holds_part(pool, id) ||
	    sched_pool_load_spec(pool, id, rows->spec, rows->spec_bytes) != 0)
		return -1;
	job = g_hash_table_lookup(pool->jobs, id);
	if (sched_pool_load_record(
		pool, id, rows->record, rows->record_bytes) != 0) {
		sched_part_forget_peers(pool, job);
		sched_queue_job_removed(pool, job);
		g_hash_table_remove(pool->jobs, id);
		return -1;
	}
	if (!sched_job_has_ended(job))
		g_ptr_array_add(pool->open, job);
	gw_log(GW_EV_JOB_ADOPTED, "job=%s pool=%s queue=%s", id, pool->name,
	    job->queue);
	sched_pool_forget_transfer(pool, id);
	sched_job_wait_for_record(pool, job, cb, arg);
	return 0;
}

static const char *
outcome_name(Gw__CallOutcome outcome)
{
	static const char *const names[] = {[GW__CALL_OUTCOME__CALL_OK] = "ok",
	    [GW__CALL_OUTCOME__CALL_ABSENT] = "absent",
	    [GW__CALL_OUTCOME__CALL_REFUSED] = "refused",
	    [GW__CALL_OUTCOME__CALL_UNKNOWN] = "unknown"};

	return (size_t)outcome < G_N_ELEMENTS(names) ? names[outcome] : "other";
}

static void
log_told(const sched_pool_t *pool, const note_t *note, Gw__CallOutcome outcome)
{
	gw_log(GW_EV_TRANSFER_TOLD,
	    "job=%s pool=%s to=%s outcome=%s failures=%u retry_ms=%" PRIu64,
	    note->id, pool->name, note->shard, outcome_name(outcome),
	    note->failures,
	    outcome == GW__CALL_OUTCOME__CALL_OK
		? 0
		: note->retry_us / GW_US_PER_MS);
}

/*
 * Notes that the other owner has the job.
 */
static void
call_succeeded(const sched_pool_t *pool, note_t *note)
{
	if (note->failures > 0)
		log_told(pool, note, GW__CALL_OUTCOME__CALL_OK);
	note->failures = 0;
	note->retry_us = RETRY_US;
}

/*
 * Schedules the next call after one that did not succeed. Failures in a row
 * with the same outcome are logged once.
 */
static void
call_failed(const sched_pool_t *pool, note_t *note, Gw__CallOutcome outcome,
    uint64_t now_us)
{
	bool is_change = note->failures == 0 || note->outcome != outcome;

	note->failures++;
	note->outcome = outcome;
	if (is_change)
		log_told(pool, note, outcome);
	note->due_us = now_us + note->retry_us;
	note->retry_us = MIN(2 * note->retry_us, RETRY_MAX_US);
}

/*
 * Handles the response of another shard's owner to sched_ops_t.tell_adopt().
 */
void
sched_pool_apply_adopt_result(
    sched_pool_t *pool, const char *id, Gw__CallOutcome outcome)
{
	note_t *note = g_hash_table_lookup(pool->transfers, id);
	uint64_t now_us = gw_clock_now_us(pool->clock);
	bool is_home = shard_of_id(id, pool->shard_count) == pool->shard_number;

	if (note == NULL)
		return;
	note->in_flight = false;
	if (outcome == GW__CALL_OUTCOME__CALL_OK)
		call_succeeded(pool, note);
	else
		call_failed(pool, note, outcome, now_us);
	if (outcome == GW__CALL_OUTCOME__CALL_OK && is_home) {
		note->is_adopted = true;
		note->due_us = now_us + RECHECK_US;
	} else if (outcome == GW__CALL_OUTCOME__CALL_ABSENT && is_home) {
		/* The job has been removed there, or is on its way back. */
		note->is_adopted = false;
		pool->ops->find_records(id, pool->arg);
	} else if (outcome <= GW__CALL_OUTCOME__CALL_ABSENT) {
		sched_pool_forget_transfer(pool, id);
	}
}

/*
 * Returns whether this shard's instances can run all open steps of the job, if
 * nothing else ran there.
 */
static bool
fits_here(const sched_pool_t *pool, const sched_job_t *job, const bool *is_open)
{
	sched_room_t *room = sched_room_new(job->spec);
	sched_instance_t *instance;
	GHashTableIter iter;
	bool fits;

	fits = sched_room_suffices(room, is_open);
	g_hash_table_iter_init(&iter, pool->instances);
	while (!fits &&
	    g_hash_table_iter_next(&iter, NULL, (gpointer *)&instance)) {
		if (instance->listed)
			sched_room_add(room, &instance->info);
		fits = sched_room_suffices(room, is_open);
	}
	sched_room_free(room);
	return fits;
}

/*
 * Returns how long a job must have fitted nowhere here: until a machine that
 * the planner can still lend would have joined the pool.
 */
static uint64_t
misfit_min_us(const sched_pool_t *pool)
{
	if (pool->incoming_machines + pool->standby == 0)
		return MISFIT_MIN_US;
	return MISFIT_MIN_US +
	    (pool->bounds.move_ms + SCHED_REGISTER_MARGIN_MS) * GW_US_PER_MS;
}

/*
 * Decides whether the job is transferred. Long-running tasks are not spread
 * over shards: unless a machine may come, their job is transferred before its
 * first ones are placed.
 */
static void
check_job(sched_pool_t *pool, sched_job_t *job, uint64_t now_us)
{
	bool waits_for_machine = pool->incoming_machines + pool->standby > 0;
	bool is_open[SCHED_STEPS_MAX];
	const sched_seeker_t seeker = {
	    .id = job->id, .spec = job->spec, .is_open = is_open};

	job->fit_check_us = now_us + CHECK_INTERVAL_US;
	sched_job_find_open_steps(job, is_open);
	if (fits_here(pool, job, is_open)) {
		job->misfit_since_us = 0;
		return;
	}
	if (job->misfit_since_us == 0)
		job->misfit_since_us = now_us;
	if (gw_elapsed_us(now_us, job->misfit_since_us) < misfit_min_us(pool) &&
	    (!job->long_running || waits_for_machine))
		return;
	if (pool->ops->find_shard(&seeker, job->move_to, pool->arg))
		sched_job_mark_dirty(pool, job);
}

/*
 * Tells the owners of other shards of the jobs that the store has there. The
 * response may come at once.
 */
static void
tell_owners(sched_pool_t *pool, uint64_t now_us)
{
	g_autoptr(GPtrArray) due = g_ptr_array_new();
	GHashTableIter iter;
	note_t *note;

	g_hash_table_iter_init(&iter, pool->transfers);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&note))
		if (!note->in_flight && now_us >= note->due_us)
			g_ptr_array_add(due, note);
	for (guint i = 0; i < due->len; i++) {
		note = due->pdata[i];
		note->in_flight = true;
		pool->ops->tell_adopt(note->shard, note->id, pool->arg);
	}
}

/*
 * Starts the transfers that are needed, and follows those that are in the
 * store.
 */
void
sched_transfer_tick(sched_pool_t *pool, uint64_t now_us)
{
	tell_owners(pool, now_us);
	if (pool->shard_count <= 1)
		return;
	for (guint i = 0; i < pool->open->len; i++) {
		sched_job_t *job = pool->open->pdata[i];

		if (job->placed == 0 && !sched_job_is_split(job) &&
		    now_us >= job->late_until_us && job->move_to[0] == '\0' &&
		    job->aside_until_us == 0 && !job->in_batch &&
		    now_us >= job->fit_check_us &&
		    (job->long_running || job->blocked_since_us != 0))
			check_job(pool, job, now_us);
	}
}
