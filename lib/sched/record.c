#include <string.h>

#include "gw/log.h"
#include "sched/impl.h"

/* A record that is being encoded, and the instances in it. */
typedef struct {
	GPtrArray *hosts;  /* Gw__HostRecord */
	GHashTable *index; /* instance -> index in hosts + 1 */
	bool with_checkpoints;
	bool handed_only; /* all other tasks that are not done are away */
	const char *part_of;
} encoding_t;

static uint32_t
host_index(encoding_t *encoding, sched_instance_t *instance)
{
	gpointer found = g_hash_table_lookup(encoding->index, instance);
	Gw__HostRecord *host;

	if (found != NULL)
		return GPOINTER_TO_UINT(found);
	host = g_new(Gw__HostRecord, 1);
	gw__host_record__init(host);
	host->instance = instance->info.id;
	host->born_ms = instance->info.born_ms;
	g_ptr_array_add(encoding->hosts, host);
	g_hash_table_insert(
	    encoding->index, instance, GUINT_TO_POINTER(encoding->hosts->len));
	return encoding->hosts->len;
}

static void
encode_task(
    Gw__TaskRecord *record, const sched_task_t *task, encoding_t *encoding)
{
	gw__task_record__init(record);
	record->run = task->run;
	record->failures = task->failures;
	record->crashes = task->crashes;
	record->crashes_alone = task->crashes_alone;
	record->crashes_adopted = task->crashes_adopted;
	if (encoding->handed_only ? !task->is_handed
				  : task->state == SCHED_TASK_AWAY)
		record->away = task->state != SCHED_TASK_DONE;
	if (task->state == SCHED_TASK_DONE || record->away) {
		record->state = GW__TASK_STATE__TASK_DONE;
		return;
	}
	if (encoding->with_checkpoints && task->checkpoint != NULL)
		record->checkpoint = task->checkpoint;
	if (task->instance == NULL)
		return;
	record->state = GW__TASK_STATE__TASK_PLACED;
	record->host = host_index(encoding, task->instance);
}

static Gw__OccurrenceRecord *
encode_occurrence(const sched_occurrence_t *occurrence, encoding_t *encoding)
{
	Gw__OccurrenceRecord *record = g_new(Gw__OccurrenceRecord, 1);
	Gw__TaskRecord *tasks = g_new(Gw__TaskRecord, occurrence->task_count);

	gw__occurrence_record__init(record);
	record->number = occurrence->number;
	record->n_tasks = occurrence->task_count;
	record->tasks = g_new(Gw__TaskRecord *, occurrence->task_count);
	for (uint32_t i = 0; i < occurrence->task_count; i++) {
		record->tasks[i] = &tasks[i];
		encode_task(&tasks[i], &occurrence->tasks[i], encoding);
	}
	return record;
}

static void
occurrence_record_free(gpointer data)
{
	Gw__OccurrenceRecord *record = data;

	if (record->n_tasks > 0)
		g_free(record->tasks[0]);
	g_free(record->tasks);
	g_free(record);
}

/*
 * Sets what the record says of other shards. The names belong to the job.
 */
static void
encode_shards(
    Gw__JobRecord *record, const sched_job_t *job, const encoding_t *encoding)
{
	record->part_of = (char *)encoding->part_of;
	if (encoding->handed_only)
		return;
	if (job->peers == NULL || sched_job_is_part(job))
		return;
	record->parts = g_new(char *, job->peers->len);
	for (guint i = 0; i < job->peers->len; i++)
		record->parts[record->n_parts++] =
		    ((sched_peer_t *)job->peers->pdata[i])->shard;
}

static GBytes *
encode(const sched_job_t *job, encoding_t encoding)
{
	g_autoptr(GPtrArray) occurrences =
	    g_ptr_array_new_with_free_func(occurrence_record_free);
	Gw__JobRecord record = GW__JOB_RECORD__INIT;
	uint8_t *data;
	size_t size_bytes;

	encoding.hosts = g_ptr_array_new_with_free_func(g_free);
	encoding.index = g_hash_table_new(NULL, NULL);

	record.state = job->state;
	record.queue = job->queue;
	record.queue_key = (char *)job->queue_key;
	record.finished_wall_ms = job->finished_wall_ms;
	record.cancelled_first = job->cancelled_first;
	encode_shards(&record, job, &encoding);
	if (job->team != NULL)
		record.team = job->team->config.name;
	record.first_open = job->next_occurrence;
	for (guint i = 0;
	     !sched_job_has_ended(job) && i < job->occurrences->len; i++)
		g_ptr_array_add(occurrences,
		    encode_occurrence(job->occurrences->pdata[i], &encoding));
	record.n_occurrences = occurrences->len;
	record.occurrences = (Gw__OccurrenceRecord **)occurrences->pdata;
	record.n_hosts = encoding.hosts->len;
	record.hosts = (Gw__HostRecord **)encoding.hosts->pdata;
	size_bytes = gw__job_record__get_packed_size(&record);
	data = g_malloc(size_bytes);
	gw__job_record__pack(&record, data);
	g_free(record.parts);
	g_ptr_array_free(encoding.hosts, TRUE);
	g_hash_table_destroy(encoding.index);
	return g_bytes_new_take(data, size_bytes);
}

/*
 * Leaves out checkpoints, whose length instances choose, if the record would
 * exceed max_bytes with them: a later owner starts those tasks from scratch.
 */
static GBytes *
encode_bounded(const sched_job_t *job, encoding_t encoding, uint64_t max_bytes)
{
	GBytes *value;

	encoding.with_checkpoints = true;
	value = encode(job, encoding);
	if (g_bytes_get_size(value) <= max_bytes)
		return value;
	gw_log(GW_EV_RECORD_SHORTENED, "job=%s bytes=%zu max_bytes=%" PRIu64,
	    job->id, g_bytes_get_size(value), max_bytes);
	g_bytes_unref(value);
	encoding.with_checkpoints = false;
	return encode(job, encoding);
}

/*
 * Returns the job's progress in the encoding of the store. The tasks of an
 * ended job are left out: a later owner stops any runs of it that instances
 * report.
 */
GBytes *
sched_record_encode(const sched_job_t *job, uint64_t max_bytes)
{
	return encode_bounded(
	    job, (encoding_t){.part_of = job->part_of}, max_bytes);
}

/*
 * Returns the record of the tasks that are being handed over, for the shard
 * that gets them. It has a part of the job that part_of has; empty: the job.
 */
GBytes *
sched_record_encode_handed(
    const sched_job_t *job, const char *part_of, uint64_t max_bytes)
{
	return encode_bounded(job,
	    (encoding_t){.handed_only = true, .part_of = part_of}, max_bytes);
}

/*
 * Marks a task whose run is recorded on an incarnation that has ended. The next
 * one may have carried out the start late, so the run is stopped there before
 * the task runs elsewhere.
 */
static void
mark_incarnation_ended(sched_task_t *task)
{
	sched_crash_count(task, task->instance->info.id, false);
	task->state = SCHED_TASK_STOPPING;
	sched_instance_expect_late_start(
	    task->instance, gw_clock_now_us(task->instance->pool->clock));
}

/*
 * Places a task as recorded. Its start may never have been sent, or the run may
 * have ended; the instance's next report shows which. Records that were written
 * at different times may name different incarnations.
 */
static void
adopt_placed(sched_pool_t *pool, sched_task_t *task, const Gw__HostRecord *host)
{
	sched_instance_t *instance;

	instance = sched_instance_get(pool, host->instance);
	if (instance->info.born_ms < host->born_ms) {
		for (guint i = 0; i < instance->tasks->len; i++)
			mark_incarnation_ended(instance->tasks->pdata[i]);
		instance->info.born_ms = host->born_ms;
	}
	task->state = SCHED_TASK_RUNNING;
	sched_instance_assign(instance, task);
	sched_task_step_state(task)->waiting--;
	task->job->started = true;
	if (instance->info.born_ms > host->born_ms)
		mark_incarnation_ended(task);
}

static int
apply_task(sched_pool_t *pool, sched_occurrence_t *occurrence,
    sched_task_t *task, const Gw__JobRecord *record, const Gw__TaskRecord *from)
{
	sched_step_t *step = &occurrence->steps[task->step];

	task->run = task->recorded_run = from->run;
	task->failures = from->failures;
	task->crashes = from->crashes;
	task->crashes_alone = from->crashes_alone;
	task->crashes_adopted = from->crashes_adopted;
	task->job->has_suspect |= sched_crash_is_suspect(task);
	task->job->started |= from->run > 0;
	if (from->checkpoint[0] != '\0')
		task->checkpoint = g_strdup(from->checkpoint);
	/* Of a step that lasts, none is done: another owner left out 'away'. */
	if (from->away ||
	    (from->state == GW__TASK_STATE__TASK_DONE &&
		sched_task_step_spec(task)->lasting)) {
		task->state = SCHED_TASK_AWAY;
		step->waiting--;
	} else if (from->state == GW__TASK_STATE__TASK_DONE) {
		task->state = SCHED_TASK_DONE;
		step->waiting--;
		step->open--;
		occurrence->open--;
	} else if (from->state == GW__TASK_STATE__TASK_PLACED) {
		if (from->host == 0 || from->host > record->n_hosts ||
		    strlen(record->hosts[from->host - 1]->instance) >=
			SCHED_NAME_BYTES)
			return -1;
		adopt_placed(pool, task, record->hosts[from->host - 1]);
	}
	return 0;
}

/*
 * Sets the job's progress from its record; the specification must be set.
 * Returns -1 when the record does not match the specification.
 */
int
sched_record_apply(
    sched_pool_t *pool, sched_job_t *job, const Gw__JobRecord *record)
{
	job->next_occurrence = record->first_open;
	for (size_t i = 0; i < record->n_occurrences; i++) {
		const Gw__OccurrenceRecord *from = record->occurrences[i];
		sched_occurrence_t *occurrence =
		    sched_occurrence_new(job, from->number);

		g_ptr_array_add(job->occurrences, occurrence);
		if (from->n_tasks != occurrence->task_count)
			return -1;
		for (uint32_t k = 0; k < occurrence->task_count; k++)
			if (apply_task(pool, occurrence, &occurrence->tasks[k],
				record, from->tasks[k]) != 0)
				return -1;
	}
	return 0;
}
