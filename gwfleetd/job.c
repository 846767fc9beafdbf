#include <string.h>

#include "job.h"

#define SIZE_MAX_EACH UINT64_C(1000000000)

static const char *const state_names[JOB_STATES] = {"waiting", "starting",
    "running", "checkpointing", "finished", "cancelled", "failed", "unknown"};

/*
 * Returns the name of a state, as in the record and the answers.
 */
const char *
job_state_name(job_state_t state)
{
	return state_names[state];
}

bool
job_ended(const job_t *job)
{
	return job->state >= JOB_FINISHED;
}

bool
job_placed(const job_t *job)
{
	return job->state == JOB_STARTING || job->state == JOB_RUNNING ||
	    job->state == JOB_CHECKPOINTING;
}

static bool
bad(gw_err_t *err, const char *field, const char *why)
{
	gw_err_set(
	    err, GW_ERR_INVALID, "check job", field, "%s: %s", field, why);
	return false;
}

/*
 * Copies a name. Ids become part of keys, paths and log lines, so that only
 * letters, digits, '.', '_' and '-' are taken.
 */
static bool
take_name(const json_t *from, const char *field, size_t max_bytes, char *to,
    gw_err_t *err)
{
	const char *text = json_string_value(json_object_get(from, field));

	if (text == NULL || *text == '\0')
		return bad(err, field, "a non-empty string is required");
	if (strlen(text) > max_bytes)
		return bad(err, field, "the name is too long");
	for (const char *c = text; *c != '\0'; c++)
		if (!g_ascii_isalnum(*c) && strchr("._-", *c) == NULL)
			return bad(err, field,
			    "only letters, digits, '.', '_' and '-' are "
			    "allowed");
	g_strlcpy(to, text, GW_NAME_BYTES);
	return true;
}

static bool
take_number(const json_t *from, const char *field, uint64_t least,
    uint64_t most, uint64_t *to, gw_err_t *err)
{
	const json_t *value = json_object_get(from, field);
	json_int_t number = json_integer_value(value);

	if (value == NULL && least == 0) {
		*to = 0;
		return true;
	}
	if (!json_is_integer(value) || number < (json_int_t)least ||
	    number > (json_int_t)most) {
		gw_err_set(err, GW_ERR_INVALID, "check job", field,
		    "%s: an integer from %lu to %lu is required", field,
		    (unsigned long)least, (unsigned long)most);
		return false;
	}
	*to = (uint64_t)number;
	return true;
}

static bool
take_flag(const json_t *from, const char *field, bool *to, gw_err_t *err)
{
	const json_t *value = json_object_get(from, field);

	if (value != NULL && !json_is_boolean(value))
		return bad(err, field, "true or false is required");
	*to = json_is_true(value);
	return true;
}

static bool
known_fields(const json_t *from, gw_err_t *err)
{
	static const char *const fields[] = {"id", "team", "kind", "service_ms",
	    "cpu_millis", "memory_mib", "accelerators", "urgent", "idempotent",
	    "checkpointable", "throttleable", NULL};
	const json_t *value;
	const char *name;

	json_object_foreach((json_t *)from, name, value)
	{
		if (!g_strv_contains(fields, name))
			return bad(err, name, "there is no such field");
	}
	return true;
}

/*
 * Checks a submitted job. The error names the field. The numbers may be absent
 * where 0 is allowed; the flags are false when absent, so that a job counts as
 * non-idempotent unless its team says otherwise.
 */
bool
job_parse(job_spec_t *spec, const json_t *from, gw_err_t *err)
{
	memset(spec, 0, sizeof(*spec));
	if (!json_is_object(from))
		return bad(err, "body", "a JSON object is required");
	if (json_object_get(from, "kind") == NULL)
		g_strlcpy(spec->kind, "default", sizeof(spec->kind));
	else if (!take_name(from, "kind", JOB_ID_MAX_BYTES, spec->kind, err))
		return false;
	return known_fields(from, err) &&
	    take_name(from, "id", JOB_ID_MAX_BYTES, spec->id, err) &&
	    take_name(from, "team", GW_NAME_BYTES - 1, spec->team, err) &&
	    take_number(from, "service_ms", 1, JOB_SERVICE_MAX_MS,
		&spec->service_ms, err) &&
	    take_number(from, "cpu_millis", 1, SIZE_MAX_EACH,
		&spec->size.of[PLACE_CPU_MILLIS], err) &&
	    take_number(from, "memory_mib", 1, SIZE_MAX_EACH,
		&spec->size.of[PLACE_MEMORY_MIB], err) &&
	    take_number(from, "accelerators", 0, SIZE_MAX_EACH,
		&spec->size.of[PLACE_ACCELERATORS], err) &&
	    take_flag(from, "urgent", &spec->urgent, err) &&
	    take_flag(from, "idempotent", &spec->idempotent, err) &&
	    take_flag(from, "checkpointable", &spec->checkpointable, err) &&
	    take_flag(from, "throttleable", &spec->throttleable, err);
}

/*
 * Tells whether two submissions ask for the same job.
 */
bool
job_spec_equal(const job_spec_t *one, const job_spec_t *other)
{
	for (int r = 0; r < PLACE_RESOURCE_COUNT; r++)
		if (one->size.of[r] != other->size.of[r])
			return false;
	return strcmp(one->id, other->id) == 0 &&
	    strcmp(one->team, other->team) == 0 &&
	    strcmp(one->kind, other->kind) == 0 &&
	    one->service_ms == other->service_ms &&
	    one->urgent == other->urgent &&
	    one->idempotent == other->idempotent &&
	    one->checkpointable == other->checkpointable &&
	    one->throttleable == other->throttleable;
}

/*
 * Returns a waiting job.
 */
job_t *
job_new(const job_spec_t *spec)
{
	job_t *job = g_new0(job_t, 1);
	place_job_t *place = &job->place;

	job->spec = *spec;
	job->left_ms = spec->service_ms;
	g_strlcpy(place->id, spec->id, sizeof(place->id));
	g_strlcpy(place->team, spec->team, sizeof(place->team));
	g_strlcpy(place->kind, spec->kind, sizeof(place->kind));
	place->declared = spec->size;
	place->urgent = spec->urgent;
	place->idempotent = spec->idempotent;
	place->can_throttle = spec->throttleable;
	place->can_checkpoint = spec->checkpointable;
	place->state = PLACE_DONE;
	return job;
}

/*
 * Writes the id of the job's current task. The platform starts a task at most
 * once per id.
 */
void
job_task_id(const job_t *job, char id[GW_NAME_BYTES])
{
	(void)g_snprintf(
	    id, GW_NAME_BYTES, "%s.%u", job->spec.id, job->attempt);
}

/*
 * Returns the job as it is recorded and listed.
 */
json_t *
job_encode(const job_t *job)
{
	const job_spec_t *spec = &job->spec;

	return json_pack("{s:s, s:s, s:s, s:s, s:b, s:I, s:I, s:s, s:s, s:I, "
			 "s:I, s:I, s:I, s:b, s:b, s:b, s:b}",
	    "id", spec->id, "team", spec->team, "kind", spec->kind, "state",
	    state_names[job->state], "cancelling", job->cancelling, "attempt",
	    (json_int_t)job->attempt, "left_ms", (json_int_t)job->left_ms,
	    "instance", job->node, "reason", job->reason, "service_ms",
	    (json_int_t)spec->service_ms, "cpu_millis",
	    (json_int_t)spec->size.of[PLACE_CPU_MILLIS], "memory_mib",
	    (json_int_t)spec->size.of[PLACE_MEMORY_MIB], "accelerators",
	    (json_int_t)spec->size.of[PLACE_ACCELERATORS], "urgent",
	    spec->urgent, "idempotent", spec->idempotent, "checkpointable",
	    spec->checkpointable, "throttleable", spec->throttleable);
}

static void
copy_text(const json_t *from, const char *key, char *to, gsize size_bytes)
{
	const char *text = json_string_value(json_object_get(from, key));

	g_strlcpy(to, text == NULL ? "" : text, size_bytes);
}

static bool
take_state(const json_t *from, job_state_t *state)
{
	const char *name = json_string_value(json_object_get(from, "state"));

	for (int i = 0; i < JOB_STATES; i++) {
		if (g_strcmp0(name, state_names[i]) != 0)
			continue;
		*state = (job_state_t)i;
		return true;
	}
	return false;
}

/*
 * Reads a recorded job. Returns NULL when it is not complete.
 */
job_t *
job_decode(const json_t *from)
{
	json_t *given = json_copy((json_t *)from);
	static const char *const added[] = {
	    "state", "cancelling", "attempt", "left_ms", "instance", "reason"};
	job_spec_t spec;
	job_state_t state;
	gw_err_t err;
	job_t *job;
	bool good;

	for (size_t i = 0; i < G_N_ELEMENTS(added); i++)
		(void)json_object_del(given, added[i]);
	good = job_parse(&spec, given, &err) && take_state(from, &state);
	json_decref(given);
	if (!good)
		return NULL;
	job = job_new(&spec);
	job->state = state;
	job->cancelling = json_is_true(json_object_get(from, "cancelling"));
	job->attempt =
	    (uint32_t)json_integer_value(json_object_get(from, "attempt"));
	job->left_ms =
	    (uint64_t)json_integer_value(json_object_get(from, "left_ms"));
	copy_text(from, "instance", job->node, sizeof(job->node));
	copy_text(from, "reason", job->reason, sizeof(job->reason));
	return job;
}
