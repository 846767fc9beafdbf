#include <string.h>

#include "fleet_state.h"
#include "fleetwide.h"
#include "status.h"

/*
 * Starts without knowledge of other data centres.
 */
void
fleetwide_init(fleetwide_t *fleetwide)
{
	memset(fleetwide, 0, sizeof(*fleetwide));
	fleetwide->generations =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/*
 * Frees what is known.
 */
void
fleetwide_clear(fleetwide_t *fleetwide)
{
	g_hash_table_destroy(fleetwide->generations);
}

static uint64_t
seen(const fleetwide_t *fleetwide, const char *data_centre)
{
	const uint64_t *generation =
	    g_hash_table_lookup(fleetwide->generations, data_centre);

	return generation == NULL ? 0 : *generation;
}

/*
 * Returns a data centre of the manifest, other than the own one, that is not
 * known to have the generation in force, or NULL.
 */
static const char *
find_behind(const fleet_t *fleet, const manifest_t *manifest)
{
	uint64_t held = generation_held(fleet);

	for (guint i = 0; i < manifest->pools->len; i++) {
		const manifest_pool_t *pool =
		    &g_array_index(manifest->pools, manifest_pool_t, i);

		for (guint j = 0; j < pool->sites->len; j++) {
			const char *name =
			    g_array_index(pool->sites, manifest_site_t, j)
				.data_centre;

			if (strcmp(name, fleet->config.data_centre) != 0 &&
			    seen(&fleet->fleetwide, name) < held)
				return name;
		}
	}
	return NULL;
}

static void
on_status(fleet_t *fleet, const fleet_msg_t *msg, void *arg)
{
	fleetwide_t *fleetwide = arg;
	uint64_t generation;

	fleetwide->waits = false;
	if (msg->err != NULL)
		return;
	generation = status_generation_in(msg->value->value);
	if (generation <= seen(fleetwide, fleetwide->asked))
		return;
	g_hash_table_replace(fleetwide->generations, g_strdup(fleetwide->asked),
	    g_memdup2(&generation, sizeof(generation)));
	(void)fleet;
}

/*
 * Reads the status of one data centre.
 */
static void
ask(fleet_t *fleet, const char *data_centre)
{
	fleetwide_t *fleetwide = &fleet->fleetwide;
	g_autofree char *key = g_strdup_printf("/gw/dc/%s/status", data_centre);

	g_strlcpy(fleetwide->asked, data_centre, sizeof(fleetwide->asked));
	fleetwide->asked_us = fleet_now_us(fleet);
	fleetwide->waits = true;
	fleet->metrics.store_reads->value++;
	fleet->ops->get(
	    fleet->ctx, calls_add(&fleet->calls, on_status, fleetwide), key);
}

/*
 * Finds out whether the generation is in force in every data centre. Until it
 * is, the smaller of the old and the new budget applies here: another data
 * centre may still use its old, larger share.
 */
void
fleetwide_tick(fleet_t *fleet)
{
	fleetwide_t *fleetwide = &fleet->fleetwide;
	const generation_t *generation = &fleet->generation;
	const char *behind;

	if (generation->previous == NULL ||
	    fleet->status_generation < generation_held(fleet))
		return;
	behind = find_behind(fleet, generation->manifest);
	if (behind == NULL)
		behind = find_behind(fleet, generation->previous);
	if (behind == NULL)
		generation_in_force(fleet);
	else if (!fleetwide->waits &&
	    fleet_now_us(fleet) >=
		fleetwide->asked_us + FLEETWIDE_READ_MS * GW_US_PER_MS)
		ask(fleet, behind);
}
