#include <math.h>

#include <glib.h>

#include "policy/outlier.h"

/* Outcomes remembered per instance. */
#define RING_OUTCOMES 32
/* Evidence older than this does not count. */
#define EVIDENCE_US (10 * GW_US_PER_S)
/* An instance is compared with its peers at most this often. */
#define CHECK_US (20 * GW_US_PER_MS)
/* -ln of the chance that a healthy instance is taken out: one in a million. */
#define MIN_SURPRISE 13.8
/* An instance must fail this much more often than its peers. */
#define MIN_EXCESS 0.25
#define MIN_PEERS 1
/* Time out at first; it doubles with each failed probation. */
#define OUT_US (5 * GW_US_PER_S)
#define OUT_MAX_US (80 * GW_US_PER_S)
/* Successes in a row that end the probation. */
#define PROBATION_SUCCESSES 3
/* Peers failing more often than this show a fault of the whole service. */
#define SERVICE_FAULT_RATE 0.5

/* Lengths of the latest outcomes that are tested, shortest first. */
static const uint32_t windows[] = {5, 10, 20, RING_OUTCOMES};

typedef struct {
	uint64_t at_us;
	bool failed;
} outcome_t;

typedef struct {
	char *id;
	outcome_t ring[RING_OUTCOMES];
	uint64_t reports; /* outcomes ever recorded */
	uint64_t checked_us;
	outlier_state_t state;
	uint64_t out_until_us;
	uint64_t out_us; /* length of the next time out */
	uint64_t back_us;
	uint32_t proved; /* successes on probation */
} instance_t;

struct outlier {
	const gw_clock_t *clock;
	uint32_t max_out_percent;
	uint32_t out;
	uint64_t alone_us;     /* when an instance last failed without peers */
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
	inst->out_us = OUT_US;
	g_hash_table_insert(o->instances, inst->id, inst);
}

void
outlier_remove(outlier_t *o, const char *instance_id)
{
	instance_t *inst = g_hash_table_lookup(o->instances, instance_id);

	if (inst == NULL)
		return;
	if (inst->state != OUTLIER_IN)
		o->out--;
	g_hash_table_remove(o->instances, instance_id);
}

/*
 * The i-th latest outcome, or NULL when there is none within the evidence.
 */
static const outcome_t *
latest(const instance_t *inst, uint32_t i, uint64_t since_us)
{
	const outcome_t *outcome;

	if (i >= RING_OUTCOMES || i >= inst->reports)
		return NULL;
	outcome = &inst->ring[(inst->reports - 1 - i) % RING_OUTCOMES];
	return outcome->at_us < since_us ? NULL : outcome;
}

static bool
failure_rate(const instance_t *inst, uint64_t since_us, double *rate)
{
	const outcome_t *outcome;
	uint32_t n = 0, failed = 0;

	while ((outcome = latest(inst, n, since_us)) != NULL) {
		failed += outcome->failed;
		n++;
	}
	if (n == 0)
		return false;
	*rate = (double)failed / n;
	return true;
}

/*
 * Mean failure rate of the other instances since since_us. Every peer counts
 * the same: an instance that fails fast gets more requests than the rest.
 */
static uint32_t
peer_rate(
    const outlier_t *o, const instance_t *self, uint64_t since_us, double *rate)
{
	const instance_t *peer;
	GHashTableIter iter;
	uint32_t peers = 0;
	double sum = 0, one;

	g_hash_table_iter_init(&iter, o->instances);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&peer)) {
		if (peer == self || peer->state != OUTLIER_IN ||
		    !failure_rate(peer, since_us, &one))
			continue;
		sum += one;
		peers++;
	}
	/* One half of a failure keeps the rate above zero. */
	*rate = (sum + 0.5) / (peers + 1);
	return peers;
}

/*
 * Chernoff bound: -ln of the chance of k failures in n at rate p, k/n > p.
 */
static double
surprise(uint32_t k, uint32_t n, double p)
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
 * Compares the latest n outcomes with those of the peers since the first of
 * them. The same span of time matters: when a whole service starts to fail,
 * older successes of the peers would make every instance an outlier.
 */
static bool
window_bad(outlier_t *o, const instance_t *inst, uint32_t n, uint64_t oldest_us)
{
	const outcome_t *outcome = NULL;
	uint32_t failed = 0;
	double rate;

	for (uint32_t i = 0; i < n; i++) {
		outcome = latest(inst, i, oldest_us);
		if (outcome == NULL)
			return false;
		failed += outcome->failed;
	}
	if ((double)failed / n < MIN_EXCESS)
		return false;
	if (peer_rate(o, inst, outcome->at_us, &rate) < MIN_PEERS) {
		o->alone_us = gw_clock_now_us(o->clock);
		return false;
	}
	return (double)failed / n - rate >= MIN_EXCESS &&
	    surprise(failed, n, rate) >= MIN_SURPRISE;
}

static uint64_t
evidence_since_us(const outlier_t *o)
{
	uint64_t now_us = gw_clock_now_us(o->clock);

	return now_us > EVIDENCE_US ? now_us - EVIDENCE_US : 0;
}

static bool
may_take_out(const outlier_t *o)
{
	uint32_t total = g_hash_table_size(o->instances);
	uint32_t limit = total * o->max_out_percent / 100;

	/* A small pool may still lose one bad instance. */
	if (limit == 0 && o->max_out_percent > 0 && total > 1)
		limit = 1;
	return o->out < limit;
}

static void
take_out(instance_t *inst, uint64_t now_us)
{
	inst->state = OUTLIER_OUT;
	inst->out_until_us = now_us + inst->out_us;
	inst->out_us = MIN(2 * inst->out_us, OUT_MAX_US);
	inst->proved = 0;
}

static void
take_in(outlier_t *o, instance_t *inst, uint64_t now_us)
{
	inst->state = OUTLIER_IN;
	inst->reports = 0;
	inst->back_us = now_us;
	o->out--;
}

static void
check(outlier_t *o, instance_t *inst, uint64_t now_us)
{
	if (now_us < inst->checked_us + CHECK_US && inst->checked_us != 0)
		return;
	if (!may_take_out(o))
		return;
	inst->checked_us = now_us;
	for (size_t i = 0; i < G_N_ELEMENTS(windows); i++) {
		if (!window_bad(o, inst, windows[i], evidence_since_us(o)))
			continue;
		o->out++;
		take_out(inst, now_us);
		return;
	}
}

/*
 * On probation one failure takes the instance out for longer, unless its
 * peers fail as well; a few successes in a row bring it back.
 */
static void
report_probation(outlier_t *o, instance_t *inst, bool failed, uint64_t now_us)
{
	double rate;

	if (!failed) {
		if (++inst->proved >= PROBATION_SUCCESSES)
			take_in(o, inst, now_us);
		return;
	}
	if (peer_rate(o, inst, evidence_since_us(o), &rate) >= MIN_PEERS &&
	    rate >= SERVICE_FAULT_RATE)
		take_in(o, inst, now_us);
	else
		take_out(inst, now_us);
}

/*
 * Moves an instance whose time out is over to probation, and forgets earlier
 * times out after a long good time.
 */
static void
age(instance_t *inst, uint64_t now_us)
{
	if (inst->state == OUTLIER_OUT && now_us >= inst->out_until_us)
		inst->state = OUTLIER_PROBATION;
	if (inst->state == OUTLIER_IN && now_us >= inst->back_us + OUT_MAX_US)
		inst->out_us = OUT_US;
}

/*
 * Records an outcome. Faults of callers say nothing about the instance, and
 * late outcomes of one that is out do not count.
 */
void
outlier_report(outlier_t *o, const char *instance_id, outlier_result_t result)
{
	instance_t *inst = g_hash_table_lookup(o->instances, instance_id);
	uint64_t now_us = gw_clock_now_us(o->clock);
	bool failed = result == OUTLIER_FAILURE;

	if (inst == NULL || result == OUTLIER_CALLER_FAULT)
		return;
	age(inst, now_us);
	if (inst->state == OUTLIER_OUT)
		return;
	if (inst->state == OUTLIER_PROBATION) {
		report_probation(o, inst, failed, now_us);
		return;
	}
	inst->ring[inst->reports % RING_OUTCOMES] =
	    (outcome_t){.at_us = now_us, .failed = failed};
	inst->reports++;
	if (failed)
		check(o, inst, now_us);
}

/*
 * State of the instance now; an unknown one counts as in.
 */
outlier_state_t
outlier_state(outlier_t *o, const char *instance_id)
{
	instance_t *inst = g_hash_table_lookup(o->instances, instance_id);

	if (inst == NULL)
		return OUTLIER_IN;
	age(inst, gw_clock_now_us(o->clock));
	return inst->state;
}

/*
 * Instances that are out or on probation.
 */
uint32_t
outlier_out_count(const outlier_t *o)
{
	return o->out;
}

/*
 * True while an instance fails that has no peers to be compared with: another
 * one should take requests as well.
 */
bool
outlier_needs_peers(const outlier_t *o)
{
	return o->alone_us != 0 &&
	    gw_clock_now_us(o->clock) < o->alone_us + EVIDENCE_US;
}
