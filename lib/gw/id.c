#include <stdio.h>

#include <glib.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include "gw/id.h"

/*
 * Writes 128 random bits as 32 hexadecimal digits.
 */
void
gw_id_random(char text[GW_ID_TEXT_BYTES])
{
	(void)snprintf(text, GW_ID_TEXT_BYTES, "%016" PRIx64 "%016" PRIx64,
	    gw_id_random_u64(), gw_id_random_u64());
}

/*
 * Returns 64 random bits.
 */
uint64_t
gw_id_random_u64(void)
{
	uint64_t value;

	if (RAND_bytes((unsigned char *)&value, sizeof(value)) != 1)
		g_error("no random numbers available");
	return value;
}

/*
 * Writes the 128-bit XXH3 hash of the data as 32 hexadecimal digits. The hash
 * identifies content written by godwitline's own tools. It is not
 * cryptographic: someone with write access to the store could produce a
 * collision.
 */
void
gw_id_content(
    const void *data, uint64_t size_bytes, char text[GW_ID_TEXT_BYTES])
{
	XXH128_hash_t hash;

	hash = XXH3_128bits(data, size_bytes);
	(void)snprintf(text, GW_ID_TEXT_BYTES, "%016" PRIx64 "%016" PRIx64,
	    (uint64_t)hash.high64, (uint64_t)hash.low64);
}
