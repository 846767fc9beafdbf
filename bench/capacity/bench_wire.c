#include <stdbool.h>

#include <glib.h>

#include "gw/clock.h"
#include "wire/frame.h"

#include "bench.h"
#include "fit.h"

#define ROUNDS 20

/* The measured message, with the memory of its repeated fields. */
typedef struct {
	Gw__Envelope envelope;
	Gw__View view;
	Gw__Heartbeat heartbeat;
	GPtrArray *items;
	GStringChunk *strings;
} message_t;

static void
message_init(message_t *message)
{
	gw__envelope__init(&message->envelope);
	gw__view__init(&message->view);
	gw__heartbeat__init(&message->heartbeat);
	message->items = g_ptr_array_new_with_free_func(g_free);
	message->strings = g_string_chunk_new(4096);
}

static void
message_clear(message_t *message)
{
	g_ptr_array_free(message->items, TRUE);
	g_string_chunk_free(message->strings);
}

/*
 * Returns prefix followed by the number. The text is freed with the message.
 */
static char *
numbered_name(message_t *message, const char *prefix, uint32_t number)
{
	char text[64];

	(void)g_snprintf(text, sizeof(text), "%s%05u", prefix, number);
	return g_string_chunk_insert(message->strings, text);
}

static Gw__Instance *
instance_new(message_t *message, uint32_t number)
{
	Gw__Instance *instance = g_new(Gw__Instance, 1);

	gw__instance__init(instance);
	instance->id = numbered_name(message, "i-eu-west-1a-", number);
	instance->incarnation = numbered_name(message, "b", number);
	instance->address = numbered_name(message, "10.20.30.", number % 250);
	instance->port = 8080;
	instance->failure_domain = numbered_name(message, "rack-", number / 4);
	instance->pool = numbered_name(message, "pool-", number % 253);
	instance->home_pool = instance->pool;
	instance->state = GW__INSTANCE_STATE__STATE_ACTIVE;
	instance->slots = 8;
	instance->granted = 3;
	return instance;
}

/*
 * Makes the message a full view of size instances.
 */
static void
fill_view(message_t *message, uint32_t size)
{
	for (uint32_t i = 0; i < size; i++)
		g_ptr_array_add(message->items, instance_new(message, i));
	message->view.instances = (Gw__Instance **)message->items->pdata;
	message->view.n_instances = size;
	message->view.full = 1;
	message->envelope.body_case = GW__ENVELOPE__BODY_VIEW;
	message->envelope.view = &message->view;
}

/*
 * Makes the message a heartbeat with the demand of size pools.
 */
static void
fill_heartbeat(message_t *message, uint32_t size)
{
	Gw__PoolDemand *demand;

	for (uint32_t i = 0; i < size; i++) {
		demand = g_new(Gw__PoolDemand, 1);
		gw__pool_demand__init(demand);
		demand->pool = numbered_name(message, "pool-", i);
		demand->queued = 10;
		demand->in_flight = 40;
		demand->slots_wanted = 50;
		g_ptr_array_add(message->items, demand);
	}
	message->heartbeat.demand = (Gw__PoolDemand **)message->items->pdata;
	message->heartbeat.n_demand = size;
	message->heartbeat.sequence = 123456;
	message->heartbeat.sent_us = UINT64_C(1000000000);
	message->envelope.body_case = GW__ENVELOPE__BODY_HEARTBEAT;
	message->envelope.heartbeat = &message->heartbeat;
}

typedef void (*fill_fn_t)(message_t *, uint32_t size);

/* Which message is measured, and whether its size or its time. */
typedef struct {
	fill_fn_t fill;
	bool measures_bytes;
} wire_case_t;

/*
 * Returns the bytes of the encoded message, or the microseconds to encode and
 * decode it once.
 */
static double
measure_wire(uint32_t size, void *arg)
{
	const wire_case_t *wire_case = arg;
	gw_frame_reader_t reader;
	Gw__Envelope *decoded;
	message_t message;
	gw_clock_t clock;
	uint64_t start_us;
	const void *data;
	gsize size_bytes = 0;
	GBytes *frame;
	double value;

	message_init(&message);
	wire_case->fill(&message, size);
	gw_clock_init_system(&clock);
	gw_frame_reader_init(&reader);
	start_us = gw_clock_now_us(&clock);
	for (uint32_t i = 0; i < ROUNDS; i++) {
		frame = gw_frame_encode(&message.envelope, NULL);
		g_assert(frame != NULL);
		data = g_bytes_get_data(frame, &size_bytes);
		gw_frame_reader_feed(&reader, data, size_bytes);
		g_assert(gw_frame_reader_next(&reader, &decoded, NULL) == 1);
		gw__envelope__free_unpacked(decoded, NULL);
		g_bytes_unref(frame);
	}
	value = (double)(gw_clock_now_us(&clock) - start_us) / ROUNDS;
	if (wire_case->measures_bytes)
		value = (double)size_bytes;
	gw_frame_reader_clear(&reader);
	message_clear(&message);
	return value;
}

/*
 * Measures size and cost of the messages that grow with the fleet: views
 * against the number of instances, heartbeats against that of pools.
 */
void
bench_wire(void)
{
	static const uint32_t instances[] = {100, 450, 900, 1820};
	static const uint32_t pools[] = {5, 60, 120, 253};
	wire_case_t cases[] = {{fill_view, true}, {fill_view, false},
	    {fill_heartbeat, true}, {fill_heartbeat, false}};
	fit_t fits[] = {
	    {.name = "full view", .y_unit = "bytes", .x_unit = "instance"},
	    {.name = "full view, encode and decode",
		.y_unit = "us",
		.x_unit = "instance"},
	    {.name = "heartbeat", .y_unit = "bytes", .x_unit = "pool"},
	    {.name = "heartbeat, encode and decode",
		.y_unit = "us",
		.x_unit = "pool"},
	};

	for (uint32_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fit_run(&fits[i], i < 2 ? instances : pools,
		    G_N_ELEMENTS(pools), measure_wire, &cases[i]);
		fit_print(&fits[i]);
	}
}
