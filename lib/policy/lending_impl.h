#ifndef POLICY_LENDING_IMPL_H
#define POLICY_LENDING_IMPL_H

#include "policy/buffer.h"
#include "policy/plan_index.h"
#include "policy/surge.h"

/* What is remembered of a pool between rounds. */
typedef struct {
	char *name;
	surge_t surge;
	uint32_t short_rounds; /* rounds in a row with too little capacity */
	uint32_t peak;	       /* most instances needed lately */
	uint64_t peak_us;
	uint64_t seen_us;
	uint32_t hold;
	/* Of the present round: */
	plan_pool_t *pool;
	uint32_t slots;	      /* per instance */
	uint32_t need;	      /* instances */
	uint32_t have;	      /* instances, those on their way included */
	uint32_t elsewhere;   /* instances' worth of slots elsewhere */
	bool stale;	      /* its report is late */
	uint32_t to_maintain; /* active instances that a wave waits for */
} lending_pool_t;

/* A lending rule with the loans that it covers now. */
typedef struct {
	const manifest_loan_rule_t *rule;
	uint32_t lent;
} lending_rule_t;

/* A move that was decided, until its instance has arrived and settled. */
typedef struct {
	uint64_t moved_us;
	uint64_t idle_us; /* since when its pool does not need it */
	bool arrived;
} lending_move_t;

struct plan_lending {
	GHashTable *pools; /* name -> lending_pool_t */
	GHashTable *moves; /* instance id -> lending_move_t */
	buffer_t buffer;
	uint32_t buffer_instances;
	uint64_t lead_us; /* mean time from decision to arrival */
};

/* One round: the state with the round's input and time. */
typedef struct {
	plan_lending_t *state;
	const plan_input_t *input;
	plan_index_t *index;
	GPtrArray *pools;  /* lending_pool_t that are in the input */
	GHashTable *rules; /* "from>to" -> lending_rule_t */
	GPtrArray *actions;
	uint64_t now_us;
} lending_round_t;

void lending_rules_open(lending_round_t *);
lending_rule_t *lending_rule(
    const lending_round_t *, const char *from, const char *to);
/* Lets a pool lend to another while its own needs are met. */
bool lending_help(lending_round_t *, lending_pool_t *to, const char *why);
void lending_cover(lending_round_t *);
void lending_observe(lending_round_t *);
void lending_hold(lending_round_t *);
/* How long an instance stays where it was moved to, unless it is recalled. */
uint64_t lending_settle_us(const plan_lending_t *);

#endif
