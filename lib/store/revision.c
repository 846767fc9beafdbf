#include <string.h>

#include "store/call.h"

/*
 * The revision of the store as a clock that all processes share: a key whose
 * revision the store had passed some time ago has not been written since.
 */

/* Shortest time between two samples. Together they cover 32 s. */
#define SAMPLE_INTERVAL_US (500 * GW_US_PER_MS)

/*
 * Records that the store has reached the revision by now. A revision that
 * follows another one soon is left out; later ones stand for it.
 */
void
store_note_revision(store_t *store, uint64_t revision)
{
	uint64_t now_us = gw_rt_now_us(store->rt);
	const store_sample_t *last;

	if (store->sample_count > 0) {
		last = &store->samples[store->sample_count - 1];
		if (revision <= last->revision ||
		    gw_elapsed_us(now_us, last->seen_us) < SAMPLE_INTERVAL_US)
			return;
	}
	if (store->sample_count == STORE_SAMPLES_MAX) {
		store->sample_count--;
		memmove(&store->samples[0], &store->samples[1],
		    store->sample_count * sizeof(store->samples[0]));
	}
	store->samples[store->sample_count++] =
	    (store_sample_t){revision, now_us};
}

/*
 * Returns for how long at least the store has had this revision or a later one,
 * as far as this process has seen it; 0 if that is not known.
 */
uint64_t
store_revision_age_us(const store_t *store, uint64_t revision)
{
	uint64_t now_us = gw_rt_now_us(store->rt);

	for (uint32_t i = 0; i < store->sample_count; i++)
		if (store->samples[i].revision >= revision)
			return gw_elapsed_us(now_us, store->samples[i].seen_us);
	return 0;
}
