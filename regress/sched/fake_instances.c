#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "fake_instances.h"

/* A run on a grey instance fails after this time. */
#define GREY_MS 20

typedef struct {
	sched_task_ref_t ref;
	uint32_t run;
	uint64_t end_us; /* 0: never */
	sched_end_kind_t kind;
} fake_run_t;

typedef struct {
	char id[SCHED_NAME_BYTES];
	uint64_t born_ms;
	bool is_alive, is_grey, is_renewing;
	uint64_t renew_sent_us;
	uint64_t last_number;
	GArray *runs; /* fake_run_t */
	GArray *ends; /* sched_run_end_t, not acknowledged */
} fake_instance_t;

/* A response to a start or stop. */
typedef struct {
	char instance[SCHED_NAME_BYTES];
	sched_task_ref_t ref;
	uint32_t run;
	bool is_start;
	sched_result_t result;
} fake_response_t;

typedef struct {
	uint64_t run_ms;
	bool fails;
} fake_step_t;

typedef struct {
	uint64_t since_us; /* when the last run ended; 0: it runs */
	uint64_t longest_us;
} fake_stood_t;

struct fake_instances {
	const gw_clock_t *clock;
	GHashTable *instances; /* id -> fake_instance_t */
	GPtrArray *order;      /* the same, in the order of their first begin */
	GHashTable *steps;     /* JOB.STEP -> fake_step_t */
	GHashTable *stood;     /* JOB.OCCURRENCE.STEP.INDEX -> fake_stood_t */
	GArray *responses;     /* fake_response_t */
};

static void
instance_free(gpointer data)
{
	fake_instance_t *instance = data;

	g_array_free(instance->runs, TRUE);
	g_array_free(instance->ends, TRUE);
	g_free(instance);
}

fake_instances_t *
fake_instances_new(const gw_clock_t *clock)
{
	fake_instances_t *fake = g_new0(fake_instances_t, 1);

	fake->clock = clock;
	fake->instances =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, instance_free);
	fake->order = g_ptr_array_new();
	fake->steps =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fake->stood =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fake->responses = g_array_new(FALSE, TRUE, sizeof(fake_response_t));
	return fake;
}

/*
 * Frees the instances; NULL is allowed.
 */
void
fake_instances_free(fake_instances_t *fake)
{
	if (fake == NULL)
		return;
	g_ptr_array_free(fake->order, TRUE);
	g_hash_table_destroy(fake->instances);
	g_hash_table_destroy(fake->steps);
	g_hash_table_destroy(fake->stood);
	g_array_free(fake->responses, TRUE);
	g_free(fake);
}

static char *
ref_key(const sched_task_ref_t *ref)
{
	return g_strdup_printf(
	    "%s.%u.%u.%u", ref->job, ref->occurrence, ref->step, ref->index);
}

static fake_stood_t *
stood_of(fake_instances_t *fake, const sched_task_ref_t *ref)
{
	g_autofree char *key = ref_key(ref);
	fake_stood_t *stood = g_hash_table_lookup(fake->stood, key);

	if (stood == NULL) {
		stood = g_new0(fake_stood_t, 1);
		g_hash_table_insert(fake->stood, g_steal_pointer(&key), stood);
	}
	return stood;
}

static void
note_begin(fake_instances_t *fake, const sched_task_ref_t *ref)
{
	fake_stood_t *stood = stood_of(fake, ref);
	uint64_t now_us = gw_clock_now_us(fake->clock);

	if (stood->since_us != 0)
		stood->longest_us =
		    MAX(stood->longest_us, now_us - stood->since_us);
	stood->since_us = 0;
}

/* Ends the run at this index as kind. A dead instance lists no end. */
static void
end_run(fake_instances_t *fake, fake_instance_t *instance, guint index,
    sched_end_kind_t kind)
{
	fake_run_t run = g_array_index(instance->runs, fake_run_t, index);
	sched_run_end_t end = {.ref = run.ref,
	    .run = run.run,
	    .kind = kind,
	    .number = ++instance->last_number,
	    .checkpoint = ""};

	g_array_remove_index(instance->runs, index);
	g_array_append_val(instance->ends, end);
	stood_of(fake, &run.ref)->since_us = gw_clock_now_us(fake->clock);
}

void
fake_instances_end(fake_instances_t *fake, const char *id)
{
	fake_instance_t *instance = g_hash_table_lookup(fake->instances, id);

	if (instance == NULL)
		return;
	while (instance->runs->len > 0)
		end_run(fake, instance, 0, SCHED_END_STOPPED);
	g_array_set_size(instance->ends, 0);
	instance->last_number = 0;
	instance->is_alive = false;
}

void
fake_instances_begin(fake_instances_t *fake, const char *id, uint64_t born_ms)
{
	fake_instance_t *instance = g_hash_table_lookup(fake->instances, id);

	if (instance == NULL) {
		instance = g_new0(fake_instance_t, 1);
		g_strlcpy(instance->id, id, sizeof(instance->id));
		instance->runs = g_array_new(FALSE, TRUE, sizeof(fake_run_t));
		instance->ends =
		    g_array_new(FALSE, TRUE, sizeof(sched_run_end_t));
		g_hash_table_insert(fake->instances, instance->id, instance);
		g_ptr_array_add(fake->order, instance);
	}
	if (instance->born_ms == born_ms)
		return;
	fake_instances_end(fake, id);
	instance->born_ms = born_ms;
	instance->is_alive = true;
}

void
fake_instances_set_grey(fake_instances_t *fake, const char *id)
{
	fake_instance_t *instance = g_hash_table_lookup(fake->instances, id);

	if (instance != NULL)
		instance->is_grey = true;
}

void
fake_instances_set_step(fake_instances_t *fake, const char *job, uint32_t step,
    uint64_t run_ms, bool fails)
{
	fake_step_t *kept = g_new0(fake_step_t, 1);

	kept->run_ms = run_ms;
	kept->fails = fails;
	g_hash_table_replace(
	    fake->steps, g_strdup_printf("%s.%u", job, step), kept);
}

static guint
find_run(const fake_instance_t *instance, const sched_task_ref_t *ref)
{
	for (guint i = 0; i < instance->runs->len; i++) {
		const fake_run_t *run =
		    &g_array_index(instance->runs, fake_run_t, i);

		if (run->ref.index == ref->index &&
		    run->ref.step == ref->step &&
		    run->ref.occurrence == ref->occurrence &&
		    strcmp(run->ref.job, ref->job) == 0)
			return i;
	}
	return instance->runs->len;
}

static void
begin_run(fake_instances_t *fake, fake_instance_t *instance,
    const sched_task_ref_t *ref, uint32_t run)
{
	g_autofree char *key = g_strdup_printf("%s.%u", ref->job, ref->step);
	const fake_step_t *step = g_hash_table_lookup(fake->steps, key);
	uint64_t now_us = gw_clock_now_us(fake->clock);
	fake_run_t begun = {.ref = *ref, .run = run, .kind = SCHED_END_DONE};

	if (find_run(instance, ref) < instance->runs->len)
		return;
	if (step != NULL && step->run_ms != 0)
		begun.end_us = now_us + step->run_ms * GW_US_PER_MS;
	if (step != NULL && step->fails)
		begun.kind = SCHED_END_FAILED;
	if (instance->is_grey) {
		begun.end_us = now_us + GREY_MS * GW_US_PER_MS;
		begun.kind = SCHED_END_FAILED;
	}
	g_array_append_val(instance->runs, begun);
	note_begin(fake, ref);
}

static void
add_response(fake_instances_t *fake, const fake_instance_t *instance,
    const sched_task_ref_t *ref, uint32_t run, bool is_start)
{
	fake_response_t response = {.ref = *ref,
	    .run = run,
	    .is_start = is_start,
	    .result = instance->is_alive ? SCHED_RESULT_OK
					 : SCHED_RESULT_NO_RESPONSE};

	g_strlcpy(response.instance, instance->id, sizeof(response.instance));
	g_array_append_val(fake->responses, response);
}

void
fake_instances_start(fake_instances_t *fake, const sched_start_t *start)
{
	fake_instance_t *instance =
	    g_hash_table_lookup(fake->instances, start->instance);

	if (instance == NULL)
		return;
	if (instance->is_alive)
		begin_run(fake, instance, &start->ref, start->run);
	add_response(fake, instance, &start->ref, start->run, true);
}

void
fake_instances_stop(fake_instances_t *fake, const char *id,
    const sched_task_ref_t *ref, uint32_t run)
{
	fake_instance_t *instance = g_hash_table_lookup(fake->instances, id);
	guint index;

	if (instance == NULL)
		return;
	index = find_run(instance, ref);
	if (index < instance->runs->len &&
	    g_array_index(instance->runs, fake_run_t, index).run == run)
		end_run(fake, instance, index, SCHED_END_STOPPED);
	add_response(fake, instance, ref, run, false);
}

void
fake_instances_renew(fake_instances_t *fake, const sched_renewal_t *renewal)
{
	fake_instance_t *instance =
	    g_hash_table_lookup(fake->instances, renewal->instance);

	if (instance == NULL)
		return;
	instance->is_renewing = true;
	instance->renew_sent_us = gw_clock_now_us(fake->clock);
	while (instance->ends->len > 0 &&
	    g_array_index(instance->ends, sched_run_end_t, 0).number <=
		renewal->ack_number)
		g_array_remove_index(instance->ends, 0);
}

static void
end_due_runs(fake_instances_t *fake, fake_instance_t *instance)
{
	uint64_t now_us = gw_clock_now_us(fake->clock);

	for (guint i = instance->runs->len; i-- > 0;) {
		const fake_run_t *run =
		    &g_array_index(instance->runs, fake_run_t, i);

		if (run->end_us != 0 && now_us >= run->end_us)
			end_run(fake, instance, i, run->kind);
	}
}

static void
send_report(
    fake_instances_t *fake, fake_instance_t *instance, sched_pool_t *pool)
{
	uint64_t now_us = gw_clock_now_us(fake->clock);
	g_autoptr(GArray) running =
	    g_array_new(FALSE, TRUE, sizeof(sched_run_status_t));
	sched_report_t report = {
	    .clock_ms = now_us / GW_US_PER_MS, .born_ms = instance->born_ms};

	instance->is_renewing = false;
	if (!instance->is_alive) {
		sched_pool_renewal_failed(
		    pool, instance->id, SCHED_RESULT_NO_RESPONSE);
		return;
	}
	for (guint i = 0; i < instance->runs->len; i++) {
		const fake_run_t *run =
		    &g_array_index(instance->runs, fake_run_t, i);
		sched_run_status_t row = {.ref = run->ref,
		    .run = run->run,
		    .checkpoint = "",
		    .percent = 100};

		g_array_append_val(running, row);
	}
	report.running = (const sched_run_status_t *)(void *)running->data;
	report.running_count = running->len;
	report.ends = (const sched_run_end_t *)(void *)instance->ends->data;
	report.end_count = instance->ends->len;
	sched_pool_apply_report(
	    pool, instance->id, &report, instance->renew_sent_us);
}

uint32_t
fake_instances_respond(fake_instances_t *fake, sched_pool_t *pool)
{
	g_autoptr(GArray) responses = fake->responses;

	fake->responses = g_array_new(FALSE, TRUE, sizeof(fake_response_t));
	for (guint i = 0; i < responses->len; i++) {
		const fake_response_t *response =
		    &g_array_index(responses, fake_response_t, i);

		if (response->is_start)
			sched_pool_apply_start_result(pool, response->instance,
			    &response->ref, response->run, response->result, 0);
		else
			sched_pool_apply_stop_result(pool, response->instance,
			    &response->ref, response->run, response->result);
	}
	for (guint i = 0; i < fake->order->len; i++) {
		fake_instance_t *instance = fake->order->pdata[i];

		end_due_runs(fake, instance);
		if (instance->is_renewing)
			send_report(fake, instance, pool);
	}
	return responses->len;
}

static gint
compare_keys(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

void
fake_instances_print_stood(const fake_instances_t *fake, const char *job)
{
	uint64_t now_us = gw_clock_now_us(fake->clock);
	GList *keys =
	    g_list_sort(g_hash_table_get_keys(fake->stood), compare_keys);

	for (GList *link = keys; link != NULL; link = link->next) {
		const char *key = link->data;
		const fake_stood_t *stood =
		    g_hash_table_lookup(fake->stood, key);
		uint64_t present_us =
		    stood->since_us == 0 ? 0 : now_us - stood->since_us;

		if (g_str_has_prefix(key, job) && key[strlen(job)] == '.')
			printf("       stood %s ms=%" PRIu64 "%s\n", key,
			    MAX(stood->longest_us, present_us) / GW_US_PER_MS,
			    present_us == 0 ? "" : " still");
	}
	g_list_free(keys);
}
