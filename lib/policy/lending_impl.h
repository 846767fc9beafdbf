#ifndef POLICY_LENDING_IMPL_H
#define POLICY_LENDING_IMPL_H

#include "policy/buffer.h"
#include "policy/plan_index.h"
#include "policy/surge.h"

/* State of a pool that is kept between rounds. */
typedef struct {
	char *name;
	surge_t surge;
	uint32_t short_rounds; /* rounds in a row with too little capacity */
	uint32_t peak;	       /* most instances needed lately */
	uint64_t peak_us;      /* when peak was last reached */
	uint64_t seen_us;      /* last round with the pool in the manifest */
	uint32_t reserve;      /* result of plan_lending_reserve() */
	/* Set in each round: */
	plan_pool_t *pool;
	uint32_t slots; /* per instance */
	uint32_t need;	/* instances that serve the demand */
	uint32_t have;	/* instances available or moving to the pool */
	/* Idle slots of the pool in other data centres, in instances. */
	uint32_t elsewhere_instances;
	bool stale;	       /* its report is missing or too old */
	uint32_t wave_pending; /* active instances that a wave has to reboot */
} lending_pool_t;

/* A lending rule of the manifest, and the instances lent under it now. */
typedef struct {
	const manifest_loan_rule_t *rule;
	uint32_t lent;
} lending_rule_t;

/*
 * The latest move of an instance. Kept while the move is under way, while the
 * instance is lent, and for lending_settle_us() after it.
 */
typedef struct {
	uint64_t moved_us; /* when the move was decided */
	uint64_t idle_us;  /* since when its pool does not need it, else 0 */
	bool arrived;
} lending_move_t;

struct plan_lending {
	GHashTable *pools; /* name -> lending_pool_t */
	GHashTable *moves; /* instance id -> lending_move_t */
	buffer_t buffer;
	uint32_t buffer_instances;
	uint64_t lead_us; /* mean time from decision to arrival */
};

/* One planner round. */
typedef struct {
	plan_lending_t *state;
	const plan_input_t *input;
	plan_index_t *index;
	GPtrArray *pools;  /* lending_pool_t in the manifest */
	GHashTable *rules; /* "from>to" -> lending_rule_t */
	GPtrArray *actions;
	uint64_t now_us;
} lending_round_t;

void lending_rules_index(lending_round_t *);
lending_rule_t *lending_rule_lookup(
    const lending_round_t *, const char *from, const char *to);
/*
 * Moves one instance to the pool from another that can spare it. Returns false
 * when there is none. why goes into the reason of the action.
 */
bool lending_move_one(lending_round_t *, lending_pool_t *to, const char *why);
void lending_cover_waves(lending_round_t *);
void lending_observe(lending_round_t *);
void lending_set_reserves(lending_round_t *);
/* How long a moved instance stays in its new pool, unless it returns home. */
uint64_t lending_settle_us(const plan_lending_t *);

#endif
