/*
 * Runs a script of events against sched_pool_t, a pool's scheduler, on a paused
 * clock. Prints its starts, stops, renewals, writes and responses with the time
 * in milliseconds. The script has one command a line; see commands[].
 */
#include <err.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake_instances.h"
#include "gw/log.h"
#include "sched/config.h"
#include "sched/describe.h"
#include "sched/order.h"
#include "sched/quota.h"
#include "sched/sched.h"

#define WORDS_MAX 40
#define START_US UINT64_C(1000000000)
#define TWO_IN_WINDOW_BYTES 16384
#define WALL_START_MS UINT64_C(1800000000000)

static gw_clock_t clock_state;
static sched_pool_t *pool;
static uint64_t lease_us = UINT64_MAX / 2; /* end of the owner's lease */
static uint64_t batches_written;	   /* by this owner */
static GHashTable *store;	 /* "spec/ID", "record/ID"... -> GBytes */
static uint64_t lapsing_seen_us; /* when lapsing/ was written */
static sched_batch_t *batch;
static sched_handover_t *handover; /* see do_keep_ends() */
static sched_window_t *window;
static uint32_t request_bytes;	     /* counted in the window for each start */
static fake_instances_t *fake;	     /* respond by themselves; NULL: none */
static const char *other_shard = ""; /* can run what this one cannot */
static uint32_t shard_number, shard_count;
static char shard_name[SCHED_NAME_BYTES] = "p"; /* of the pool */
static const char *watched = ""; /* prefix of the jobs that are printed */
static char *words[WORDS_MAX];
static int word_count;
static sched_bounds_t bounds = {.hold_max_ms = 6000,
    .stop_grace_ms = 900,
    .gang_timeout_ms = 3000,
    .status_s = 120,
    .finish_ms = 14000,
    .remote_permille = 3000,
    .early_ms = 250,
    .restore_ms = 600,
    .notice_ms = 4500,
    .harm_ms = 4000,
    .pace_ms = 100,
    .move_ms = 1500,
    .renew_grace_ms = 2000,
    .previous_renew_max_ms = 4000};

static uint64_t
now_ms(void)
{
	return (gw_clock_now_us(&clock_state) - START_US) / GW_US_PER_MS;
}

static const char *
lookup_value(const char *key, const char *default_value)
{
	size_t key_bytes = strlen(key);

	for (int i = 1; i < word_count; i++)
		if (strncmp(words[i], key, key_bytes) == 0 &&
		    words[i][key_bytes] == '=')
			return words[i] + key_bytes + 1;
	return default_value;
}

static uint64_t
lookup_number(const char *key, uint64_t default_value)
{
	const char *text = lookup_value(key, NULL);

	return text == NULL ? default_value : strtoull(text, NULL, 10);
}

static bool
has_word(const char *flag)
{
	for (int i = 1; i < word_count; i++)
		if (strcmp(words[i], flag) == 0)
			return true;
	return false;
}

static sched_task_ref_t
parse_ref(const char *text)
{
	sched_task_ref_t ref = {0};

	if (sscanf(text, "%16[^.].%u.%u.%u", ref.job, &ref.occurrence,
		&ref.step, &ref.index) != 4)
		errx(1, "'%s' is not a task", text);
	return ref;
}

static void
print_ref(const sched_task_ref_t *ref)
{
	printf(
	    " %s.%u.%u.%u", ref->job, ref->occurrence, ref->step, ref->index);
}

/* Ends the line of a request, with its fence if it is not that of the role. */
static void
end_line(uint64_t fence)
{
	if (fence == 0)
		printf("\n");
	else
		printf(" fence=%" PRIu64 "\n", fence);
}

static void
on_start(const sched_start_t *start, void *arg)
{
	(void)arg;
	if (window != NULL)
		sched_window_add(window, request_bytes);
	if (fake != NULL)
		fake_instances_start(fake, start);
	if (!g_str_has_prefix(start->ref.job, watched))
		return;
	printf("%6" PRIu64 " start %s", now_ms(), start->instance);
	print_ref(&start->ref);
	printf(" run=%u deadline=%" PRIu64 "%s%s%s%s", start->run,
	    start->deadline_ms,
	    start->checkpoint[0] == '\0' ? "" : " from=", start->checkpoint,
	    start->ticket == NULL ? "" : " ticket=",
	    start->ticket == NULL ? "" : start->ticket);
	end_line(start->fence);
}

static void
on_stop(const char *instance, const char *address, const sched_task_ref_t *ref,
    uint32_t run, uint64_t fence, void *arg)
{
	(void)address;
	(void)arg;
	if (window != NULL)
		sched_window_add(window, request_bytes);
	if (fake != NULL)
		fake_instances_stop(fake, instance, ref, run);
	if (!g_str_has_prefix(ref->job, watched))
		return;
	printf("%6" PRIu64 " stop %s", now_ms(), instance);
	print_ref(ref);
	printf(" run=%u", run);
	end_line(fence);
}

static void
on_renew(const sched_renewal_t *renewal, void *arg)
{
	(void)arg;
	if (fake != NULL) {
		fake_instances_renew(fake, renewal);
		return;
	}
	printf("%6" PRIu64 " renew %s deadline=%" PRIu64 " ack=%" PRIu64
	       " wait=%u",
	    now_ms(), renewal->instance, renewal->deadline_ms,
	    renewal->ack_number, renewal->wait_ms);
	end_line(renewal->fence);
}

static void
on_advise(const sched_task_ref_t *ref, const GPtrArray *instances, void *arg)
{
	(void)arg;
	printf("%6" PRIu64 " advise", now_ms());
	print_ref(ref);
	printf(" instances=%u\n", instances->len);
}

static uint64_t
lease_until_us(void *arg)
{
	(void)arg;
	return lease_us;
}

static uint64_t
written_revision(void *arg)
{
	(void)arg;
	return batches_written;
}

static void
on_fenced(const char *instance, void *arg)
{
	(void)arg;
	printf("%6" PRIu64 " fenced %s\n", now_ms(), instance);
}

static void
on_instance_removed(const char *instance, void *arg)
{
	(void)arg;
	printf("%6" PRIu64 " removed %s\n", now_ms(), instance);
}

static bool
on_find_shard(
    const sched_seeker_t *misfit, char shard[SCHED_NAME_BYTES], void *arg)
{
	(void)misfit;
	(void)arg;
	g_strlcpy(shard, other_shard, SCHED_NAME_BYTES);
	return other_shard[0] != '\0';
}

static void
on_ask_room(const sched_seeker_t *job, const char *shard, void *arg)
{
	(void)arg;
	printf("%6" PRIu64 " ask %s for room for %s", now_ms(), shard, job->id);
	if (job->is_part)
		printf(" %u of step %u", job->spec->steps[0]->count, job->step);
	printf("\n");
}

static void
on_tell_adopt(const char *shard, const char *id, void *arg)
{
	(void)arg;
	printf("%6" PRIu64 " tell %s of %s\n", now_ms(), shard, id);
}

static void
on_find_records(const char *id, void *arg)
{
	(void)arg;
	printf("%6" PRIu64 " find %s\n", now_ms(), id);
}

/* Prints the steps (sched_part_step_t) of a part, or what it may stop. */
static void
print_part_steps(const GArray *steps)
{
	for (guint i = 0; i < steps->len; i++) {
		const sched_part_step_t *step =
		    &g_array_index(steps, sched_part_step_t, i);

		printf(" %u.%u:%u:%u:%u", step->occurrence, step->step,
		    step->tasks, step->unavailable, step->leaving);
	}
	printf("\n");
}

static void
on_tell_part(const sched_part_call_t *call, void *arg)
{
	(void)arg;
	if (call->is_part) {
		printf("%6" PRIu64 " ask %s for the state of %s", now_ms(),
		    call->shard, call->id);
		print_part_steps(call->steps);
	} else {
		printf("%6" PRIu64 " tell %s of %s of %s\n", now_ms(),
		    call->shard, call->is_ended ? "the end" : "tasks",
		    call->id);
	}
}

static const sched_ops_t ops = {.start = on_start,
    .stop = on_stop,
    .renew = on_renew,
    .advise = on_advise,
    .lease_until_us = lease_until_us,
    .written_revision = written_revision,
    .fenced = on_fenced,
    .instance_removed = on_instance_removed,
    .find_shard = on_find_shard,
    .ask_room = on_ask_room,
    .tell_adopt = on_tell_adopt,
    .find_records = on_find_records,
    .tell_part = on_tell_part};

static void
on_response(const sched_response_t *response, void *arg)
{
	static const char *const names[] = {
	    "ok", "absent", "refused", "unknown"};

	if (g_str_has_prefix(arg, watched))
		printf("%6" PRIu64 " reply %s %s%s%s\n", now_ms(), (char *)arg,
		    names[response->outcome],
		    response->moved_to == NULL ? "" : " moved to ",
		    response->moved_to == NULL ? "" : response->moved_to);
	g_free(arg);
}

/* pool [value=BYTES]: a new owner without records; the store's largest value */
static void
do_pool(void)
{
	bounds.value_max_bytes = (uint32_t)lookup_number("value", 1048576);
	if (pool != NULL)
		sched_pool_free(pool);
	pool = sched_pool_new(
	    shard_name, "dc-a", &clock_state, &bounds, &ops, NULL);
	sched_pool_set_shard(pool, shard_number, shard_count);
	sched_pool_finish_load(pool);
}

static sched_result_t
parse_result(const char *text)
{
	static const char *const names[] = {"ok", "fence", "old", "late",
	    "room", "ticket", "refused", "replaced", "none", "not-sent"};

	for (int i = 0; i < (int)G_N_ELEMENTS(names); i++)
		if (strcmp(names[i], text) == 0)
			return (sched_result_t)i;
	errx(1, "'%s' is not a result", text);
}

/* window [BYTES]: bounds the starts in flight; by default to two at first */
static void
do_window(void)
{
	request_bytes =
	    word_count > 1 ? (uint32_t)atoi(words[1]) : TWO_IN_WINDOW_BYTES;
	window = sched_window_new(&sched_window_delay);
	sched_pool_set_window(pool, window);
}

/* Counts a start or stop as answered, unless it had no response. */
static void
leave_window(sched_result_t result)
{
	uint64_t now_us = gw_clock_now_us(&clock_state);

	if (window != NULL)
		sched_window_remove(window, request_bytes,
		    now_us - GW_US_PER_MS, now_us,
		    result != SCHED_RESULT_NO_RESPONSE &&
			result != SCHED_RESULT_NOT_SENT);
}

static void
load(const char *prefix,
    int (*load_one)(sched_pool_t *, const char *, const void *, size_t))
{
	GList *keys = g_hash_table_get_keys(store);

	keys = g_list_sort(keys, (GCompareFunc)strcmp);
	for (GList *link = keys; link != NULL; link = link->next) {
		const char *key = link->data;
		gsize size_bytes;
		const void *data;

		if (!g_str_has_prefix(key, prefix))
			continue;
		data = g_bytes_get_data(
		    g_hash_table_lookup(store, key), &size_bytes);
		if (load_one(pool, key + strlen(prefix), data, size_bytes) != 0)
			printf("%6" PRIu64 " bad record %s\n", now_ms(), key);
	}
	g_list_free(keys);
}

static int
load_queue(sched_pool_t *to, const char *key, const void *data, size_t size)
{
	(void)data;
	(void)size;
	sched_pool_load_queue(to, key);
	return 0;
}

/* Adds an instance with what the command says, or changes it. */
static void
set_instance(const char *id)
{
	g_auto(GStrv) labels =
	    g_strsplit(lookup_value("labels", "a,r1-1"), ",", -1);
	sched_instance_info_t info = {.born_ms = lookup_number("born", 1),
	    .leaving = lookup_value("leaving", NULL) != NULL,
	    .leaves_in_ms = (uint32_t)lookup_number("leaving", 0),
	    .capacity = {lookup_number("cpu", 4000),
		lookup_number("mem", 65536), 0},
	    .labels = labels};

	g_strlcpy(info.id, id, sizeof(info.id));
	g_strlcpy(info.pool, "p", sizeof(info.pool));
	g_strlcpy(info.address, lookup_value("address", "10.0.0.1:80"),
	    sizeof(info.address));
	g_strlcpy(info.data_centre, lookup_value("dc", "dc-a"),
	    sizeof(info.data_centre));
	g_strlcpy(
	    info.machine, lookup_value("machine", ""), sizeof(info.machine));
	if (fake != NULL)
		fake_instances_begin(fake, info.id, info.born_ms);
	sched_pool_set_instance(pool, &info);
	sched_pool_end_superseded(pool, &info);
}

static int
load_transfer(sched_pool_t *to, const char *id, const void *data, size_t size)
{
	g_autofree char *value = g_strndup(data, size);

	return sched_pool_load_transfer(to, id, value);
}

static int
load_lapsing(
    sched_pool_t *to, const char *key, const void *data, size_t size_bytes)
{
	(void)key;
	return sched_pool_load_lapsing(
	    to, data, size_bytes, lapsing_seen_us, !has_word("old-version"));
}

/* keep-ends: the owner notes the ends that the store may not show. */
static void
do_keep_ends(void)
{
	if (handover != NULL)
		sched_handover_free(handover);
	handover = sched_handover_new(pool);
}

/* tell-ends: an earlier owner tells this one of the ends that it noted. */
static void
do_tell_ends(void)
{
	sched_pool_runs_ended(pool, (Gw__EndedRun **)handover->ended->pdata,
	    handover->ended->len);
}

/*
 * takeover [vacant=MS] [lease-ended] [certain] [previous-gone]
 * [left ms=MS [late=MS]] [told] [unloaded] [old-version] [registered born=]: a
 * new owner reads the store. The pool was seen without an owner for MS, and the
 * lease of the last one was seen to end. The previous one has released the
 * pool, without leases or with one on i1 that has MS left, and starts that may
 * be carried out late for MS. told: as tell-ends, before the store is read. The
 * store is not read if unloaded. old-version: an owner that does not know the
 * list of lapsing leases may have written last. registered: the registry has i1
 * before the store is read.
 */
static void
do_takeover(void)
{
	uint64_t vacant_ms = lookup_number("vacant", 0);
	sched_vacancy_t vacancy = {.lease_ended = has_word("lease-ended"),
	    .last_owner_certain = has_word("certain")};

	if (batch != NULL)
		sched_batch_drop(batch);
	batch = NULL;
	batches_written = 0;
	sched_pool_free(pool);
	pool = sched_pool_new(
	    shard_name, "dc-a", &clock_state, &bounds, &ops, NULL);
	sched_pool_set_shard(pool, shard_number, shard_count);
	if (vacant_ms != 0)
		vacancy.vacant_since_us =
		    gw_clock_now_us(&clock_state) - vacant_ms * GW_US_PER_MS;
	sched_pool_set_vacancy(pool, &vacancy);
	if (has_word("registered"))
		set_instance("i1");
	if (has_word("told"))
		do_tell_ends();
	if (has_word("unloaded"))
		return;
	load("spec/", sched_pool_load_spec);
	load("record/", sched_pool_load_record);
	load("handed/", sched_pool_receive);
	load("transfer/", load_transfer);
	load("queue/", load_queue);
	load("lapsing/", load_lapsing);
	sched_pool_finish_load(pool);
	if (has_word("previous-gone"))
		sched_pool_previous_owner_gone(pool, NULL, 0);
	if (has_word("left")) {
		Gw__LeaseLeft lease = GW__LEASE_LEFT__INIT, *list = &lease;

		lease.instance = "i1";
		lease.left_ms = (uint32_t)lookup_number("ms", 0);
		lease.late_left_ms = (uint32_t)lookup_number("late", 0);
		sched_pool_previous_owner_gone(pool, &list, 1);
	}
}

/*
 * instance ID [machine=] [born=] [address=] [cpu=] [mem=] [labels=]
 * [leaving=MS]
 */
static void
do_instance(void)
{
	set_instance(words[1]);
}

/*
 * shard NUMBER COUNT [other=SHARD]: the pool is this one of COUNT shards, and
 * SHARD can run its jobs
 */
static void
do_shard(void)
{
	shard_number = (uint32_t)atoi(words[1]);
	shard_count = (uint32_t)atoi(words[2]);
	other_shard = g_intern_string(lookup_value("other", ""));
	sched_pool_set_shard(pool, shard_number, shard_count);
}

/*
 * adopt ID from=SHARD: the pool takes over the job whose records SHARD has;
 * here these are the records that it has transferred to SHARD itself
 */
static void
do_adopt(void)
{
	const char *from = lookup_value("from", "");
	g_autofree char *spec_key =
	    g_strdup_printf("%s:spec/%s", from, words[1]);
	g_autofree char *key = g_strdup_printf("%s:record/%s", from, words[1]);
	GBytes *spec = g_hash_table_lookup(store, spec_key);
	GBytes *record = g_hash_table_lookup(store, key);
	sched_job_rows_t rows;

	if (spec == NULL || record == NULL)
		errx(1, "%s has no job '%s'", from, words[1]);
	rows.spec = g_bytes_get_data(spec, &rows.spec_bytes);
	rows.record = g_bytes_get_data(record, &rows.record_bytes);
	if (sched_pool_adopt(
		pool, words[1], &rows, on_response, g_strdup(words[1])) != 0)
		printf("%6" PRIu64 " bad records of %s\n", now_ms(), words[1]);
}

/*
 * Renames the rows of the shard that is left, and those of the one that the
 * script goes on with.
 */
static void
rename_rows(const char *to)
{
	g_autofree char *old_prefix = g_strdup_printf("%s:", shard_name);
	g_autofree char *new_prefix = g_strdup_printf("%s:", to);
	GList *keys = g_hash_table_get_keys(store);

	for (GList *link = keys; link != NULL; link = link->next) {
		const char *key = link->data;
		GBytes *value = g_bytes_ref(g_hash_table_lookup(store, key));
		char *renamed = NULL;

		if (g_str_has_prefix(key, new_prefix))
			renamed = g_strdup(key + strlen(new_prefix));
		else if (strchr(key, ':') == NULL)
			renamed = g_strconcat(old_prefix, key, NULL);
		if (renamed == NULL) {
			g_bytes_unref(value);
			continue;
		}
		g_hash_table_remove(store, key);
		g_hash_table_replace(store, renamed, value);
	}
	g_list_free(keys);
	g_strlcpy(shard_name, to, sizeof(shard_name));
}

/*
 * owner SHARD NUMBER [as for takeover]: the script goes on with a new owner of
 * another shard, which knows what the store has
 */
static void
do_owner(void)
{
	rename_rows(words[1]);
	shard_number = (uint32_t)atoi(words[2]);
	do_takeover();
}

/* Writes a record as an owner that knows no parts would. */
static GBytes *
encode_older(GBytes *value)
{
	gsize size_bytes;
	const void *data = g_bytes_get_data(value, &size_bytes);
	Gw__JobRecord *record = gw__job_record__unpack(NULL, size_bytes, data);
	char *part_of = record->part_of;
	size_t parts = record->n_parts;
	uint8_t *older;

	record->part_of = (char *)"";
	record->n_parts = 0;
	for (size_t i = 0; i < record->n_occurrences; i++)
		for (size_t k = 0; k < record->occurrences[i]->n_tasks; k++)
			record->occurrences[i]->tasks[k]->away = false;
	older = g_malloc(gw__job_record__get_packed_size(record));
	size_bytes = gw__job_record__pack(record, older);
	record->part_of = part_of;
	record->n_parts = parts;
	gw__job_record__free_unpacked(record, NULL);
	return g_bytes_new_take(older, size_bytes);
}

/* older: an owner that knows no parts writes all records of this shard */
static void
do_older(void)
{
	GList *keys = g_hash_table_get_keys(store);

	for (GList *link = keys; link != NULL; link = link->next) {
		const char *key = link->data;

		if (g_str_has_prefix(key, "record/"))
			g_hash_table_replace(store, g_strdup(key),
			    encode_older(g_hash_table_lookup(store, key)));
	}
	g_list_free(keys);
}

/* Receives the rows that the store has of the job. */
static void
receive_rows(const char *id)
{
	g_autofree char *prefix = g_strdup_printf("handed/%s.", id);
	GList *keys = g_hash_table_get_keys(store);

	keys = g_list_sort(keys, (GCompareFunc)strcmp);
	for (GList *link = keys; link != NULL; link = link->next) {
		const char *key = link->data;
		gsize size_bytes;
		const void *data;

		if (!g_str_has_prefix(key, prefix))
			continue;
		data = g_bytes_get_data(
		    g_hash_table_lookup(store, key), &size_bytes);
		if (sched_pool_receive(
			pool, key + strlen("handed/"), data, size_bytes) != 0)
			printf("%6" PRIu64 " bad row %s\n", now_ms(), key);
	}
	g_list_free(keys);
}

/* told ID [ended]: the owner of the job tells of it, once its rows are read */
static void
do_told(void)
{
	receive_rows(words[1]);
	sched_pool_part_told(
	    pool, words[1], has_word("ended"), on_response, g_strdup(words[1]));
}

/* Reads OCCURRENCE.STEP:TASKS:UNAVAILABLE:LEAVING of the words. */
static GArray *
parse_part_steps(void)
{
	GArray *steps = g_array_new(FALSE, FALSE, sizeof(sched_part_step_t));

	for (int i = 1; i < word_count; i++) {
		sched_part_step_t step;

		if (sscanf(words[i], "%u.%u:%u:%u:%u", &step.occurrence,
			&step.step, &step.tasks, &step.unavailable,
			&step.leaving) == 5)
			g_array_append_val(steps, step);
	}
	return steps;
}

/*
 * asked ID [from=SHARD] [STEP...]: the owner of a part asks whether the job is
 * open
 */
static void
do_asked(void)
{
	g_autoptr(GArray) steps = parse_part_steps();
	g_autoptr(GArray) may_stop =
	    g_array_new(FALSE, FALSE, sizeof(sched_part_step_t));

	receive_rows(words[1]);
	sched_pool_part_asks(pool, words[1], lookup_value("from", "p~0"), steps,
	    may_stop, on_response, g_strdup(words[1]));
	if (may_stop->len > 0) {
		printf("%6" PRIu64 " may stop", now_ms());
		print_part_steps(may_stop);
	}
}

/*
 * answered ID SHARD ok|absent|refused [STEP...]: the response to a call about a
 * part
 */
static void
do_answered(void)
{
	static const char *const names[] = {"ok", "absent", "refused"};
	g_autoptr(GArray) may_stop = parse_part_steps();

	for (int i = 0; i < (int)G_N_ELEMENTS(names); i++)
		if (strcmp(names[i], words[3]) == 0)
			sched_pool_apply_part_result(pool, words[1], words[2],
			    (Gw__CallOutcome)i, may_stop);
}

/* adopted ID ok|absent|refused: what the other owner says; forget ID */
static void
do_adopted(void)
{
	static const char *const names[] = {"ok", "absent", "refused"};

	for (int i = 0; i < (int)G_N_ELEMENTS(names); i++)
		if (strcmp(names[i], words[2]) == 0)
			sched_pool_apply_adopt_result(
			    pool, words[1], (Gw__CallOutcome)i);
}

static void
do_forget(void)
{
	sched_pool_forget_transfer(pool, words[1]);
}

/* gone ID: the registry entry is removed. */
static void
do_gone(void)
{
	if (fake != NULL)
		fake_instances_end(fake, words[1]);
	sched_pool_remove_instance(pool, words[1]);
}

/* ended ID: the machine was stopped. */
static void
do_ended(void)
{
	sched_pool_end_instance(pool, words[1], "machine-stopped");
}

/*
 * offer ID [part] STEP...: another shard's owner asks for room for the job, of
 * which all steps are open, or for any number of the tasks of one step
 */
static void
print_offer(const Gw__JobSpec *spec)
{
	bool is_open[SCHED_STEPS_MAX];
	const sched_seeker_t job = {.id = spec->id,
	    .spec = spec,
	    .is_open = is_open,
	    .is_part = has_word("part")};
	uint32_t tasks;

	memset(is_open, true, sizeof(is_open));
	tasks = sched_pool_offer_room(pool, &job);
	printf("%6" PRIu64 " offer %s %s", now_ms(), spec->id,
	    tasks > 0 ? "room" : "none");
	if (job.is_part)
		printf(" for %u", tasks);
	printf("\n");
}

/* room ID SHARD yes|no|TASKS: the answer to a question for room */
static void
do_room(void)
{
	sched_pool_apply_room_answer(pool, words[1], words[2],
	    strcmp(words[3], "yes") == 0 ? 1 : (uint32_t)atoi(words[3]));
}

/*
 * submit ID [queue=NAME] [key=KEY] [team=NAME] [advice] [memory=MIB]
 * [KEY=NUMBER...] STEP...: STEP is COUNT:CPU_MILLIS:ESTIMATE_MS[:FLAG...] and
 * depends on the step before
 */
static void
do_submit(void)
{
	Gw__JobStep steps[WORDS_MAX], *list[WORDS_MAX];
	uint32_t after[WORDS_MAX];
	Gw__JobSpec spec = GW__JOB_SPEC__INIT;
	Gw__JobAdvice advice = GW__JOB_ADVICE__INIT;
	sched_key_digest_t digest;

	spec.advice = has_word("advice") ? &advice : NULL;
	spec.id = words[1];
	spec.queue = (char *)lookup_value("queue", "q");
	spec.queue_key = (char *)lookup_value("key", "");
	spec.team = (char *)lookup_value("team", "");
	spec.priority = (uint32_t)lookup_number("priority", 0);
	spec.payload = "x";
	spec.max_attempts = (uint32_t)lookup_number("attempts", 3);
	spec.objective_ms = (uint32_t)lookup_number("objective", 600);
	spec.stretch_permille = 1600;
	spec.repeats = (uint32_t)lookup_number("repeats", 0);
	spec.interval_ms = lookup_number("interval", 0);
	spec.first_due_wall_ms = WALL_START_MS + lookup_number("first", 0);
	spec.steps = list;
	for (int i = 2; i < word_count; i++) {
		g_auto(GStrv) parts = NULL;
		Gw__JobStep *step = &steps[spec.n_steps];
		bool fails = false;

		if (strchr(words[i], ':') == NULL)
			continue;
		parts = g_strsplit(words[i], ":", -1);
		gw__job_step__init(step);
		step->count = (uint32_t)atoi(parts[0]);
		step->cpu_millis = (uint32_t)atoi(parts[1]);
		step->estimate_ms = (uint32_t)atoi(parts[2]);
		step->memory_mib = (uint32_t)lookup_number("memory", 100);
		for (char **flag = parts + 3; *flag != NULL; flag++) {
			step->lasting |= strcmp(*flag, "lasting") == 0;
			step->gang |= strcmp(*flag, "gang") == 0;
			step->checkpoints |= strcmp(*flag, "saves") == 0;
			step->concurrent |= strcmp(*flag, "copies") == 0;
			step->fills |= strcmp(*flag, "fills") == 0;
			step->same_rack |= strcmp(*flag, "rack") == 0;
			if (strcmp(*flag, "keep") == 0) {
				step->limits_unavailable = true;
				step->max_unavailable = 1;
			}
			if (g_str_has_prefix(*flag, "label-"))
				step->label = (char *)g_intern_string(
				    *flag + strlen("label-"));
			if (strcmp(*flag, "apart") == 0)
				step->max_per_instance = 1;
			if (strcmp(*flag, "serves") == 0)
				step->target_ms = 100;
			fails |= strcmp(*flag, "fails") == 0;
		}
		if (fake != NULL)
			fake_instances_set_step(fake, words[1],
			    (uint32_t)spec.n_steps,
			    step->lasting && !fails ? 0 : step->estimate_ms,
			    fails);
		if (spec.n_steps > 0) {
			after[spec.n_steps] = (uint32_t)spec.n_steps - 1;
			step->n_after = 1;
			step->after = &after[spec.n_steps];
		}
		list[spec.n_steps++] = step;
	}
	if (strcmp(words[0], "offer") == 0) {
		print_offer(&spec);
		return;
	}
	sched_key_digest(&digest, spec.team, strlen(spec.team));
	sched_pool_submit(pool, &spec, spec.team[0] == '\0' ? NULL : &digest,
	    on_response, g_strdup(words[1]));
}

/* admission all|in-time|estimate */
static void
do_admission(void)
{
	sched_pool_set_admission(pool,
	    strcmp(words[1], "all") == 0	   ? &sched_admission_all
		: strcmp(words[1], "in-time") == 0 ? &sched_admission_in_time
						   : &sched_admission_estimate);
}

/*
 * coming MACHINES [STANDBY]: machines that are moving to the pool, and machines
 * on standby for it
 */
static void
do_coming(void)
{
	sched_pool_set_incoming(pool, (uint32_t)atoi(words[1]),
	    word_count > 2 ? (uint32_t)atoi(words[2]) : 0);
}

/* [queue=NAME] [key=KEY] [team=NAME] of a caller's request */
static sched_queue_ref_t
parse_queue(void)
{
	return (sched_queue_ref_t){.name = lookup_value("queue", "q"),
	    .key = lookup_value("key", ""),
	    .team = lookup_value("team", "")};
}

static void
do_cancel(void)
{
	sched_queue_ref_t queue = parse_queue();

	sched_pool_cancel(
	    pool, &queue, words[1], on_response, g_strdup(words[1]));
}

/* resubmit ID: a submission that the pool may have accepted before */
static void
do_resubmit(void)
{
	sched_pool_resubmit(pool, words[1], on_response, g_strdup(words[1]));
}

static void
do_state(void)
{
	static const char *const names[] = {
	    "queued", "running", "completed", "failed", "cancelled"};
	sched_queue_ref_t queue = parse_queue();
	sched_response_t response = sched_pool_state(pool, &queue, words[1]);

	printf("%6" PRIu64 " state %s %s%s%s\n", now_ms(), words[1],
	    response.outcome == GW__CALL_OUTCOME__CALL_ABSENT ? "absent"
		: response.outcome == GW__CALL_OUTCOME__CALL_OK
		? names[response.state]
		: "refused",
	    response.moved_to == NULL ? "" : " moved to ",
	    response.moved_to == NULL ? "" : response.moved_to);
}

/* load: what the owner reports to the planner */
static void
do_load(void)
{
	Gw__PoolLoad load;

	sched_pool_get_load(pool, &load);
	printf("%6" PRIu64 " load used=%" PRIu64 " waiting=%" PRIu64
	       " demand=%" PRIu64 " lasting=%u lasting_cpu=%" PRIu64
	       " lasting_used=%" PRIu64 " blocked=%u\n",
	    now_ms(), load.used_cpu_millis, load.waiting_cpu_ms,
	    load.demand_cpu_ms, load.lasting_waiting,
	    load.lasting_waiting_cpu_millis, load.lasting_used_cpu_millis,
	    load.blocked_jobs);
	sched_load_clear(&load);
}

/* team-loads: what the load report shows of teams */
static void
do_team_loads(void)
{
	Gw__PoolLoad load;

	sched_pool_get_load(pool, &load);
	printf("%6" PRIu64 " teams %zu\n", now_ms(), load.n_teams);
	for (size_t i = 0; i < load.n_teams; i++)
		printf("%6" PRIu64 " team %s submitted=%" PRIu64 "\n", now_ms(),
		    load.teams[i]->team, load.teams[i]->submitted);
	sched_load_clear(&load);
}

/* late: what the load report shows of jobs that can no longer be in time */
static void
do_late(void)
{
	Gw__PoolLoad load;

	sched_pool_get_load(pool, &load);
	printf("%6" PRIu64 " late used=%" PRIu64 " of %" PRIu64
	       " waiting=%" PRIu64 " of %" PRIu64 " hosts=%u\n",
	    now_ms(), load.late_used_cpu_millis, load.used_cpu_millis,
	    load.late_waiting_cpu_ms, load.waiting_cpu_ms, load.late_instances);
	sched_load_clear(&load);
}

/* waits: what the pool's metrics show of tasks that do not run */
static void
do_waits(void)
{
	sched_waits_t waits = {0};

	sched_pool_add_waits(pool, &waits);
	printf("%6" PRIu64 " waits lasting_ms=%" PRIu64, now_ms(),
	    waits.lasting_wait_ms);
	for (int i = 0; i < SCHED_WAITS; i++)
		if (waits.tasks[i] > 0)
			printf(
			    " %s=%" PRIu64, sched_wait_name(i), waits.tasks[i]);
	printf("\n");
}

/* estimates: what the pool's metrics show of ends and promises */
static void
do_estimates(void)
{
	sched_waits_t waits = {0};
	const sched_estimate_errors_t *errors = &waits.estimates;

	sched_pool_add_waits(pool, &waits);
	printf("%6" PRIu64 " estimates early=%" PRIu64 " by_ms=%" PRIu64
	       " late=%" PRIu64 " by_ms=%" PRIu64 " held=%" PRIu64
	       " broken=%" PRIu64 "\n",
	    now_ms(), errors->early_us.count,
	    errors->early_us.sum_us / GW_US_PER_MS, errors->late_us.count,
	    errors->late_us.sum_us / GW_US_PER_MS, errors->promises_held,
	    errors->promises_broken);
}

static void
print_waits(const GArray *waits)
{
	for (guint i = 0; i < waits->len; i++) {
		const sched_wait_view_t *wait =
		    &g_array_index(waits, sched_wait_view_t, i);

		printf(" %s=%u first=%u.%u.%u",
		    sched_wait_name(wait->finding.reason), wait->tasks,
		    wait->first.occurrence, wait->first.step,
		    wait->first.index);
		for (int k = 0; k < SCHED_EXCLUSIONS; k++)
			if (wait->finding.excluded[k] > 0)
				printf(" %s=%u",
				    sched_exclusion_name((sched_exclusion_t)k),
				    wait->finding.excluded[k]);
		if (wait->left_ms > 0)
			printf(" left_ms=%" PRIu64, wait->left_ms);
	}
}

/* describe ID: what an operator sees of a job */
static void
do_describe(void)
{
	static const char *const places[] = {"here", "moved to", "absent"};
	char moved_to[SCHED_NAME_BYTES] = "";
	sched_job_view_t view;
	sched_job_place_t place =
	    sched_pool_describe_job(pool, words[1], &view, moved_to);

	printf("%6" PRIu64 " job %s %s%s%s", now_ms(), words[1], places[place],
	    moved_to[0] == '\0' ? "" : " ", moved_to);
	if (place == SCHED_JOB_FOUND) {
		printf(" %s team=%s tasks=%u done=%u runs=%u failures=%u",
		    view.state, view.team, view.tasks, view.done,
		    view.run_count, view.failures);
		if (view.away > 0)
			printf(" away=%u", view.away);
		if (view.part_of[0] != '\0')
			printf(" part-of=%s", view.part_of);
		print_waits(view.waits);
		for (guint i = 0; i < view.runs->len; i++) {
			const sched_run_view_t *run =
			    &g_array_index(view.runs, sched_run_view_t, i);

			printf(" %s:%u.%u.%u:%u:%s", run->instance,
			    run->ref.occurrence, run->ref.step, run->ref.index,
			    run->run, run->state);
		}
		sched_job_view_clear(&view);
	}
	printf("\n");
}

/* team-views: what an operator sees of the teams */
static void
do_team_views(void)
{
	g_autoptr(GHashTable) views = sched_team_views_new();
	g_autoptr(GPtrArray) sorted = NULL;

	sched_pool_add_team_views(pool, views);
	sorted = sched_team_views_sorted(views);
	for (guint i = 0; i < sorted->len; i++) {
		const sched_team_view_t *team = sorted->pdata[i];

		printf("%6" PRIu64 " team %s configured=%d running=%" PRIu64
		       " held=%" PRIu64 " quota=%" PRIu64 " lacking=%d"
		       " waiting=%" PRIu64 " submitted=%" PRIu64
		       " share=%" PRIu64 " overload=%" PRIu64 "\n",
		    now_ms(), team->name, team->is_configured,
		    team->running.cpu_millis, team->held.cpu_millis,
		    team->quota.cpu_millis, team->is_lacking, team->waiting,
		    team->submitted, team->refused_by_share,
		    team->refused_by_overload);
	}
}

static void
do_pending(void)
{
	sched_queue_ref_t queue = parse_queue();

	printf("%6" PRIu64 " pending %u\n", now_ms(),
	    sched_pool_count_pending(pool, &queue));
}

/* The instances respond, and the store writes a batch. */
static void
respond(void)
{
	sched_batch_t *written;

	if (fake == NULL)
		return;
	for (uint32_t n = fake_instances_respond(fake, pool); n > 0; n--)
		leave_window(SCHED_RESULT_OK);
	written = sched_pool_take_batch(pool, 28);
	if (written == NULL)
		return;
	batches_written++;
	sched_pool_batch_done(pool, written);
}

/*
 * advance MS: in steps of 5 ms, with a tick after each, and the responses of
 * instances that respond by themselves
 */
static void
do_advance(void)
{
	uint64_t end_ms = now_ms() + strtoull(words[1], NULL, 10);

	while (now_ms() < end_ms) {
		gw_clock_advance(&clock_state, 5 * GW_US_PER_MS);
		(void)sched_pool_tick(pool, WALL_START_MS + now_ms());
		respond();
	}
}

/*
 * alive PREFIX: from now on instances and the store respond by themselves, and
 * only what concerns jobs with this prefix is printed. Runs last as estimated;
 * those of a step with the flag fails then fail. grey ID: all runs that start
 * on the instance fail. stood JOB: how long its tasks stood between runs.
 */
static void
do_alive(void)
{
	if (fake == NULL)
		fake = fake_instances_new(&clock_state);
	watched = g_intern_string(words[1]);
}

static void
do_grey(void)
{
	if (fake != NULL)
		fake_instances_set_grey(fake, words[1]);
}

static void
do_stood(void)
{
	if (fake != NULL)
		fake_instances_print_stood(fake, words[1]);
}

/* jump MS: without a tick, as when the process is suspended */
static void
do_jump(void)
{
	gw_clock_advance(
	    &clock_state, strtoull(words[1], NULL, 10) * GW_US_PER_MS);
}

/* lease MS: the owner's lease ends in MS */
static void
do_lease(void)
{
	lease_us = gw_clock_now_us(&clock_state) +
	    strtoull(words[1], NULL, 10) * GW_US_PER_MS;
}

static void
do_tick(void)
{
	(void)sched_pool_tick(pool, WALL_START_MS + now_ms());
}

/* Prints the writes of the batch and, unless they are refused, stores them. */
static void
send_batch(bool is_refused)
{
	static const char *const kinds[] = {"spec", "record", "queue",
	    "lapsing", "transfer", "handed", "handed"};

	batch = sched_pool_take_batch(pool, 28);
	if (batch == NULL) {
		printf("%6" PRIu64 " nothing to write\n", now_ms());
		return;
	}
	for (uint32_t i = 0; i < sched_batch_write_count(batch); i++) {
		const sched_write_t *write = sched_batch_write(batch, i);
		char *key = g_strdup_printf("%s%s%s/%s", write->shard,
		    write->shard[0] == '\0' ? "" : ":", kinds[write->kind],
		    write->id);

		printf("%6" PRIu64 " %s %s\n", now_ms(),
		    write->value == NULL ? "remove" : "write", key);
		if (write->value == NULL || is_refused) {
			if (!is_refused)
				g_hash_table_remove(store, key);
			g_free(key);
		} else {
			if (write->kind == SCHED_WRITE_LAPSING)
				lapsing_seen_us = gw_clock_now_us(&clock_state);
			g_hash_table_replace(
			    store, key, g_bytes_ref(write->value));
		}
	}
}

/*
 * take: a batch is sent to the store; done: the store has written it; commit: a
 * tick and both; refuse: a tick, and the store refuses the batch as it is
 */
static void
do_take(void)
{
	send_batch(false);
}

static void
do_refuse(void)
{
	sched_batch_t *refused;

	do_tick();
	send_batch(true);
	refused = batch;
	batch = NULL;
	if (refused != NULL)
		sched_pool_batch_refused(pool, refused);
}

/* outdated: the store refuses the batch, since there is a newer configuration
 */
static void
do_outdated(void)
{
	sched_batch_t *refused;

	send_batch(true);
	refused = batch;
	batch = NULL;
	if (refused != NULL)
		sched_pool_batch_outdated(pool, refused);
}

static const char *
refuse_queue(const sched_submitter_t *submitter, void *arg)
{
	return strcmp(submitter->queue_key, arg) == 0 ? "queue-moved" : NULL;
}

static const char *
refuse_key(const sched_submitter_t *submitter, void *arg)
{
	return submitter->key != NULL && strcmp(submitter->team, arg) == 0
	    ? "key-withdrawn"
	    : NULL;
}

/* moved KEY: by a newer configuration the queue is in another pool */
static void
do_moved(void)
{
	sched_pool_refuse_outdated(pool, refuse_queue, words[1]);
}

/* quota: the changes that the shard wants to its parts */
static void
do_quota(void)
{
	g_autoptr(GArray) changes = sched_pool_quota_changes(pool);

	for (guint i = 0; i < changes->len; i++) {
		const sched_quota_change_t *change =
		    &g_array_index(changes, sched_quota_change_t, i);

		printf("%6" PRIu64 " quota %s used=%" PRIu64 " held=%" PRIu64
		       " wanted=%" PRIu64 "%s%s\n",
		    now_ms(), change->team, change->used.cpu_millis,
		    change->held.cpu_millis, change->wanted.cpu_millis,
		    change->is_lacking ? " lacking" : "",
		    change->must_read ? " unread" : "");
	}
	if (changes->len == 0)
		printf("%6" PRIu64 " quota as wanted\n", now_ms());
}

/*
 * held TEAM CPU_MILLIS [OTHERS]: the store shows this part, and so much as the
 * sum of the other shards'; yield TEAM
 */
static void
do_held(void)
{
	const sched_resources_t part = {
	    .cpu_millis = strtoull(words[2], NULL, 10)};
	const sched_resources_t others = {
	    .cpu_millis = word_count > 3 ? strtoull(words[3], NULL, 10) : 0};

	sched_pool_set_quota_held(pool, words[1], &part, &others);
}

/* uncertain TEAM: a write of the part may have taken effect, or may yet */
static void
do_uncertain(void)
{
	const sched_resources_t none = {0};

	sched_pool_limit_quota_held(pool, words[1], &none);
	sched_pool_forget_quota_held(pool, words[1]);
}

static void
do_yield(void)
{
	sched_pool_yield_quota(pool, words[1]);
}

/* parts COUNT: shards among which quotas are divided */
static void
do_parts(void)
{
	sched_pool_set_quota_parts(pool, (uint32_t)atoi(words[1]));
}

/* rate TEAM JOBS: submitted a second to all pools, as the planner reports */
static void
do_rate(void)
{
	sched_pool_set_team_rate(
	    pool, words[1], (uint64_t)(atof(words[2]) * 1000));
}

/* sharing none|weighted */
static void
do_sharing(void)
{
	sched_pool_set_sharing(pool,
	    strcmp(words[1], "none") == 0 ? &sched_sharing_none
					  : &sched_sharing_weighted);
}

/* order cpu|priority */
static void
do_order(void)
{
	sched_pool_set_order(pool,
	    strcmp(words[1], "cpu") == 0 ? &sched_order_cpu
					 : &sched_order_priority);
}

/* withdrawn TEAM: by a newer configuration the team's key is gone */
static void
do_withdrawn(void)
{
	sched_pool_refuse_outdated(pool, refuse_key, words[1]);
}

/* teams NAME:WEIGHT[:CPU_MILLIS[:MEMORY_MIB]]...: the configuration's teams */
static void
do_teams(void)
{
	sched_team_config_t teams[WORDS_MAX] = {0};

	for (int i = 1; i < word_count; i++) {
		g_auto(GStrv) parts = g_strsplit(words[i], ":", -1);
		sched_team_config_t *team = &teams[i - 1];
		guint count = g_strv_length(parts);

		g_strlcpy(team->name, parts[0], sizeof(team->name));
		team->weight_permille = (uint32_t)(atof(parts[1]) * 1000);
		if (count > 2)
			team->quota.cpu_millis = strtoull(parts[2], NULL, 10);
		if (count > 3)
			team->quota.memory_mib = strtoull(parts[3], NULL, 10);
	}
	sched_pool_set_teams(pool, teams, (uint32_t)word_count - 1);
}

/* stored ID: prints the size of the job's record */
static void
do_stored(void)
{
	g_autofree char *key = g_strdup_printf("record/%s", words[1]);
	GBytes *value = g_hash_table_lookup(store, key);

	printf("%6" PRIu64 " stored %s bytes=%zu\n", now_ms(), words[1],
	    value == NULL ? 0 : g_bytes_get_size(value));
}

static void
do_done(void)
{
	sched_batch_t *written = batch;

	batch = NULL;
	if (written == NULL)
		return;
	batches_written++;
	sched_pool_batch_done(pool, written);
}

static void
do_commit(void)
{
	do_tick();
	do_take();
	do_done();
}

/*
 * report ID clock=MS [born=] [sent=MS] run:TASK:RUN[:PERCENT[:GAUGE]]...
 * end:NUMBER:TASK:RUN:KIND[:CHECKPOINT]...
 */
static void
do_report(void)
{
	static const char *const kinds[] = {
	    "done", "failed", "stopped", "lapsed", "broken", "alone"};
	sched_run_status_t running[WORDS_MAX] = {0};
	sched_run_end_t ends[WORDS_MAX] = {0};
	g_autoptr(GPtrArray) parsed =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_strfreev);
	sched_report_t report = {.clock_ms = lookup_number("clock", now_ms()),
	    .born_ms = lookup_number("born", 1),
	    .running = running,
	    .ends = ends};

	for (int i = 2; i < word_count; i++) {
		char **parts = g_strsplit(words[i], ":", -1);
		guint count = g_strv_length(parts);

		g_ptr_array_add(parsed, parts);
		if (strcmp(parts[0], "run") == 0 && count >= 3) {
			sched_run_status_t *row =
			    &running[report.running_count++];

			row->ref = parse_ref(parts[1]);
			row->run = (uint32_t)atoi(parts[2]);
			row->checkpoint = "";
			row->percent = count > 3 ? (uint32_t)atoi(parts[3]) : 0;
			row->gauge = count > 4 ? (uint32_t)atoi(parts[4]) : 0;
		} else if (strcmp(parts[0], "end") == 0 && count >= 5) {
			sched_run_end_t *row = &ends[report.end_count++];

			row->number = strtoull(parts[1], NULL, 10);
			row->ref = parse_ref(parts[2]);
			row->run = (uint32_t)atoi(parts[3]);
			for (int k = 0; k < (int)G_N_ELEMENTS(kinds); k++)
				if (strcmp(parts[4], kinds[k]) == 0)
					row->kind = (sched_end_kind_t)k;
			row->checkpoint = count > 5 ? parts[5] : "";
		}
	}
	sched_pool_apply_report(pool, words[1], &report,
	    START_US + lookup_number("sent", now_ms()) * GW_US_PER_MS);
}

/*
 * started ID TASK RUN RESULT [clock=]: the result of a start; stopped takes the
 * same, renew-failed takes ID RESULT
 */
static void
do_started(void)
{
	sched_task_ref_t ref = parse_ref(words[2]);

	leave_window(parse_result(words[4]));
	sched_pool_apply_start_result(pool, words[1], &ref,
	    (uint32_t)atoi(words[3]), parse_result(words[4]),
	    lookup_number("clock", 0));
}

static void
do_stopped(void)
{
	sched_task_ref_t ref = parse_ref(words[2]);

	leave_window(parse_result(words[4]));
	sched_pool_apply_stop_result(pool, words[1], &ref,
	    (uint32_t)atoi(words[3]), parse_result(words[4]));
}

static void
do_renewal_failed(void)
{
	sched_pool_renewal_failed(pool, words[1], parse_result(words[2]));
}

/* drain ID MS */
static void
do_drain(void)
{
	printf("%6" PRIu64 " drained %s %d\n", now_ms(), words[1],
	    sched_pool_drain(pool, words[1], (uint32_t)atoi(words[2])));
}

/* advised TASK valid=MS ID:TICKET... */
static void
do_advised(void)
{
	const char *instances[WORDS_MAX], *tickets[WORDS_MAX];
	g_autoptr(GPtrArray) parsed =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_strfreev);
	sched_task_ref_t ref = parse_ref(words[1]);
	uint32_t count = 0;

	for (int i = 2; i < word_count; i++) {
		char **parts = g_strsplit(words[i], ":", 2);

		g_ptr_array_add(parsed, parts);
		if (parts[1] == NULL)
			continue;
		instances[count] = parts[0];
		tickets[count++] = parts[1];
	}
	sched_pool_set_advice(pool, &ref, instances, tickets, count,
	    (uint32_t)lookup_number("valid", 3000));
}

static const struct {
	const char *name;
	int words_min;
	void (*run)(void);
} commands[] = {
    {"pool", 1, do_pool},
    {"window", 1, do_window},
    {"takeover", 1, do_takeover},
    {"keep-ends", 1, do_keep_ends},
    {"tell-ends", 1, do_tell_ends},
    {"instance", 2, do_instance},
    {"shard", 3, do_shard},
    {"owner", 3, do_owner},
    {"older", 1, do_older},
    {"told", 2, do_told},
    {"asked", 2, do_asked},
    {"answered", 4, do_answered},
    {"adopt", 2, do_adopt},
    {"adopted", 3, do_adopted},
    {"forget", 2, do_forget},
    {"gone", 2, do_gone},
    {"ended", 2, do_ended},
    {"submit", 3, do_submit},
    {"offer", 3, do_submit},
    {"room", 4, do_room},
    {"teams", 1, do_teams},
    {"withdrawn", 2, do_withdrawn},
    {"rate", 3, do_rate},
    {"sharing", 2, do_sharing},
    {"order", 2, do_order},
    {"quota", 1, do_quota},
    {"held", 3, do_held},
    {"yield", 2, do_yield},
    {"uncertain", 2, do_uncertain},
    {"parts", 2, do_parts},
    {"admission", 2, do_admission},
    {"coming", 2, do_coming},
    {"cancel", 2, do_cancel},
    {"resubmit", 2, do_resubmit},
    {"state", 2, do_state},
    {"pending", 1, do_pending},
    {"load", 1, do_load},
    {"team-loads", 1, do_team_loads},
    {"late", 1, do_late},
    {"waits", 1, do_waits},
    {"describe", 2, do_describe},
    {"team-views", 1, do_team_views},
    {"estimates", 1, do_estimates},
    {"advance", 2, do_advance},
    {"alive", 2, do_alive},
    {"grey", 2, do_grey},
    {"stood", 2, do_stood},
    {"jump", 2, do_jump},
    {"lease", 2, do_lease},
    {"tick", 1, do_tick},
    {"take", 1, do_take},
    {"done", 1, do_done},
    {"refuse", 1, do_refuse},
    {"outdated", 1, do_outdated},
    {"moved", 2, do_moved},
    {"stored", 2, do_stored},
    {"commit", 1, do_commit},
    {"report", 2, do_report},
    {"started", 5, do_started},
    {"stopped", 5, do_stopped},
    {"renew-failed", 3, do_renewal_failed},
    {"drain", 3, do_drain},
    {"advised", 2, do_advised},
};

static void
run_line(char *line)
{
	char *save = NULL;

	word_count = 0;
	for (char *word = strtok_r(line, " \t\n", &save);
	     word != NULL && word_count < WORDS_MAX;
	     word = strtok_r(NULL, " \t\n", &save))
		words[word_count++] = word;
	if (word_count == 0 || words[0][0] == '#')
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].name, words[0]) != 0)
			continue;
		if (word_count < commands[i].words_min)
			errx(1, "%s: too few words", words[0]);
		commands[i].run();
		return;
	}
	errx(1, "'%s' is not a command", words[0]);
}

int
main(void)
{
	char line[2048];

	gw_clock_init_paused(&clock_state, START_US);
	store = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	while (fgets(line, sizeof(line), stdin) != NULL)
		run_line(line);
	if (batch != NULL)
		sched_batch_drop(batch);
	sched_pool_free(pool);
	fake_instances_free(fake);
	sched_window_free(window);
	g_hash_table_destroy(store);
	gw_log_flush();
	return 0;
}
