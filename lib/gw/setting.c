#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "gw/setting.h"

/* argp takes keys below this value for short options. */
#define KEY_BASE 256

typedef struct {
	const gw_setting_t *settings;
	size_t count;
	const char **values; /* by setting; NULL if not on the command line */
	gw_err_t *err;
} parse_state_t;

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
	parse_state_t *parse = state->input;
	size_t i;

	if (key >= KEY_BASE && (size_t)(key - KEY_BASE) < parse->count) {
		i = (size_t)(key - KEY_BASE);
		parse->values[i] = arg == NULL ? "true" : arg;
		return 0;
	}
	if (key == ARGP_KEY_ARG)
		argp_error(state, "unexpected argument '%s'", arg);
	return ARGP_ERR_UNKNOWN;
}

/*
 * Returns the value of the setting's environment variable, or NULL.
 */
static const char *
lookup_environment(const char *name)
{
	char *variable, *upper;
	const char *value;

	upper = g_ascii_strup(name, -1);
	variable = g_strconcat("GW_", g_strdelimit(upper, "-", '_'), NULL);
	value = getenv(variable);
	g_free(variable);
	g_free(upper);
	return value;
}

static int
store_addrs(GArray **dest, const char *value, gw_err_t *err)
{
	g_auto(GStrv) parts = g_strsplit(value, ",", -1);
	gw_addr_t addr;

	*dest = g_array_new(FALSE, FALSE, sizeof(gw_addr_t));
	for (char **part = parts; *part != NULL; part++) {
		if (**part == '\0')
			continue;
		if (gw_addr_parse(&addr, *part, err) != 0)
			return -1;
		g_array_append_val(*dest, addr);
	}
	return 0;
}

static int
store_u32(const gw_setting_t *setting, const char *value, gw_err_t *err)
{
	guint64 number;

	if (!g_ascii_string_to_unsigned(
		value, 10, setting->min, setting->max, &number, NULL)) {
		gw_err_set(err, GW_ERR_INVALID, "check settings", "",
		    "'%s' is not a whole number from %u to %u", value,
		    setting->min, setting->max);
		return -1;
	}
	*(uint32_t *)setting->dest = (uint32_t)number;
	return 0;
}

static int
store_flag(bool *dest, const char *value, gw_err_t *err)
{
	*dest = strcmp(value, "true") == 0;
	if (*dest || strcmp(value, "false") == 0)
		return 0;
	gw_err_set(err, GW_ERR_INVALID, "check settings", "",
	    "'%s' is neither true nor false", value);
	return -1;
}

static int
store_value(const gw_setting_t *setting, const char *value, gw_err_t *err)
{
	switch (setting->kind) {
	case GW_SETTING_TEXT:
		*(char **)setting->dest = g_strdup(value);
		return 0;
	case GW_SETTING_U32:
		return store_u32(setting, value, err);
	case GW_SETTING_ADDR:
		return gw_addr_parse(setting->dest, value, err);
	case GW_SETTING_ADDRS:
		return store_addrs(setting->dest, value, err);
	case GW_SETTING_FLAG:
		return store_flag(setting->dest, value, err);
	}
	return -1;
}

/*
 * Sets one setting from value (the command line's, may be NULL), else from the
 * environment, else from its default. The text of an error begins with the
 * setting's name.
 */
static int
load_setting(const gw_setting_t *setting, const char *value, gw_err_t *err)
{
	gw_err_t inner;

	if (value == NULL)
		value = lookup_environment(setting->name);
	if (value == NULL)
		value = setting->initial;
	if (value == NULL) {
		gw_err_set(err, GW_ERR_INVALID, "check settings", "",
		    "--%s: a value is required", setting->name);
		return -1;
	}
	if (store_value(setting, value, &inner) == 0)
		return 0;
	gw_err_set(err, GW_ERR_INVALID, "check settings", "", "--%s: %.200s",
	    setting->name, inner.text);
	return -1;
}

/*
 * Reads and checks all settings. Returns 0, or -1 with an error that names the
 * setting. argp exits the program on an unknown option and after --help.
 */
int
gw_settings_load(const gw_setting_t *settings, size_t count, int argc,
    char **argv, const char *doc, gw_err_t *err)
{
	g_autofree struct argp_option *options =
	    g_new0(struct argp_option, count + 1);
	g_autofree const char **values = g_new0(const char *, count);
	parse_state_t parse = {settings, count, values, err};
	struct argp argp = {options, parse_option, NULL, doc, NULL, NULL, NULL};

	for (size_t i = 0; i < count; i++) {
		options[i].name = settings[i].name;
		options[i].key = KEY_BASE + (int)i;
		options[i].arg =
		    settings[i].kind == GW_SETTING_FLAG ? NULL : "VALUE";
		options[i].doc = settings[i].help;
	}
	if (argp_parse(&argp, argc, argv, 0, NULL, &parse) != 0)
		return -1;
	for (size_t i = 0; i < count; i++)
		if (load_setting(&settings[i], values[i], err) != 0)
			return -1;
	return 0;
}
