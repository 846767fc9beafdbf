#include <openssl/crypto.h>
#include <openssl/evp.h>

#include "sched/key.h"

/*
 * Callers' keys. Only their digests are kept, so that no log, record or message
 * can show a key. Keys are random texts chosen by the operators, so that a
 * digest does not lead back to one.
 */

static void
wipe_key(gpointer data)
{
	OPENSSL_cleanse(data, sizeof(sched_team_key_t));
}

GArray *
sched_keys_new(void)
{
	GArray *keys = g_array_new(FALSE, TRUE, sizeof(sched_team_key_t));

	g_array_set_clear_func(keys, wipe_key);
	return keys;
}

void
sched_keys_free(GArray *keys)
{
	g_array_free(keys, TRUE);
}

/*
 * Sets the digest of a key. Without SHA-256 the library cannot work at all, and
 * the process ends.
 */
void
sched_key_digest(sched_key_digest_t *digest, const void *key, size_t size_bytes)
{
	if (EVP_Digest(
		key, size_bytes, digest->bytes, NULL, EVP_sha256(), NULL) != 1)
		g_error("no SHA-256 in libcrypto");
}

/*
 * Returns the index of the team that has the key, or -1. The time that this
 * takes does not depend on the key.
 */
static int
find_team(const sched_config_t *config, const sched_key_digest_t *digest)
{
	int team = -1;

	for (guint i = 0; i < config->keys->len; i++) {
		const sched_team_key_t *key =
		    &g_array_index(config->keys, sched_team_key_t, i);

		if (CRYPTO_memcmp(key->digest.bytes, digest->bytes,
			sizeof(digest->bytes)) == 0)
			team = (int)key->team;
	}
	return team;
}

bool
sched_config_add_key(sched_config_t *config, const sched_key_digest_t *digest)
{
	sched_team_key_t key = {.digest = *digest};

	if (config->teams->len == 0 || find_team(config, digest) >= 0)
		return false;
	key.team = config->teams->len - 1;
	g_array_append_val(config->keys, key);
	return true;
}

sched_key_verdict_t
sched_config_check_key(const sched_config_t *config, const sched_queue_t *queue,
    const sched_key_digest_t *digest, const sched_team_config_t **team)
{
	int index;

	*team = NULL;
	if (!config->has_teams || queue->is_public)
		return SCHED_KEY_NOT_NEEDED;
	if (digest == NULL)
		return SCHED_KEY_MISSING;
	index = find_team(config, digest);
	if (index < 0)
		return SCHED_KEY_UNKNOWN;
	*team =
	    &g_array_index(config->teams, sched_team_config_t, (guint)index);
	return SCHED_KEY_OF_TEAM;
}
