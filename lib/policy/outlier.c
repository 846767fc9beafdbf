#include <math.h>

#include <glib.h>

#include "policy/outlier.h"

/* Outcomes remembered per instance. */
#define OUTCOME_RING_SIZE 32
/* Older outcomes are not counted. */
#define OUTCOME_MAX_AGE_US (10 * GW_US_PER_S)
/* An instance is compared with its peers at most this often. */
#define CHECK_INTERVAL_US (20 * GW_US_PER_MS)
/* -ln of the highest chance to eject a healthy instance: one in a million. */
#define MIN_NEG_LOG_CHANCE 13.8
/* An ejected instance fails at a rate that is this much above its peers. */
#define MIN_EXCESS_RATE 0.25
#define MIN_PEERS 1
/* Length of the first ejection; each failed probation doubles it. */
#define EJECTION_US (5 * GW_US_PER_S)
#define EJECTION_MAX_US (80 * GW_US_PER_S)
/* Successes in a row that end the probation. */
#define PROBATION_SUCCESSES 3
/* When the peers fail at this rate, the whole service is taken as faulty. */
#define SERVICE_FAULT_RATE 0.5

/* Numbers of latest outcomes that are tested, lowest first. */
static const uint32_t windows[] = {5, 10, 20, OUTCOME_RING_SIZE};

typedef struct {
	uint64_t at_us;
	bool failed;
} outcome_t;

typedef struct {
	char *id;
	outcome_t ring[OUTCOME_RING_SIZE];
	uint64_t recorded; /* outcomes since it was added or readmitted */
	uint64_t last_check_us;
	outlier_state_t state;
	uint64_t ejected_until_us;
	uint64_t ejection_us;	/* length of the next ejection */
	uint64_t readmitted_us; /* 0: never ejected */
	uint32_t probation_successes;
} instance_t;

struct outlier {
	const gw_clock_t *clock;
	uint32_t max_out_percent;
	uint32_t ejected; /* instances ejected or on probation */
	/* When an instance last failed without peers to compare, 0 never. */
	uint64_t no_peers_us;
	GHashTable *instances; /* id -> instance_t */
};

static void
instance_free(gpointer data)
{
	instance_t *inst = data;

	g_free(inst->id);
	g_free(inst);
}

outlier_t *
outlier_new(const gw_clock_t *clock, uint32_t max_out_percent)
{
	outlier_t *o = g_new0(outlier_t, 1);

	o->clock = clock;
	o->max_out_percent = max_out_percent;
	o->instances =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, instance_free);
	return o;
}

void
outlier_free(outlier_t *o)
{
	if (o == NULL)
		return;
	g_hash_table_destroy(o->instances);
	g_free(o);
}

void
outlier_add(outlier_t *o, const char *instance_id)
{
	instance_t *inst;

	if (g_hash_table_contains(o->instances, instance_id))
		return;
	inst = g_new0(instance_t, 1);
	inst->id = g_strdup(instance_id);
	inst->ejection_us = EJECTION_US;
	g_hash_table_insert(o->instances, inst->id, inst);
}

void
outlier_remove(outlier_t *o, const char *instance_id)
{
	instance_t *inst = g_hash_table_lookup(o->instances, instance_id);

	if (inst == NULL)
		return;
	if (inst->state != OUTLIER_HEALTHY)
		o->ejected--;
	g_hash_table_remove(o->instances, instance_id);
}

/*
 * Returns the i-th latest outcome, or NULL when it is missing or older than
 * since_us.
 */
static const outcome_t *
nth_latest_outcome(const instance_t *inst, uint32_t i, uint64_t since_us)
{
	const outcome_t *outcome;

	if (i >= OUTCOME_RING_SIZE || i >= inst->recorded)
		return NULL;
	outcome = &inst->ring[(inst->recorded - 1 - i) % OUTCOME_RING_SIZE];
	return outcome->at_us < since_us ? NULL : outcome;
}

static bool
failure_rate(const instance_t *inst, uint64_t since_us, double *rate)
{
	const outcome_t *outcome;
	uint32_t n = 0, failed = 0;

	while ((outcome = nth_latest_outcome(inst, n, since_us)) != NULL) {
		failed += outcome->failed;
		n++;
	}
	if (n == 0)
		return false;
	*rate = (double)failed / n;
	return true;
}

/*
 * Writes the mean failure rate of the other instances since since_us and
 * returns their number. Peers count the same whatever their requests: an
 * instance that fails fast gets more requests than the rest.
 */
static uint32_t
mean_peer_failure_rate(
    const outlier_t *o, const instance_t *self, uint64_t since_us, double *rate)
{
	const instance_t *peer;
	GHashTableIter iter;
	uint32_t peers = 0;
	double sum = 0, one;

	g_hash_table_iter_init(&iter, o->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (peer == self || peer->state != OUTLIER_HEALTHY ||
		    !failure_rate(peer, since_us, &one))
			continue;
		sum += one;
		peers++;
	}
	/* An assumed peer with a rate of one half keeps the rate above 0. */
	*rate = (sum + 0.5) / (peers + 1);
	return peers;
}

/*
 * Returns -ln of the Chernoff bound on the chance of k failures in n requests
 * at failure rate p, or 0 when k/n is not above p.
 */
static double
neg_log_chance(uint32_t k, uint32_t n, double p)
{
	double q = (double)k / n, sum = 0;

	if (q <= p)
		return 0;
	sum += q * log(q / p);
	if (q < 1)
		sum += (1 - q) * log((1 - q) / (1 - p));
	return n * sum;
}

/*
 * Returns true when the instance fails far more often in its latest n outcomes
 * than its peers in the same span of time. With a longer span for the peers,
 * their older successes would make every instance an outlier when the whole
 * service starts to fail.
 */
static bool
is_window_outlier(
    outlier_t *o, const instance_t *inst, uint32_t n, uint64_t oldest_us)
{
	const outcome_t *outcome = NULL;
	uint32_t failed = 0;
	double rate;

	for (uint32_t i = 0; i < n; i++) {
		outcome = nth_latest_outcome(inst, i, oldest_us);
		if (outcome == NULL)
			return false;
		failed += outcome->failed;
	}
	if ((double)failed / n < MIN_EXCESS_RATE)
		return false;
	if (mean_peer_failure_rate(o, inst, outcome->at_us, &rate) <
	    MIN_PEERS) {
		o->no_peers_us = gw_clock_now_us(o->clock);
		return false;
	}
	return (double)failed / n - rate >= MIN_EXCESS_RATE &&
	    neg_log_chance(failed, n, rate) >= MIN_NEG_LOG_CHANCE;
}

static uint64_t
oldest_counted_us(const outlier_t *o)
{
	uint64_t now_us = gw_clock_now_us(o->clock);

	return now_us > OUTCOME_MAX_AGE_US ? now_us - OUTCOME_MAX_AGE_US : 0;
}

static bool
may_eject(const outlier_t *o)
{
	uint32_t total = g_hash_table_size(o->instances);
	uint32_t limit = total * o->max_out_percent / 100;

	/* One instance may be ejected even where the percentage gives none. */
	if (limit == 0 && o->max_out_percent > 0 && total > 1)
		limit = 1;
	return o->ejected < limit;
}

static void
eject(instance_t *inst, uint64_t now_us)
{
	inst->state = OUTLIER_EJECTED;
	inst->ejected_until_us = now_us + inst->ejection_us;
	inst->ejection_us = MIN(2 * inst->ejection_us, EJECTION_MAX_US);
	inst->probation_successes = 0;
}

static void
readmit(outlier_t *o, instance_t *inst, uint64_t now_us)
{
	inst->state = OUTLIER_HEALTHY;
	inst->recorded = 0;
	inst->readmitted_us = now_us;
	o->ejected--;
}

static void
check_instance(outlier_t *o, instance_t *inst, uint64_t now_us)
{
	if (now_us < inst->last_check_us + CHECK_INTERVAL_US &&
	    inst->last_check_us != 0)
		return;
	if (!may_eject(o))
		return;
	inst->last_check_us = now_us;
	for (size_t i = 0; i < G_N_ELEMENTS(windows); i++) {
		if (!is_window_outlier(
			o, inst, windows[i], oldest_counted_us(o)))
			continue;
		o->ejected++;
		eject(inst, now_us);
		return;
	}
}

/*
 * Records an outcome on probation. One failure ejects the instance again, for
 * longer, unless its peers fail as well; PROBATION_SUCCESSES successes in a row
 * readmit it.
 */
static void
report_probation(outlier_t *o, instance_t *inst, bool failed, uint64_t now_us)
{
	double rate;

	if (!failed) {
		if (++inst->probation_successes >= PROBATION_SUCCESSES)
			readmit(o, inst, now_us);
		return;
	}
	if (mean_peer_failure_rate(o, inst, oldest_counted_us(o), &rate) >=
		MIN_PEERS &&
	    rate >= SERVICE_FAULT_RATE)
		readmit(o, inst, now_us);
	else
		eject(inst, now_us);
}

/*
 * Moves an instance whose ejection is over to probation. Resets the length of
 * the next ejection once the instance was not ejected for EJECTION_MAX_US.
 */
static void
update_state(instance_t *inst, uint64_t now_us)
{
	if (inst->state == OUTLIER_EJECTED && now_us >= inst->ejected_until_us)
		inst->state = OUTLIER_PROBATION;
	if (inst->state == OUTLIER_HEALTHY &&
	    now_us >= inst->readmitted_us + EJECTION_MAX_US)
		inst->ejection_us = EJECTION_US;
}

/*
 * Records the outcome of a request. Faults of callers and outcomes that arrive
 * while the instance is ejected are ignored.
 */
void
outlier_report(outlier_t *o, const char *instance_id, outlier_result_t result)
{
	instance_t *inst = g_hash_table_lookup(o->instances, instance_id);
	uint64_t now_us = gw_clock_now_us(o->clock);
	bool failed = result == OUTLIER_FAILURE;

	if (inst == NULL || result == OUTLIER_CALLER_FAULT)
		return;
	update_state(inst, now_us);
	if (inst->state == OUTLIER_EJECTED)
		return;
	if (inst->state == OUTLIER_PROBATION) {
		report_probation(o, inst, failed, now_us);
		return;
	}
	inst->ring[inst->recorded % OUTCOME_RING_SIZE] =
	    (outcome_t){.at_us = now_us, .failed = failed};
	inst->recorded++;
	if (failed)
		check_instance(o, inst, now_us);
}

/*
 * Returns the present state of the instance; one that was not added is
 * healthy.
 */
outlier_state_t
outlier_state(outlier_t *o, const char *instance_id)
{
	instance_t *inst = g_hash_table_lookup(o->instances, instance_id);

	if (inst == NULL)
		return OUTLIER_HEALTHY;
	update_state(inst, gw_clock_now_us(o->clock));
	return inst->state;
}

/*
 * Returns the number of instances that are ejected or on probation.
 */
uint32_t
outlier_ejected_count(const outlier_t *o)
{
	return o->ejected;
}

/*
 * Returns true while an instance fails and none of its peers has outcomes to
 * compare: other instances should be sent requests as well.
 */
bool
outlier_needs_peers(const outlier_t *o)
{
	return o->no_peers_us != 0 &&
	    gw_clock_now_us(o->clock) < o->no_peers_us + OUTCOME_MAX_AGE_US;
}
