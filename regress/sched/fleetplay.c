/*
 * Runs a script of events against fleet_t, the planner's state, on a paused
 * clock, and prints each request and order with the time in milliseconds. The
 * script has one command a line; see commands[].
 */
#include <err.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gw/log.h"
#include "sched/fleet.h"

#define WORDS_MAX 40
#define START_US UINT64_C(1000000000)
#define TICK_MS 100

static gw_clock_t clock_state;
static fleet_t *fleet;
static char *words[WORDS_MAX];
static int word_count;

static uint64_t
now_ms(void)
{
	return (gw_clock_now_us(&clock_state) - START_US) / GW_US_PER_MS;
}

/*
 * Returns the number of the word KEY=NUMBER of the command, or default_value if
 * there is none.
 */
static uint64_t
lookup_number(const char *key, uint64_t default_value)
{
	size_t key_bytes = strlen(key);

	for (int i = 1; i < word_count; i++)
		if (strncmp(words[i], key, key_bytes) == 0 &&
		    words[i][key_bytes] == '=')
			return strtoull(words[i] + key_bytes + 1, NULL, 10);
	return default_value;
}

static void
on_drain(const char *pool, const char *instance, void *arg)
{
	(void)arg;
	printf("%6" PRIu64 " drain %s %s\n", now_ms(), pool, instance);
}

static void
on_instance_ended(const char *pool, const char *instance, void *arg)
{
	(void)arg;
	printf("%6" PRIu64 " ended %s %s\n", now_ms(), pool, instance);
}

static void
on_maintain(const char *machine, uint64_t wave, void *arg)
{
	(void)arg;
	printf("%6" PRIu64 " maintain %s wave=%" PRIu64 "\n", now_ms(), machine,
	    wave);
}

static void
on_move(const char *machine, const char *pool, void *arg)
{
	(void)arg;
	printf("%6" PRIu64 " move %s to %s\n", now_ms(), machine, pool);
}

static void
on_wave_state_changed(uint64_t wave, bool completed, void *arg)
{
	(void)arg;
	printf("%6" PRIu64 " wave %" PRIu64 " %s\n", now_ms(), wave,
	    completed ? "completed" : "running");
}

static void
on_wave_machine_done(uint64_t wave, const char *machine, void *arg)
{
	(void)arg;
	printf(
	    "%6" PRIu64 " wave %" PRIu64 " has %s\n", now_ms(), wave, machine);
}

static const fleet_ops_t ops = {.drain = on_drain,
    .instance_ended = on_instance_ended,
    .maintain = on_maintain,
    .move = on_move,
    .wave_state_changed = on_wave_state_changed,
    .wave_machine_done = on_wave_machine_done};

/* fleet [lend|rate|forecast]: a new fleet with that lending policy, or none. */
static void
do_fleet(void)
{
	const fleet_times_t times = {1500, 2000};
	const fleet_lending_t *lending = &fleet_lending_none;

	if (word_count > 1 && strcmp(words[1], "forecast") == 0)
		lending = &fleet_lending_forecast;
	else if (word_count > 1)
		lending = strcmp(words[1], "rate") == 0 ? &fleet_lending_rate
							: &fleet_lending_demand;

	fleet_free(fleet);
	fleet = fleet_new(&clock_state, lending, &times, &ops, NULL);
}

/* pool NAME [standby] */
static void
do_pool(void)
{
	fleet_set_pool(fleet, words[1], 0, word_count > 2);
}

/*
 * list NAME:POOL:INSTANCE:STATE...: a complete list of the machines. INSTANCE
 * may be empty; a STATE other than up means down.
 */
static void
do_list(void)
{
	fleet_list_begin(fleet);
	for (int i = 1; i < word_count; i++) {
		g_auto(GStrv) parts = g_strsplit(words[i], ":", -1);
		fleet_machine_t machine = {.cpu_millis = 16000};

		if (g_strv_length(parts) != 4)
			errx(1, "'%s' is not NAME:POOL:INSTANCE:STATE",
			    words[i]);
		g_strlcpy(machine.name, parts[0], sizeof(machine.name));
		g_strlcpy(machine.pool, parts[1], sizeof(machine.pool));
		g_strlcpy(machine.instance, parts[2], sizeof(machine.instance));
		machine.up = strcmp(parts[3], "up") == 0;
		fleet_list_add(fleet, &machine);
	}
	fleet_list_end(fleet);
}

/* up INSTANCE MACHINE POOL: the registry has an entry for the instance. */
static void
do_up(void)
{
	sched_instance_info_t info = {.capacity = {16000, 65536, 0}};

	g_strlcpy(info.id, words[1], sizeof(info.id));
	g_strlcpy(info.machine, words[2], sizeof(info.machine));
	g_strlcpy(info.pool, words[3], sizeof(info.pool));
	fleet_instance_up(fleet, &info);
}

/*
 * Adds team:NAME:SUBMITTED to a load report.
 */
static void
add_team(Gw__PoolLoad *load, Gw__TeamLoad *row, char *word)
{
	char *count = strrchr(word, ':');

	*count = '\0';
	gw__team_load__init(row);
	row->team = word + strlen("team:");
	row->submitted = strtoull(count + 1, NULL, 10);
	load->teams[load->n_teams++] = row;
}

/*
 * load POOL instances= used= waiting= waiting_cpu= placed= lasting=
 * lasting_cpu= lasting_used= blocked= IDLE... host:INSTANCE...: the owner's
 * load report. waiting and placed are work in core milliseconds, lasting is the
 * number of long-running tasks without room, lasting_cpu and lasting_used are
 * the CPU of these and of those with room, blocked is the number of jobs with a
 * task that fits nowhere, IDLE are idle instances, and INSTANCE are those that
 * run long-running tasks.
 */
static void
do_load(void)
{
	Gw__PoolLoad load = GW__POOL_LOAD__INIT;
	char *idle[WORDS_MAX], *hosts[WORDS_MAX];
	Gw__TeamLoad rows[WORDS_MAX], *teams[WORDS_MAX];

	load.teams = teams;
	load.instances = (uint32_t)lookup_number("instances", 1);
	load.capacity_cpu_millis = load.instances * UINT64_C(16000);
	load.capacity_memory_mib = load.instances * UINT64_C(65536);
	load.used_cpu_millis = lookup_number("used", 0);
	load.waiting_cpu_ms = lookup_number("waiting", 0);
	load.waiting_cpu_millis =
	    lookup_number("waiting_cpu", load.waiting_cpu_ms);
	load.demand_cpu_ms = lookup_number("placed", 0);
	load.lasting_waiting = (uint32_t)lookup_number("lasting", 0);
	load.lasting_waiting_cpu_millis = lookup_number("lasting_cpu", 0);
	load.lasting_used_cpu_millis = lookup_number("lasting_used", 0);
	load.blocked_jobs = (uint32_t)lookup_number("blocked", 0);
	for (int i = 2; i < word_count; i++)
		if (g_str_has_prefix(words[i], "host:"))
			hosts[load.n_lasting_instances++] =
			    words[i] + strlen("host:");
		else if (g_str_has_prefix(words[i], "team:"))
			add_team(&load, &rows[load.n_teams], words[i]);
		else if (strchr(words[i], '=') == NULL)
			idle[load.n_idle_instances++] = words[i];
	load.idle_instances = idle;
	load.lasting_instances = hosts;
	fleet_set_load(fleet, words[1], &load);
}

/* rates: what teams submit to all pools, in jobs a second */
static void
do_rates(void)
{
	g_autoptr(GArray) rates = fleet_team_rates(fleet);

	printf("rates of %u teams\n", rates->len);
	for (guint i = 0; i < rates->len; i++) {
		const fleet_team_rate_t *rate =
		    &g_array_index(rates, fleet_team_rate_t, i);

		printf("rate %s %" PRIu64 "\n", rate->team,
		    rate->jobs_per_1000s / 1000);
	}
}

/* wave NUMBER DURATION_MS AT_ONCE MACHINE... */
static void
do_wave(void)
{
	g_autoptr(GPtrArray) machines = g_ptr_array_new();

	for (int i = 4; i < word_count; i++)
		g_ptr_array_add(machines, words[i]);
	fleet_add_wave(fleet, strtoull(words[1], NULL, 10), machines,
	    (uint32_t)atoi(words[2]), (uint32_t)atoi(words[3]));
}

/* mark-done WAVE MACHINE: a previous planner had the machine maintained. */
static void
do_mark_done(void)
{
	fleet_wave_mark_done(fleet, strtoull(words[1], NULL, 10), words[2]);
}

/* before MACHINE WAVE MS: a previous planner ordered it; no order for MS. */
static void
do_previous_order(void)
{
	fleet_add_previous_order(fleet, words[1], strtoull(words[2], NULL, 10),
	    strtoull(words[3], NULL, 10));
}

/* drained INSTANCE: the owner responds that nothing runs on the instance. */
static void
do_drained(void)
{
	fleet_handle_drain_response(fleet, words[1], true);
}

/* ordered MACHINE ok|busy|rejected|none: the result of the order. */
static void
do_ordered(void)
{
	static const char *const names[] = {"ok", "busy", "rejected", "none"};

	for (int i = 0; i < (int)G_N_ELEMENTS(names); i++)
		if (strcmp(names[i], words[2]) == 0)
			fleet_handle_order_result(
			    fleet, words[1], (fleet_order_result_t)i);
}

/* advance MS: lets the time pass, with a fleet_tick() every TICK_MS. */
static void
do_advance(void)
{
	uint64_t end_ms = now_ms() + strtoull(words[1], NULL, 10);

	while (now_ms() < end_ms) {
		gw_clock_advance(&clock_state, TICK_MS * GW_US_PER_MS);
		fleet_tick(fleet);
	}
}

/* orders on|off: whether orders can be recorded and sent. */
static void
do_orders(void)
{
	fleet_set_orders_available(fleet, strcmp(words[1], "on") == 0);
}

static void
do_needs_list(void)
{
	printf(
	    "%6" PRIu64 " needs list %d\n", now_ms(), fleet_needs_list(fleet));
}

static const struct {
	const char *name;
	int words_min;
	void (*run)(void);
} commands[] = {
    {"fleet", 1, do_fleet},
    {"pool", 2, do_pool},
    {"list", 1, do_list},
    {"up", 4, do_up},
    {"load", 2, do_load},
    {"rates", 1, do_rates},
    {"wave", 5, do_wave},
    {"mark-done", 3, do_mark_done},
    {"before", 4, do_previous_order},
    {"drained", 2, do_drained},
    {"ordered", 3, do_ordered},
    {"advance", 2, do_advance},
    {"needs-list", 1, do_needs_list},
    {"orders", 2, do_orders},
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
	errx(1, "unknown command '%s'", words[0]);
}

int
main(void)
{
	char line[2048];

	gw_clock_init_paused(&clock_state, START_US);
	while (fgets(line, sizeof(line), stdin) != NULL)
		run_line(line);
	fleet_free(fleet);
	gw_log_flush();
	return 0;
}
