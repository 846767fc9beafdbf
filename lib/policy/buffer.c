#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "gw/clock.h"
#include "policy/buffer.h"

/* Of the rises within the lead time, one in this many may exceed the buffer. */
#define EXCEED_ONE_IN 20
/* How long a failure keeps its place in the buffer. */
#define FAILURE_KEEP_US (600 * GW_US_PER_S)

/*
 * Lowest demand within the lead time before now: the rise is measured from it.
 */
static uint32_t
lowest_since(const buffer_t *buffer, uint64_t since_us, uint32_t slots)
{
	uint64_t kept = MIN(buffer->rounds, BUFFER_ROUNDS);

	for (uint64_t i = 1; i <= kept; i++) {
		uint64_t at = (buffer->rounds - i) % BUFFER_ROUNDS;

		if (buffer->at_us[at] < since_us)
			break;
		slots = MIN(slots, buffer->slots[at]);
	}
	return slots;
}

/*
 * Takes the total demand of one round and the instances that are missing
 * through failures. lead_us is the time that a move takes.
 */
void
buffer_observe(buffer_t *buffer, uint32_t slots, uint32_t missing,
    uint64_t lead_us, uint64_t now_us)
{
	uint64_t since_us = now_us - MIN(now_us, lead_us);
	uint64_t at = buffer->rounds % BUFFER_ROUNDS;

	buffer->rises[at] = slots - lowest_since(buffer, since_us, slots);
	buffer->at_us[at] = now_us;
	buffer->slots[at] = slots;
	buffer->rounds++;
	if (now_us > buffer->failed_us + FAILURE_KEEP_US)
		buffer->failed = 0;
	if (missing > 0) {
		buffer->failed = MAX(buffer->failed, missing);
		buffer->failed_us = now_us;
	}
}

static int
by_size(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static uint32_t
nearly_highest(const uint32_t *samples, uint32_t count)
{
	uint32_t sorted[BUFFER_ROUNDS];

	memcpy(sorted, samples, count * sizeof(sorted[0]));
	qsort(sorted, count, sizeof(sorted[0]), by_size);
	return sorted[count - 1 - count / EXCEED_ONE_IN];
}

/*
 * Idle instances to hold: the rise of demand that 99 of 100 rounds stayed
 * below, the failures seen lately, and the instances in maintenance. Demand
 * that is near its highest level already is not expected to rise as far: the
 * pools surge in turn.
 */
uint32_t
buffer_instances(
    const buffer_t *buffer, uint32_t slots_per_instance, uint32_t serviced)
{
	uint32_t kept = (uint32_t)MIN(buffer->rounds, BUFFER_ROUNDS);
	uint32_t rise, highest, now;

	if (kept == 0)
		return 0;
	rise = nearly_highest(buffer->rises, kept);
	highest = nearly_highest(buffer->slots, kept);
	now = buffer->slots[(buffer->rounds - 1) % BUFFER_ROUNDS];
	rise = MIN(rise, highest - MIN(highest, now));
	slots_per_instance = MAX(slots_per_instance, 1);
	return (rise + slots_per_instance - 1) / slots_per_instance +
	    buffer->failed + serviced;
}
