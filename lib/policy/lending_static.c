#include "policy/plan.h"

/*
 * Baseline policy: each instance stays in its pool.
 */
static void
static_decide(plan_lending_t *lending, const plan_input_t *input,
    uint64_t now_us, GPtrArray *actions)
{
	(void)lending;
	(void)input;
	(void)now_us;
	(void)actions;
}

const plan_lending_ops_t plan_lending_static = {"static", static_decide};
