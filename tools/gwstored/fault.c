#include <string.h>

#include <glib.h>

#include "fault.h"

/* Largest value of a numeric fault; for delay_ms it is 10 minutes. */
#define COUNT_MAX 600000

static int
set_count(uint32_t *dest, const json_t *value)
{
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value) || number < 0 || number > COUNT_MAX)
		return -1;
	*dest = (uint32_t)number;
	return 0;
}

static int
set_size(uint32_t *dest, const json_t *value)
{
	json_int_t number = json_integer_value(value);

	if (!json_is_integer(value) || number < 0 || number > UINT32_MAX)
		return -1;
	*dest = (uint32_t)number;
	return 0;
}

static int
set_flag(bool *dest, const json_t *value)
{
	*dest = json_is_true(value);
	return json_is_boolean(value) ? 0 : -1;
}

static int
set_down(fault_down_t *dest, const json_t *value)
{
	static const char *const names[] = {"no", "refuse", "hang"};
	const char *name = json_string_value(value);

	for (size_t i = 0; name != NULL && i < G_N_ELEMENTS(names); i++) {
		if (strcmp(name, names[i]) != 0)
			continue;
		*dest = (fault_down_t)i;
		return 0;
	}
	return -1;
}

static int
set_text(char **dest, const json_t *value)
{
	if (!json_is_string(value) && !json_is_null(value))
		return -1;
	g_free(*dest);
	*dest = g_strdup(json_string_value(value));
	return 0;
}

static int
set_fault(faults_t *faults, const char *name, const json_t *value)
{
	if (strcmp(name, "down") == 0)
		return set_down(&faults->down, value);
	if (strcmp(name, "delay_ms") == 0)
		return set_count(&faults->delay_ms, value);
	if (strcmp(name, "lose_answers") == 0)
		return set_count(&faults->lose_answers, value);
	if (strcmp(name, "hang_answers") == 0)
		return set_count(&faults->hang_answers, value);
	if (strcmp(name, "stale_reads") == 0)
		return set_count(&faults->stale_reads, value);
	if (strcmp(name, "value_max_bytes") == 0)
		return set_size(&faults->value_max_bytes, value);
	if (strcmp(name, "watch_double") == 0)
		return set_flag(&faults->watch_double, value);
	if (strcmp(name, "watch_reorder") == 0)
		return set_flag(&faults->watch_reorder, value);
	if (strcmp(name, "compact") == 0)
		return set_flag(&faults->compact, value);
	if (strcmp(name, "cut_watches") == 0)
		return set_flag(&faults->cut_watches, value);
	if (strcmp(name, "raw_answer") == 0)
		return set_text(&faults->raw_answer, value);
	if (strcmp(name, "refuse_prefix") == 0)
		return set_text(&faults->refuse_prefix, value);
	if (strcmp(name, "refuse_writes") == 0)
		return set_count(&faults->refuse_writes, value);
	return -1;
}

/*
 * Sets the faults that are members of the JSON object and leaves the others.
 * Returns 0, or -1 with an error that names the first invalid member; the
 * members before it have been set.
 */
int
faults_update(
    faults_t *faults, const char *json, size_t size_bytes, gw_err_t *err)
{
	json_t *object = json_loadb(json, size_bytes, 0, NULL), *value;
	const char *name;
	int rc = json_is_object(object) ? 0 : -1;

	gw_err_set(err, GW_ERR_INVALID, "control", "", "not a JSON object");
	json_object_foreach(object, name, value)
	{
		if (set_fault(faults, name, value) == 0)
			continue;
		gw_err_set(err, GW_ERR_INVALID, "control", "",
		    "invalid fault name or value: %.100s", name);
		rc = -1;
		break;
	}
	json_decref(object);
	return rc;
}
