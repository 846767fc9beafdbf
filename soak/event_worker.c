#include <string.h>

#include "events.h"

#define CALL_TIMEOUT_MS 2000
/* Of those of a pool that neither leave nor fall silent. */
#define WORKERS_MIN 6
#define CRASH_RESTART_MS 1000
#define WAVE_DURATION_S 30

/*
 * Adds a worker, or a machine on standby.
 */
void
worker_add(soak_t *soak, const char *pool)
{
	g_autofree char *body =
	    g_strdup_printf("{\"add\":\"%s\",\"zone\":\"dc-%c\"}", pool,
		'a' + (int)(soak->worker_count++ % 3));

	(void)gw_httpc_call(soak->control, "POST", "/control", body,
	    CALL_TIMEOUT_MS, soak_on_control, soak);
}

static bool
is_present(const json_t *row)
{
	return !json_is_true(json_object_get(row, "left")) &&
	    !json_is_true(json_object_get(row, "leaving"));
}

static const char *
pool_of(const json_t *row)
{
	return json_string_value(json_object_get(row, "pool"));
}

static uint32_t
count_present(const soak_t *soak, const char *pool)
{
	uint32_t count = 0;
	const json_t *row;
	size_t i;

	json_array_foreach(soak->worker_rows, i, row) count +=
	    is_present(row) && g_strcmp0(pool_of(row), pool) == 0;
	return count;
}

/*
 * Draws a worker that has not left and is not leaving, of a pool that has
 * enough others. Returns -1 when there is none.
 */
static int
draw_worker(soak_t *soak)
{
	size_t total = json_array_size(soak->worker_rows);
	size_t from = total == 0 ? 0 : events_draw(soak, 0, 1000) % total;

	for (size_t i = 0; i < total; i++) {
		size_t at = (from + i) % total;
		const json_t *row = json_array_get(soak->worker_rows, at);

		if (is_present(row) &&
		    count_present(soak, pool_of(row)) > WORKERS_MIN)
			return (int)at;
	}
	return -1;
}

static void
run_replace(follow_up_t *follow_up)
{
	soak_t *soak = follow_up->soak;
	const json_t *row =
	    json_array_get(soak->worker_rows, follow_up->number);

	soak_print(soak, "a worker of %s starts", pool_of(row));
	worker_add(soak, pool_of(row));
}

void
event_leave(soak_t *soak)
{
	int worker = draw_worker(soak);
	uint32_t leave_ms = events_draw(soak, 100, 4000);
	uint32_t replace_ms = events_draw(soak, 500, 3500);

	if (worker < 0)
		return;
	soak_print(soak, "worker %d leaves in %u ms", worker, leave_ms);
	events_control(soak, soak->control, "{\"worker\":%d,\"leave_ms\":%u}",
	    worker, leave_ms);
	events_later(soak, replace_ms, run_replace)->number = (uint32_t)worker;
}

static void
run_nothing(follow_up_t *follow_up)
{
	(void)follow_up;
}

void
event_crash(soak_t *soak)
{
	int worker = draw_worker(soak);

	if (worker < 0)
		return;
	soak_print(soak, "worker %d crashes", worker);
	events_control(
	    soak, soak->control, "{\"worker\":%d,\"crash\":true}", worker);
	(void)events_disrupt_for(soak, CRASH_RESTART_MS, run_nothing);
}

static void
run_sound(follow_up_t *follow_up)
{
	soak_print(follow_up->soak, "worker %u is sound", follow_up->number);
	events_control(follow_up->soak, follow_up->soak->control,
	    "{\"worker\":%u,\"failing\":false,\"muted\":false,\"cut\":false}",
	    follow_up->number);
}

void
event_fail(soak_t *soak)
{
	int worker = draw_worker(soak);
	uint32_t for_ms = events_draw(soak, 1000, 5000);

	if (worker < 0)
		return;
	soak_print(soak, "worker %d fails runs for %u ms", worker, for_ms);
	events_control(
	    soak, soak->control, "{\"worker\":%d,\"failing\":true}", worker);
	events_later(soak, for_ms, run_sound)->number = (uint32_t)worker;
}

void
event_silent(soak_t *soak)
{
	int worker = draw_worker(soak);
	uint32_t for_ms = events_draw(soak, 1000, 9000);

	if (worker < 0)
		return;
	soak_print(soak, "worker %d is silent for %u ms", worker, for_ms);
	events_control(
	    soak, soak->control, "{\"worker\":%d,\"muted\":true}", worker);
	events_disrupt_for(soak, for_ms, run_sound)->number = (uint32_t)worker;
}

/*
 * The next starts at a worker are carried out late or get no response.
 */
void
event_late_starts(soak_t *soak)
{
	int worker = draw_worker(soak);
	uint32_t late_ms = events_draw(soak, 300, 3000);

	if (worker < 0)
		return;
	soak_print(soak, "worker %d is %u ms late", worker, late_ms);
	events_control(soak, soak->control,
	    "{\"worker\":%d,\"late_starts\":%u,\"lose_starts\":1,"
	    "\"late_ms\":%u}",
	    worker, events_draw(soak, 1, 4), late_ms);
	(void)events_disrupt_for(soak, late_ms, run_nothing);
}

static void
run_cut(follow_up_t *follow_up)
{
	soak_t *soak = follow_up->soak;
	uint32_t for_ms = events_draw(soak, 4000, 10000);

	soak_print(soak, "worker %u is back, and silent for %u ms",
	    follow_up->number, for_ms);
	/* In one of two cuts it carries out the starts that are on their way.
	 */
	events_control(soak, soak->control, "{\"worker\":%u,\"%s\":true}",
	    follow_up->number, for_ms % 2 == 0 ? "cut" : "muted");
	events_disrupt_for(soak, for_ms, run_sound)->number = follow_up->number;
}

static void
run_crash(follow_up_t *follow_up)
{
	soak_t *soak = follow_up->soak;
	uint32_t cut_ms = CRASH_RESTART_MS + events_draw(soak, 0, 2500);

	soak_print(soak, "worker %u crashes", follow_up->number);
	events_control(soak, soak->control, "{\"worker\":%u,\"crash\":true}",
	    follow_up->number);
	events_disrupt_for(soak, cut_ms, run_cut)->number = follow_up->number;
	if (events_draw(soak, 0, 3) == 0)
		event_kill(soak);
}

/*
 * A worker crashes with starts on their way, which reach its next life, and is
 * cut off soon after it is back.
 */
void
event_back_and_cut(soak_t *soak)
{
	int worker = draw_worker(soak);
	uint32_t late_ms = events_draw(soak, 900, 3000);

	if (worker < 0)
		return;
	soak_print(soak, "worker %d is %u ms late", worker, late_ms);
	events_control(soak, soak->control,
	    "{\"worker\":%d,\"late_starts\":9,\"late_ms\":%u}", worker,
	    late_ms);
	events_disrupt_for(soak, events_draw(soak, 100, 800), run_crash)
	    ->number = (uint32_t)worker;
}

/*
 * The operators ask for the upkeep of two machines, one after the other.
 */
void
event_wave(soak_t *soak)
{
	static uint32_t number;
	int first = draw_worker(soak), second = draw_worker(soak);
	g_autofree char *wave = NULL, *value = NULL, *body = NULL;
	const json_t *rows[2];

	if (!soak->has_machines || first < 0 || first == second)
		return;
	rows[0] = json_array_get(soak->worker_rows, (size_t)first);
	rows[1] = json_array_get(soak->worker_rows, (size_t)second);
	number++;
	soak_print(soak, "wave %u: workers %d and %d", number, first, second);
	wave = g_strdup_printf("{\"wave\":%u,\"machines\":[\"%s\",\"%s\"],"
			       "\"duration_s\":%u,\"max_count\":1}",
	    number, json_string_value(json_object_get(rows[0], "machine")),
	    json_string_value(json_object_get(rows[1], "machine")),
	    WAVE_DURATION_S);
	value = g_base64_encode((const guchar *)wave, strlen(wave));
	body = g_strdup_printf("{\"precondition\":[],\"writes\":[{\"key\":"
			       "\"op/wave/%u\",\"value\":\"%s\"}],"
			       "\"remove\":[]}",
	    number, value);
	(void)gw_httpc_call(soak->store_api, "POST", "/kv-txn", body,
	    CALL_TIMEOUT_MS, soak_on_config, soak);
}
