#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "sched/config.h"
#include "sched/key.h"

static void
queue_clear(gpointer data)
{
	sched_queue_t *queue = data;

	g_free(queue->name);
	g_free(queue->host);
	g_free(queue->path_prefix);
}

void
sched_queue_set_key(sched_queue_t *queue)
{
	g_autofree char *host = g_ascii_strdown(queue->host, -1);
	g_autofree char *text =
	    g_strdup_printf("%s %s", host, queue->path_prefix);

	(void)snprintf(queue->key, sizeof(queue->key), "%016" PRIx64,
	    (uint64_t)XXH64(text, strlen(text), 0));
}

/*
 * Returns an empty configuration of version 0.
 */
sched_config_t *
sched_config_new(void)
{
	sched_config_t *config = g_new0(sched_config_t, 1);

	config->queues = g_array_new(FALSE, TRUE, sizeof(sched_queue_t));
	g_array_set_clear_func(config->queues, queue_clear);
	config->pools = g_array_new(FALSE, TRUE, sizeof(sched_pool_config_t));
	config->teams = g_array_new(FALSE, TRUE, sizeof(sched_team_config_t));
	config->keys = sched_keys_new();
	return config;
}

/*
 * Frees a configuration; NULL is allowed.
 */
void
sched_config_free(sched_config_t *config)
{
	if (config == NULL)
		return;
	g_array_free(config->queues, TRUE);
	g_array_free(config->pools, TRUE);
	g_array_free(config->teams, TRUE);
	sched_keys_free(config->keys);
	g_free(config);
}

/*
 * Returns the queue that serves a request, or NULL. The host must match,
 * ignoring case; of the queues whose prefix matches the path, the one with the
 * longest prefix is returned.
 */
const sched_queue_t *
sched_config_find_queue(const sched_config_t *config, const char *host,
    size_t host_bytes, const char *path, size_t path_bytes)
{
	const sched_queue_t *best = NULL;
	size_t best_bytes = 0;

	for (guint i = 0; i < config->queues->len; i++) {
		const sched_queue_t *queue =
		    &g_array_index(config->queues, sched_queue_t, i);
		size_t prefix_bytes = strlen(queue->path_prefix);

		if (prefix_bytes > path_bytes ||
		    (best != NULL && prefix_bytes <= best_bytes) ||
		    memcmp(queue->path_prefix, path, prefix_bytes) != 0)
			continue;
		if (strlen(queue->host) != host_bytes ||
		    g_ascii_strncasecmp(queue->host, host, host_bytes) != 0)
			continue;
		best = queue;
		best_bytes = prefix_bytes;
	}
	return best;
}

uint32_t
sched_config_pool_count(const sched_config_t *config)
{
	uint32_t count = 0;

	for (guint i = 0; i < config->pools->len; i++)
		count += !g_array_index(config->pools, sched_pool_config_t, i)
			      .standby;
	return count;
}

const sched_queue_t *
sched_config_queue_by_key(const sched_config_t *config, const char *key)
{
	for (guint i = 0; i < config->queues->len; i++) {
		const sched_queue_t *queue =
		    &g_array_index(config->queues, sched_queue_t, i);

		if (strcmp(queue->key, key) == 0)
			return queue;
	}
	return NULL;
}

bool
sched_config_has_queue(
    const sched_config_t *config, const char *key, const char *pool)
{
	const sched_queue_t *queue = sched_config_queue_by_key(config, key);

	return queue != NULL && strcmp(queue->pool, pool) == 0;
}

bool
sched_config_is_current(uint64_t current_us, uint64_t now_us, uint32_t apply_ms)
{
	return current_us != 0 &&
	    gw_elapsed_us(now_us, current_us) <= apply_ms * GW_US_PER_MS;
}

/*
 * Returns the queue of a submission by the configuration, which the claim's
 * process may not have had; NULL: there is none.
 */
static const sched_queue_t *
find_queue(const sched_config_claim_t *claim)
{
	const sched_config_t *config = claim->config;

	if (claim->queue_key != NULL && claim->queue_key[0] != '\0')
		return sched_config_queue_by_key(config, claim->queue_key);
	for (guint i = 0; i < config->queues->len; i++) {
		const sched_queue_t *row =
		    &g_array_index(config->queues, sched_queue_t, i);

		if (strcmp(row->name, claim->queue) == 0)
			return row;
	}
	return NULL;
}

bool
sched_config_allows(const sched_config_claim_t *claim)
{
	const sched_config_t *config = claim->config;
	uint64_t known_version = config == NULL ? 0 : config->version;
	const sched_queue_t *queue;

	if (claim->version < claim->seen_version &&
	    known_version < claim->seen_version)
		return false;
	if (known_version <= claim->version)
		return true;
	queue = find_queue(claim);
	return queue != NULL && strcmp(queue->pool, claim->pool) == 0 &&
	    sched_config_allows_key(config, queue, claim->team, claim->key);
}

bool
sched_config_allows_key(const sched_config_t *config,
    const sched_queue_t *queue, const char *team, const sched_key_digest_t *key)
{
	const sched_team_config_t *found;

	if (key == NULL)
		return true;
	switch (sched_config_check_key(config, queue, key, &found)) {
	case SCHED_KEY_NOT_NEEDED:
		return true;
	case SCHED_KEY_OF_TEAM:
		return strcmp(found->name, team) == 0;
	default:
		return false;
	}
}
