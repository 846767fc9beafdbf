#include "policy/cost.h"

/* Bounds memory: further routes use the mean of their class. */
#define COST_MAX_ROUTES 16384
/* After this many samples, each further one has a weight of 1/16. */
#define COST_MEAN_SAMPLES 16

/* Assumed until the first sample of the class. */
static const uint64_t initial_mean_us[CLASS_COUNT] = {
    [CLASS_QUICK] = 10000,
    [CLASS_SETTLEMENT] = 200000,
    [CLASS_ARCHIVE] = 2000000,
};

static gpointer
cost_key(uint32_t route, request_class_t request_class)
{
	return GUINT_TO_POINTER((guint)(route * CLASS_COUNT + request_class));
}

void
cost_init(cost_t *cost)
{
	*cost = (cost_t){0};
	cost->routes = g_hash_table_new_full(NULL, NULL, NULL, g_free);
}

void
cost_clear(cost_t *cost)
{
	g_hash_table_destroy(cost->routes);
}

/*
 * Adds a sample to the mean. It is the arithmetic mean of the first 16 samples;
 * each later sample moves it by 1/16 of the difference, so that it follows a
 * change within 50 samples.
 */
void
cost_mean_add(cost_mean_t *mean, uint64_t service_us)
{
	int64_t diff_us = (int64_t)service_us - (int64_t)mean->mean_us;

	if (mean->samples < COST_MEAN_SAMPLES)
		mean->samples++;
	mean->mean_us += diff_us / (int64_t)mean->samples;
}

/*
 * Records the slot time that a request of the route and class used.
 */
void
cost_record(cost_t *cost, uint32_t route, request_class_t request_class,
    uint64_t service_us)
{
	gpointer key = cost_key(route, request_class);
	cost_mean_t *mean = g_hash_table_lookup(cost->routes, key);

	cost_mean_add(&cost->classes[request_class], service_us);
	if (mean == NULL) {
		if (g_hash_table_size(cost->routes) >= COST_MAX_ROUTES)
			return;
		mean = g_new0(cost_mean_t, 1);
		g_hash_table_insert(cost->routes, key, mean);
	}
	cost_mean_add(mean, service_us);
}

/*
 * Estimates the slot time of a request of the class on any route.
 */
uint64_t
cost_estimate_class_us(const cost_t *cost, request_class_t request_class)
{
	const cost_mean_t *mean = &cost->classes[request_class];

	return mean->samples > 0 ? MAX(mean->mean_us, 1)
				 : initial_mean_us[request_class];
}

/*
 * Estimates the slot time of the next request of the route and class.
 */
uint64_t
cost_estimate_us(
    const cost_t *cost, uint32_t route, request_class_t request_class)
{
	const cost_mean_t *mean =
	    g_hash_table_lookup(cost->routes, cost_key(route, request_class));

	return mean != NULL ? MAX(mean->mean_us, 1)
			    : cost_estimate_class_us(cost, request_class);
}
