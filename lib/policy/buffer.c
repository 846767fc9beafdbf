#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "gw/clock.h"
#include "policy/buffer.h"

/* One in this many rises within the lead time may exceed the buffer. */
#define EXCEED_ONE_IN 20
/* How long the buffer covers missing instances after the last was missing. */
#define MISSING_RETENTION_US (600 * GW_US_PER_S)

/*
 * Returns the lower of slots, the present demand, and the lowest demand since
 * since_us.
 */
static uint32_t
lowest_since(const buffer_t *buffer, uint64_t since_us, uint32_t slots)
{
	uint64_t kept = MIN(buffer->rounds, BUFFER_HISTORY_ROUNDS);

	for (uint64_t i = 1; i <= kept; i++) {
		uint64_t at = (buffer->rounds - i) % BUFFER_HISTORY_ROUNDS;

		if (buffer->at_us[at] < since_us)
			break;
		slots = MIN(slots, buffer->slots[at]);
	}
	return slots;
}

/*
 * Records one round: the total demand in slots, the instances missing through
 * failures, and how far demand rose within lead_us, the time that a move takes.
 */
void
buffer_observe(buffer_t *buffer, uint32_t slots, uint32_t missing,
    uint64_t lead_us, uint64_t now_us)
{
	uint64_t since_us = now_us - MIN(now_us, lead_us);
	uint64_t at = buffer->rounds % BUFFER_HISTORY_ROUNDS;

	buffer->rises[at] = slots - lowest_since(buffer, since_us, slots);
	buffer->at_us[at] = now_us;
	buffer->slots[at] = slots;
	buffer->rounds++;
	if (now_us > buffer->missing_us + MISSING_RETENTION_US)
		buffer->max_missing = 0;
	if (missing > 0) {
		buffer->max_missing = MAX(buffer->max_missing, missing);
		buffer->missing_us = now_us;
	}
}

static int
compare_uint32(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static uint32_t
high_percentile(const uint32_t *samples, uint32_t count)
{
	uint32_t sorted[BUFFER_HISTORY_ROUNDS];

	memcpy(sorted, samples, count * sizeof(sorted[0]));
	qsort(sorted, count, sizeof(sorted[0]), compare_uint32);
	return sorted[count - 1 - count / EXCEED_ONE_IN];
}

/*
 * Returns the number of instances to keep idle. They cover the rise of demand
 * that 19 of 20 rounds did not exceed, the most instances missing lately, and
 * the instances in maintenance. The rise is limited to what the demand lacks
 * of its own high percentile: the pools surge in turn, so demand near that
 * level is not expected to rise further.
 */
uint32_t
buffer_instances(const buffer_t *buffer, uint32_t slots_per_instance,
    uint32_t in_maintenance)
{
	uint32_t kept = (uint32_t)MIN(buffer->rounds, BUFFER_HISTORY_ROUNDS);
	uint32_t rise, highest, now;

	if (kept == 0)
		return 0;
	rise = high_percentile(buffer->rises, kept);
	highest = high_percentile(buffer->slots, kept);
	now = buffer->slots[(buffer->rounds - 1) % BUFFER_HISTORY_ROUNDS];
	rise = MIN(rise, highest - MIN(highest, now));
	slots_per_instance = MAX(slots_per_instance, 1);
	return (rise + slots_per_instance - 1) / slots_per_instance +
	    buffer->max_missing + in_maintenance;
}
