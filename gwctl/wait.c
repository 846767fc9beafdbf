#include <err.h>
#include <stdio.h>
#include <string.h>
#include <sysexits.h>

#include <jansson.h>

#include "sync.h"
#include "wait.h"

/* 11 data centres cost 44 of the 2,000 reads a second that all users share. */
#define POLL_MS 250

/* What is known of one data centre. */
typedef struct {
	const char *name;
	bool in_force;
	char why[160]; /* while it is not */
} place_state_t;

/*
 * Lists the data centres that the manifest names, each once.
 */
static GArray *
list_data_centres(const manifest_t *manifest)
{
	g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
	GArray *list = g_array_new(FALSE, TRUE, sizeof(place_state_t));
	place_state_t state = {.why = "not asked yet"};
	const manifest_site_t *site;
	const manifest_pool_t *pool;

	for (guint i = 0; i < manifest->pools->len; i++) {
		pool = &g_array_index(manifest->pools, manifest_pool_t, i);
		for (guint j = 0; j < pool->sites->len; j++) {
			site = &g_array_index(pool->sites, manifest_site_t, j);
			state.name = site->data_centre;
			if (g_hash_table_add(seen, (gpointer)state.name))
				g_array_append_val(list, state);
		}
	}
	return list;
}

/*
 * Reads the generation in force from a data centre's status record. Returns -1
 * when the record is malformed.
 */
static int64_t
decode_status(const char *value, size_t size_bytes, const char *name)
{
	json_t *status =
	    json_loadb(value, size_bytes, JSON_REJECT_DUPLICATES, NULL);
	const char *own =
	    json_string_value(json_object_get(status, "data_centre"));
	json_int_t generation =
	    json_integer_value(json_object_get(status, "generation"));

	if (own == NULL || strcmp(own, name) != 0 ||
	    !json_is_integer(json_object_get(status, "generation")))
		generation = -1;
	json_decref(status);
	return generation;
}

static void
ask(ctl_t *ctl, place_state_t *state, uint64_t generation)
{
	g_autofree char *key = g_strdup_printf("/gw/dc/%s/status", state->name);
	g_autofree char *value = NULL;
	uint64_t mod_revision, store_revision;
	int64_t now;
	size_t size_bytes;
	gw_err_t error;

	if (sync_get(ctl, key, &value, &size_bytes, &mod_revision,
		&store_revision, &error) != 0) {
		(void)snprintf(state->why, sizeof(state->why),
		    "the store gave no status: %.100s", error.text);
		return;
	}
	if (value == NULL) {
		g_strlcpy(state->why, "it has never reported a status",
		    sizeof(state->why));
		return;
	}
	now = decode_status(value, size_bytes, state->name);
	state->in_force = now >= 0 && (uint64_t)now >= generation;
	if (now < 0)
		g_strlcpy(
		    state->why, "its status is malformed", sizeof(state->why));
	else
		(void)snprintf(state->why, sizeof(state->why),
		    "its status says generation %" PRId64, now);
}

/*
 * Asks each data centre that has not confirmed yet. Returns how many are left.
 */
static guint
ask_all(ctl_t *ctl, GArray *list, uint64_t generation, uint64_t start_us)
{
	place_state_t *state;
	guint left = 0;

	for (guint i = 0; i < list->len; i++) {
		state = &g_array_index(list, place_state_t, i);
		if (state->in_force)
			continue;
		ask(ctl, state, generation);
		if (!state->in_force) {
			left++;
			continue;
		}
		(void)fprintf(ctl->json ? stderr : stdout,
		    "data centre %s: generation %" PRIu64
		    " in force after %.1f s\n",
		    state->name, generation,
		    (double)(gw_rt_now_us(ctl->rt) - start_us) / 1e6);
		(void)fflush(stdout);
	}
	return left;
}

/*
 * Waits until the generation is in force in each data centre that the manifest
 * names. Names those that did not confirm in time.
 */
int
wait_everywhere(ctl_t *ctl, const manifest_t *manifest, uint64_t generation)
{
	g_autoptr(GArray) list = list_data_centres(manifest);
	uint64_t start_us = gw_rt_now_us(ctl->rt), waited_us = 0;
	const place_state_t *state;

	while (ask_all(ctl, list, generation, start_us) > 0) {
		waited_us = gw_rt_now_us(ctl->rt) - start_us;
		if (waited_us >= ctl->wait_timeout_s * GW_US_PER_S)
			break;
		sync_sleep(ctl, POLL_MS);
	}
	for (guint i = 0; i < list->len; i++) {
		state = &g_array_index(list, place_state_t, i);
		if (!state->in_force)
			warnx("data centre %s has not confirmed generation "
			      "%" PRIu64 ": %s",
			    state->name, generation, state->why);
	}
	for (guint i = 0; i < list->len; i++)
		if (!g_array_index(list, place_state_t, i).in_force)
			return EXIT_NOT_EVERYWHERE;
	return EX_OK;
}
