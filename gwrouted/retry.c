#include "retry.h"

#define ONE_RETRY 100

/*
 * Starts with a full burst.
 */
void
retry_budget_init(retry_budget_t *budget)
{
	budget->hundredths = RETRY_BURST * ONE_RETRY;
}

/*
 * Adds what one request earns.
 */
void
retry_budget_earn(retry_budget_t *budget)
{
	budget->hundredths += RETRY_PERCENT;
	if (budget->hundredths > RETRY_BURST * ONE_RETRY)
		budget->hundredths = RETRY_BURST * ONE_RETRY;
}

/*
 * Takes one retry. Returns false when the budget is used up.
 */
bool
retry_budget_spend(retry_budget_t *budget)
{
	if (budget->hundredths < ONE_RETRY)
		return false;
	budget->hundredths -= ONE_RETRY;
	return true;
}
