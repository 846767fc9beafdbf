#include "policy/place_impl.h"

/* Usage reports of a kind before its observed size is used. */
#define MIN_USAGE_REPORTS 3
/* Reserved beyond the peak usage that was observed. */
#define MARGIN_PERCENT 15
/* A peak that is not reached again falls by 1/64 with each report. */
#define PEAK_DECAY_DIVISOR 64

bool
place_size_fits(const place_size_t *size, const place_size_t *room)
{
	for (int r = 0; r < PLACE_RESOURCE_COUNT; r++)
		if (size->of[r] > room->of[r])
			return false;
	return true;
}

void
place_size_add(place_size_t *sum, const place_size_t *size)
{
	for (int r = 0; r < PLACE_RESOURCE_COUNT; r++)
		sum->of[r] += size->of[r];
}

void
place_size_subtract(place_size_t *sum, const place_size_t *size)
{
	for (int r = 0; r < PLACE_RESOURCE_COUNT; r++)
		sum->of[r] -= MIN(sum->of[r], size->of[r]);
}

place_size_t
place_node_free_size(const place_node_t *node)
{
	place_size_t room = {{0}};

	if (node->lost)
		return room;
	room = node->size;
	place_size_subtract(&room, &node->used);
	return room;
}

const place_kind_t *
place_kind_lookup(const place_t *place, const place_job_t *job)
{
	char key[2 * GW_NAME_BYTES + 2];

	g_snprintf(key, sizeof(key), "%s/%s", job->team, job->kind);
	return g_hash_table_lookup(place->kinds, key);
}

static place_kind_t *
kind_get(place_t *place, const place_job_t *job)
{
	place_kind_t *kind = (place_kind_t *)place_kind_lookup(place, job);

	if (kind == NULL) {
		kind = g_new0(place_kind_t, 1);
		g_hash_table_insert(place->kinds,
		    g_strdup_printf("%s/%s", job->team, job->kind), kind);
	}
	return kind;
}

/* Raises what a running job reserves to what it uses. */
static void
raise_reserved(place_t *place, place_job_t *job, const place_size_t *usage)
{
	place_team_t *team = place_team_lookup(place, job->team);

	for (int r = 0; r < PLACE_RESOURCE_COUNT; r++) {
		uint64_t more =
		    usage->of[r] - MIN(usage->of[r], job->reserved.of[r]);

		job->reserved.of[r] += more;
		job->node->used.of[r] += more;
		team->used.of[r] += more;
	}
}

/*
 * Records the usage of a job of its kind. Reports of throttled jobs are ignored
 * because those use less than they need. Reports that arrive after the job
 * ended are recorded.
 */
void
place_record_usage(place_t *place, place_job_t *job, const place_size_t *usage)
{
	place_kind_t *kind;

	if (job->throttled)
		return;
	kind = kind_get(place, job);
	kind->reports++;
	for (int r = 0; r < PLACE_RESOURCE_COUNT; r++) {
		uint64_t peak = kind->peak.of[r];
		kind->peak.of[r] =
		    MAX(peak - peak / PEAK_DECAY_DIVISOR, usage->of[r]);
	}
	if (job->node != NULL && place->ops != &place_declared)
		raise_reserved(place, job, usage);
}

static place_size_t
declared_size(const place_t *place, const place_job_t *job)
{
	(void)place;
	return job->declared;
}

static place_size_t
observed_size(const place_t *place, const place_job_t *job)
{
	const place_kind_t *kind = place_kind_lookup(place, job);
	place_size_t size = job->declared;

	if (kind == NULL || kind->reports < MIN_USAGE_REPORTS)
		return size;
	/* Accelerators are whole devices: a margin would reserve one more. */
	for (int r = 0; r < PLACE_ACCELERATORS; r++)
		size.of[r] = kind->peak.of[r] * (100 + MARGIN_PERCENT) / 100;
	return size;
}

const place_ops_t place_declared = {
    .name = "declared", .size = declared_size, .strict_order = true};
const place_ops_t place_fair = {
    .name = "fair", .size = observed_size, .preempts = true};
