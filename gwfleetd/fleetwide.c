#include <string.h>

#include "fleet_state.h"
#include "fleetwide.h"
#include "status.h"

/*
 * Initializes the state; no other data centre's generation is known.
 */
void
fleetwide_init(fleetwide_t *fleetwide)
{
	memset(fleetwide, 0, sizeof(*fleetwide));
	fleetwide->generations =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/*
 * Frees the known generations.
 */
void
fleetwide_clear(fleetwide_t *fleetwide)
{
	g_hash_table_destroy(fleetwide->generations);
}

/*
 * Returns the highest generation known to be in force in a data centre, or 0.
 */
static uint64_t
known_generation(const fleetwide_t *fleetwide, const char *data_centre)
{
	const uint64_t *generation =
	    g_hash_table_lookup(fleetwide->generations, data_centre);

	return generation == NULL ? 0 : *generation;
}

/*
 * Returns another data centre of the manifest where the generation held here
 * is not known to be in force, or NULL.
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
			    known_generation(&fleet->fleetwide, name) < held)
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

	fleetwide->pending = false;
	if (msg->err != NULL)
		return;
	generation = status_parse_generation(msg->value->value);
	if (generation <= known_generation(fleetwide, fleetwide->requested))
		return;
	g_hash_table_replace(fleetwide->generations,
	    g_strdup(fleetwide->requested),
	    g_memdup2(&generation, sizeof(generation)));
	(void)fleet;
}

/*
 * Reads the status of one data centre.
 */
static void
request_status(fleet_t *fleet, const char *data_centre)
{
	fleetwide_t *fleetwide = &fleet->fleetwide;
	g_autofree char *key = g_strdup_printf("/gw/dc/%s/status", data_centre);

	g_strlcpy(
	    fleetwide->requested, data_centre, sizeof(fleetwide->requested));
	fleetwide->requested_us = fleet_now_us(fleet);
	fleetwide->pending = true;
	fleet->metrics.store_reads->value++;
	fleet->ops->get(
	    fleet->ctx, calls_add(&fleet->calls, on_status, fleetwide), key);
}

/*
 * Checks whether the generation held here is in force in every data centre,
 * also in those that only the previous manifest names. Until then the smaller
 * of the old and the new availability budget applies here, because another
 * data centre may still use its old, larger share.
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
		generation_free_previous(fleet);
	else if (!fleetwide->pending &&
	    fleet_now_us(fleet) >=
		fleetwide->requested_us + FLEETWIDE_READ_MS * GW_US_PER_MS)
		request_status(fleet, behind);
}
