#include <stdio.h>
#include <string.h>

#include "soak.h"

/*
 * Two teams: one with a quota, which each version changes, and one whose second
 * key is another in each version.
 */

/* One in so many short jobs is of the team with the quota. */
#define LIMITED_SHARE 12
/* One in so many others is handed in with the key of its version. */
#define ROTATING_SHARE 6
#define QUOTA_MIN_MILLIS 2000
#define QUOTA_STEP_MILLIS 1500
#define OVERSHOOT_PERCENT 10
/* What a task of a job that does not last takes. */
#define TASK_MILLIS 500
/* A version may be in force elsewhere for this time after the next one. */
#define VERSION_OVERLAP_MS (CONFIG_APPLY_MS + 1000)

typedef struct {
	uint64_t begun_ms; /* its write was sent */
	uint64_t acked_ms; /* 0: no response */
} version_t;

static GArray *versions; /* version_t, from version 1 on */
static uint32_t ran_millis, most_percent;
static char rotating_key[32];

static const version_t *
version_at(uint32_t version)
{
	return &g_array_index(versions, version_t, version - 1);
}

static uint32_t
quota_of(uint32_t version)
{
	return QUOTA_MIN_MILLIS + version % 3 * QUOTA_STEP_MILLIS;
}

/*
 * Draws whether there are teams, apart from the other draws of the seed.
 */
void
teams_draw(soak_t *soak, uint32_t seed)
{
	GRand *random = g_rand_new_with_seed(~seed);

	soak->has_teams = g_rand_boolean(random);
	g_rand_free(random);
	versions = g_array_new(FALSE, TRUE, sizeof(version_t));
}

/*
 * Appends the teams of the version that is about to be written.
 */
void
teams_append(const soak_t *soak, GString *config)
{
	if (!soak->has_teams)
		return;
	g_string_append_printf(config,
	    ",\"tenants\":[{\"name\":\"limited\",\"weight\":20,"
	    "\"api_keys\":[\"key-limited\"],\"max_count\":{\"cpu\":%u,"
	    "\"mem_mb\":0,\"gpu\":0}},{\"name\":\"free\",\"weight\":50,"
	    "\"api_keys\":[\"key-free\",\"key-%u\"]}]",
	    quota_of(soak->config_version), soak->config_version);
}

void
teams_version_begins(soak_t *soak)
{
	version_t version = {.begun_ms = soak_now_ms()};

	(void)soak;
	g_array_append_val(versions, version);
}

void
teams_version_acked(soak_t *soak)
{
	g_array_index(versions, version_t, soak->config_version - 1).acked_ms =
	    soak_now_ms();
}

void
teams_draw_job(const soak_t *soak, job_t *job)
{
	if (!soak->has_teams || job->kind == JOB_CANCELLED)
		return;
	job->is_limited = g_random_int_range(0, LIMITED_SHARE) == 0;
	if (!job->is_limited && g_random_int_range(0, ROTATING_SHARE) == 0)
		job->key_version = soak->config_version;
}

/*
 * Returns the key for a request about the job. The key of a version is used for
 * submissions only.
 */
const char *
teams_key(const soak_t *soak, const job_t *job, bool is_submission)
{
	if (!soak->has_teams)
		return NULL;
	if (job->is_limited)
		return "key-limited";
	if (!is_submission || job->key_version == 0)
		return "key-free";
	(void)snprintf(
	    rotating_key, sizeof(rotating_key), "key-%u", job->key_version);
	return rotating_key;
}

/*
 * Checks that a job is not accepted by a key that was withdrawn before the job
 * was handed in for the first time, and in time.
 */
void
teams_check_accepted(soak_t *soak, const job_t *job)
{
	uint64_t acked_ms;

	if (job->key_version == 0 || job->key_version >= soak->config_version)
		return;
	acked_ms = version_at(job->key_version + 1)->acked_ms;
	if (acked_ms != 0 && job->sent_ms > acked_ms + CONFIG_APPLY_MS)
		soak_violation(soak, job->id,
		    "KEY job=%s accepted by the key of version %u", job->id,
		    job->key_version);
}

static uint32_t
highest_quota(const soak_t *soak)
{
	uint32_t highest = quota_of(soak->config_version);

	for (uint32_t version = soak->config_version; version > 1; version--) {
		const version_t *next = version_at(version);

		if (next->acked_ms != 0 &&
		    soak_now_ms() > next->acked_ms + VERSION_OVERLAP_MS)
			break;
		highest = MAX(highest, quota_of(version - 1));
	}
	return highest;
}

static bool
is_of_limited(const soak_t *soak, const char *task)
{
	for (guint i = 0; i < soak->jobs->len; i++) {
		const job_t *job = soak->jobs->pdata[i];

		if (g_str_has_prefix(task, job->id))
			return job->is_limited;
	}
	return false;
}

/*
 * Checks that no start brings what the team runs above its quota, 10 percent
 * and one task.
 */
void
teams_check_running(soak_t *soak, const json_t *tasks)
{
	uint32_t runs_millis = 0, bound;
	const json_t *task;
	size_t i;

	if (!soak->has_teams)
		return;
	json_array_foreach(
	    tasks, i, task) if (is_of_limited(soak, json_string_value(task)))
	    runs_millis += TASK_MILLIS;
	bound =
	    highest_quota(soak) * (100 + OVERSHOOT_PERCENT) / 100 + TASK_MILLIS;
	most_percent = MAX(most_percent, runs_millis * 100 / bound);
	if (runs_millis > bound && runs_millis > ran_millis) {
		g_autofree char *key =
		    g_strdup_printf("quota %u of %u", runs_millis, bound);

		soak_violation(
		    soak, key, "QUOTA %u runs, %u allowed", runs_millis, bound);
	}
	ran_millis = runs_millis;
}

/*
 * Returns whether a job may have to wait for its team's quota, of which half is
 * in use.
 */
bool
teams_may_wait(const soak_t *soak, const job_t *job)
{
	return job->is_limited &&
	    ran_millis >= quota_of(soak->config_version) / 2;
}

/*
 * Returns the most that the team with a quota ran, of what is allowed.
 */
uint32_t
teams_most_percent(void)
{
	return most_percent;
}
