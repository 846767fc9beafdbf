#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "options.h"

#define TIMEOUT_MAX_MS 600000
#define WAIT_MAX_S 3600

enum {
	KEY_STORE = 256,
	KEY_ADMIN,
	KEY_ADDRESS,
	KEY_JSON,
	KEY_TIMEOUT,
	KEY_EXPECT,
	KEY_WAIT,
	KEY_WAIT_TIMEOUT,
	KEY_BY
};

/* An option with its environment variable and its default. */
typedef struct {
	int key;
	const char *variable;
	const char *initial; /* NULL: the name of the user */
} default_t;

static const default_t defaults[] = {
    {KEY_STORE, "GW_STORE", "127.0.0.1:2379"},
    {KEY_ADMIN, "GW_ADMIN", "127.0.0.1:7070"},
    {KEY_TIMEOUT, "GW_TIMEOUT_MS", "2000"},
    {KEY_WAIT_TIMEOUT, "GW_WAIT_TIMEOUT_S", "30"},
    {KEY_BY, "GW_APPLIED_BY", NULL},
};

static const struct argp_option options[] = {
    {"store", KEY_STORE, "IP:PORT", 0, "the platform's store (GW_STORE)", 0},
    {"admin", KEY_ADMIN, "IP:PORT", 0, "admin port of a gwfleetd (GW_ADMIN)",
	0},
    {"address", KEY_ADDRESS, "IP:PORT[,...]", 0,
	"metrics ports of gwentryd processes, for 'entry'", 0},
    {"json", KEY_JSON, NULL, 0, "print JSON instead of tables", 0},
    {"timeout-ms", KEY_TIMEOUT, "MS", 0, "for one call (GW_TIMEOUT_MS)", 0},
    {"expect-generation", KEY_EXPECT, "N", 0,
	"apply only when the store has generation N", 1},
    {"wait", KEY_WAIT, NULL, 0,
	"after apply, wait until it is in force everywhere", 1},
    {"wait-timeout-s", KEY_WAIT_TIMEOUT, "S", 0,
	"bound on --wait (GW_WAIT_TIMEOUT_S)", 1},
    {"by", KEY_BY, "NAME", 0, "who applies (GW_APPLIED_BY)", 1},
    {0},
};

typedef struct {
	ctl_t *ctl;
	char **args; /* the arguments that are not options */
	int count;   /* of args */
} parse_state_t;

static uint64_t
parse_number(const char *name, const char *text, uint64_t max,
    const struct argp_state *state)
{
	guint64 value = 0;

	if (!g_ascii_string_to_unsigned(text, 10, 0, max, &value, NULL))
		argp_error(state, "%s: '%s' is not a number from 0 to %" PRIu64,
		    name, text, max);
	return value;
}

static void
set_addr(gw_addr_t *addr, const char *name, const char *text,
    const struct argp_state *state)
{
	gw_err_t error;

	if (gw_addr_parse(addr, text, &error) != 0)
		argp_error(state, "%s: %s", name, error.text);
}

/*
 * Sets the name of who applies: UTF-8, and short enough for the root record.
 */
static void
set_by(ctl_t *ctl, const char *text, const struct argp_state *state)
{
	if (*text == '\0' || strlen(text) >= sizeof(ctl->applied_by) ||
	    !g_utf8_validate(text, -1, NULL))
		argp_error(state, "--by: must be 1 to %zu bytes of UTF-8",
		    sizeof(ctl->applied_by) - 1);
	g_strlcpy(ctl->applied_by, text, sizeof(ctl->applied_by));
}

/*
 * Sets one option. Returns false for an unknown key.
 */
static bool
set_option(ctl_t *ctl, int key, const char *arg, const struct argp_state *state)
{
	switch (key) {
	case KEY_STORE:
		set_addr(&ctl->store_addr, "--store", arg, state);
		return true;
	case KEY_ADMIN:
		set_addr(&ctl->admin_addr, "--admin", arg, state);
		return true;
	case KEY_ADDRESS:
		ctl->entry_addresses = arg;
		return true;
	case KEY_JSON:
		ctl->json = true;
		return true;
	case KEY_TIMEOUT:
		ctl->timeout_ms = (uint32_t)parse_number(
		    "--timeout-ms", arg, TIMEOUT_MAX_MS, state);
		return true;
	case KEY_EXPECT:
		ctl->expect_set = true;
		ctl->expect_generation =
		    parse_number("--expect-generation", arg, INT64_MAX, state);
		return true;
	case KEY_WAIT:
		ctl->wait = true;
		return true;
	case KEY_WAIT_TIMEOUT:
		ctl->wait_timeout_s = (uint32_t)parse_number(
		    "--wait-timeout-s", arg, WAIT_MAX_S, state);
		return true;
	case KEY_BY:
		set_by(ctl, arg, state);
		return true;
	default:
		return false;
	}
}

static void
set_defaults(ctl_t *ctl, const struct argp_state *state)
{
	const char *value;

	for (size_t i = 0; i < G_N_ELEMENTS(defaults); i++) {
		value = getenv(defaults[i].variable);
		if (value == NULL)
			value = defaults[i].initial;
		if (value == NULL)
			value = g_get_user_name();
		(void)set_option(ctl, defaults[i].key, value, state);
	}
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	parse_state_t *parse = state->input;

	if (key == ARGP_KEY_INIT) {
		set_defaults(parse->ctl, state);
		return 0;
	}
	if (key == ARGP_KEY_ARG) {
		parse->args[parse->count++] = arg;
		return 0;
	}
	return set_option(parse->ctl, key, arg, state) ? 0 : ARGP_ERR_UNKNOWN;
}

/*
 * Reads the options, at any position, and the environment; the option takes
 * precedence. Returns the number of arguments moved to args, which must have
 * room for argc pointers.
 */
int
options_parse(ctl_t *ctl, int argc, char **argv, char **args)
{
	static const struct argp argp = {options, parse_option,
	    "COMMAND [ARGUMENT...]",
	    "Manages godwitline's manifest and shows its state.\v"
	    "Commands: manifest check|apply|show|diff|history, status, pools, "
	    "instances, waves [start|halt], jobs [submit], explain, "
	    "entry teams|job. "
	    "See gwctl(1).",
	    NULL, NULL, NULL};
	parse_state_t parse = {ctl, args, 0};

	(void)argp_parse(&argp, argc, argv, 0, NULL, &parse);
	return parse.count;
}

/*
 * Returns whether --expect-generation or --wait was given.
 */
bool
options_apply_given(const ctl_t *ctl)
{
	return ctl->expect_set || ctl->wait;
}
