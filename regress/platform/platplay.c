/*
 * Decodes documents of the platform. Each line of standard input is the kind
 * and the JSON of one, and for a response its status in between. Prints the
 * decoded structure or the error.
 */
#include <err.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/job.h"
#include "platform/kv.h"
#include "platform/machines.h"
#include "platform/registry.h"
#include "platform/runs.h"
#include "platform/settings.h"

static void
print_error(const gw_err_t *error)
{
	printf("error: %s: %s\n", error->step, error->text);
}

static void
decode_instance(const char *json)
{
	sched_instance_info_t info;
	gw_err_t error;

	if (plat_instance_decode(&info, "i-1", json, strlen(json), &error) !=
	    0) {
		print_error(&error);
		return;
	}
	printf("instance %s pool=%s machine=%s dc=%s born=%" PRIu64
	       " leaving=%d left=%u cpu=%" PRIu64 " labels=%u\n",
	    info.id, info.pool, info.machine, info.data_centre, info.born_ms,
	    info.leaving, info.leaves_in_ms, info.capacity.cpu_millis,
	    g_strv_length(info.labels));
	plat_instance_clear(&info);
}

static void
decode_config(const char *json)
{
	sched_config_t *config;
	gw_err_t error;

	config = plat_config_decode(json, strlen(json), &error);
	if (config == NULL) {
		print_error(&error);
		return;
	}
	printf("config %" PRIu64 " body=%u header=%u header_ms=%u idle_ms=%u\n",
	    config->version, config->body_max_bytes, config->header_max_bytes,
	    config->header_timeout_ms, config->idle_timeout_ms);
	for (guint i = 0; i < config->queues->len; i++) {
		const sched_queue_t *queue =
		    &g_array_index(config->queues, sched_queue_t, i);

		printf("  queue %s %s%s pool=%s objective=%u stretch=%u "
		       "attempts=%u advice=%u\n",
		    queue->name, queue->host, queue->path_prefix, queue->pool,
		    queue->objective_ms, queue->stretch_permille,
		    queue->max_attempts, queue->advice_valid_ms);
	}
	for (guint i = 0; i < config->pools->len; i++) {
		const sched_pool_config_t *pool =
		    &g_array_index(config->pools, sched_pool_config_t, i);

		printf("  pool %s guards=%d standby=%d\n", pool->name,
		    pool->enforces_capacity, pool->standby);
	}
	for (guint i = 0; i < config->teams->len; i++) {
		const sched_team_config_t *team =
		    &g_array_index(config->teams, sched_team_config_t, i);
		uint32_t keys = 0;

		for (guint k = 0; k < config->keys->len; k++)
			keys += g_array_index(config->keys, sched_team_key_t, k)
				    .team == i;
		printf("  team %s weight=%u keys=%u cpu=%" PRIu64
		       " memory=%" PRIu64 "\n",
		    team->name, team->weight_permille, keys,
		    team->quota.cpu_millis, team->quota.memory_mib);
	}
	sched_config_free(config);
}

static void
decode_job(const char *json)
{
	sched_queue_t queue = {.name = "q", .max_attempts = 3};
	Gw__JobSpec *spec;
	gw_err_t error;

	spec = plat_job_decode(
	    "0123456789abcdef", &queue, json, strlen(json), &error);
	if (spec == NULL) {
		print_error(&error);
		return;
	}
	printf("job payload=\"%s\" repeats=%u\n", spec->payload, spec->repeats);
	for (size_t i = 0; i < spec->n_steps; i++) {
		const Gw__JobStep *step = spec->steps[i];

		printf("  step count=%u cpu=%u mem=%u estimate=%u after=%zu "
		       "saves=%d gang=%d lasting=%d keep=%d/%u rack=%s\n",
		    step->count, step->cpu_millis, step->memory_mib,
		    step->estimate_ms, step->n_after, step->checkpoints,
		    step->gang, step->lasting, step->limits_unavailable,
		    step->max_unavailable, step->rack);
	}
	gw__job_spec__free_unpacked(spec, NULL);
}

static void
decode_report(const char *json)
{
	gw_http_response_t response = {200, json, strlen(json)};
	sched_result_t result;
	plat_report_t report;
	gw_err_t error;

	result = plat_report_decode(&report, &response, &error);
	printf("report result=%d clock=%" PRIu64 " born=%" PRIu64
	       " ignored=%u\n",
	    result, report.report.clock_ms, report.report.born_ms,
	    report.ignored_rows);
	for (uint32_t i = 0; i < report.report.running_count; i++) {
		const sched_run_status_t *row = &report.report.running[i];

		printf("  running %s.%u.%u.%u run=%u percent=%u gauge=%u\n",
		    row->ref.job, row->ref.occurrence, row->ref.step,
		    row->ref.index, row->run, row->percent, row->gauge);
	}
	for (uint32_t i = 0; i < report.report.end_count; i++) {
		const sched_run_end_t *row = &report.report.ends[i];

		printf("  end %" PRIu64 " %s.%u.%u.%u run=%u kind=%d\n",
		    row->number, row->ref.job, row->ref.occurrence,
		    row->ref.step, row->ref.index, row->run, row->kind);
	}
	plat_report_clear(&report);
}

/*
 * Decodes "STATUS JSON", the response to a start or stop.
 */
static void
decode_result(const char *text)
{
	char *json;
	int status = (int)strtol(text, &json, 10);
	gw_http_response_t response = {status, json, strlen(json)};
	uint64_t clock_ms;

	printf("result %d", plat_instance_result_decode(&response, &clock_ms));
	printf(" clock=%" PRIu64 "\n", clock_ms);
}

static void
decode_wave(const char *json)
{
	plat_wave_t *wave;
	gw_err_t error;

	wave = plat_wave_decode(json, strlen(json), &error);
	if (wave == NULL) {
		print_error(&error);
		return;
	}
	printf("wave %" PRIu64 " machines=%u duration=%u at_once=%u\n",
	    wave->number, wave->machines->len, wave->duration_ms,
	    wave->at_once_max);
	plat_wave_free(wave);
}

static void
decode_machines(const char *json)
{
	gw_http_response_t response = {200, json, strlen(json)};
	g_autoptr(GArray) machines =
	    g_array_new(FALSE, FALSE, sizeof(plat_machine_t));
	g_autofree char *next = NULL;
	uint32_t ignored_rows;
	gw_err_t error;

	if (plat_machines_decode(
		machines, &next, &ignored_rows, &response, &error) != 0) {
		print_error(&error);
		return;
	}
	printf("machines next=%s\n", next == NULL ? "-" : next);
	if (ignored_rows > 0)
		printf("  ignored=%u\n", ignored_rows);
	for (guint i = 0; i < machines->len; i++) {
		const plat_machine_t *machine =
		    &g_array_index(machines, plat_machine_t, i);

		printf("  %s pool=%s state=%d instance=%s\n", machine->name,
		    machine->pool, machine->state, machine->instance);
	}
}

static void
decode_settings(const char *json)
{
	plat_settings_t settings;
	gw_err_t error;

	if (plat_settings_decode(&settings, json, strlen(json), &error) != 0) {
		print_error(&error);
		return;
	}
	printf("settings node=%s dc=%s ports=%u-%u grace=%u hold_max=%u "
	       "remote=%u machines=%d advice=%d fds=%u memory=%" PRIu64 "\n",
	    settings.node, settings.data_centre, settings.port_first,
	    settings.port_last, settings.stop_grace_s,
	    settings.bounds.hold_max_ms, settings.bounds.remote_permille,
	    settings.has_machines, settings.has_advice,
	    settings.descriptors_max, settings.memory_bytes);
}

static void
print_page(const store_page_t *page)
{
	for (guint i = 0; i < page->items->len; i++) {
		const store_item_t *item = page->items->pdata[i];

		printf("  %s value=\"%s\" created=%" PRIu64 " revision=%" PRIu64
		       " lease=%" PRIu64 " removed=%d\n",
		    item->key, item->value == NULL ? "" : item->value,
		    item->create_revision, item->mod_revision, item->lease_id,
		    item->removed);
	}
}

/*
 * Decodes "STATUS JSON", a response of the store.
 */
static void
decode_page(const char *text,
    int (*decode)(const gw_http_response_t *, store_page_t *, gw_err_t *))
{
	char *json;
	int status = (int)strtol(text, &json, 10);
	gw_http_response_t response = {status, json, strlen(json)};
	store_page_t page;
	gw_err_t error;

	store_page_init(&page);
	if (decode(&response, &page, &error) != 0)
		printf("error: %s: %s\n", gw_errc_name(error.code), error.text);
	else
		printf("page at=%" PRIu64 " truncated=%d\n",
		    page.store_revision, page.truncated);
	if (page.ignored_items > 0)
		printf("  ignored=%u\n", page.ignored_items);
	print_page(&page);
	store_page_clear(&page);
}

static void
decode_range(const char *text)
{
	decode_page(text, plat_kv_protocol.decode_range);
}

static void
decode_poll(const char *text)
{
	decode_page(text, plat_kv_protocol.decode_poll);
}

static void
decode_txn(const char *text)
{
	char *json;
	int status = (int)strtol(text, &json, 10);
	gw_http_response_t response = {status, json, strlen(json)};
	uint64_t revision = 0;
	store_page_t page;
	gw_err_t error;

	store_page_init(&page);
	if (plat_kv_protocol.decode_txn(&response, &revision, &page, &error) !=
	    0)
		printf("error: %s\n", gw_errc_name(error.code));
	else
		printf("txn revision=%" PRIu64 "\n", revision);
	print_page(&page);
	store_page_clear(&page);
}

static const struct {
	const char *name;
	void (*run)(const char *);
} kinds[] = {
    {"instance", decode_instance},
    {"config", decode_config},
    {"job", decode_job},
    {"report", decode_report},
    {"result", decode_result},
    {"wave", decode_wave},
    {"machines", decode_machines},
    {"settings", decode_settings},
    {"range", decode_range},
    {"poll", decode_poll},
    {"txn", decode_txn},
};

int
main(void)
{
	char line[16384];

	while (fgets(line, sizeof(line), stdin) != NULL) {
		char *json = strchr(line, ' ');

		line[strcspn(line, "\n")] = '\0';
		if (line[0] == '\0' || line[0] == '#')
			continue;
		if (json == NULL)
			errx(1, "no input in '%s'", line);
		*json++ = '\0';
		for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
			if (strcmp(kinds[i].name, line) == 0)
				kinds[i].run(json);
	}
	return 0;
}
