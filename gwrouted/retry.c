#include "retry.h"

#define HUNDREDTHS_PER_RETRY 100

/*
 * Fills the budget to the maximum burst.
 */
void
retry_budget_init(retry_budget_t *budget)
{
	budget->hundredths = RETRY_BURST_MAX * HUNDREDTHS_PER_RETRY;
}

/*
 * Credits the budget for one new request.
 */
void
retry_budget_credit(retry_budget_t *budget)
{
	budget->hundredths += RETRY_PERCENT;
	if (budget->hundredths > RETRY_BURST_MAX * HUNDREDTHS_PER_RETRY)
		budget->hundredths = RETRY_BURST_MAX * HUNDREDTHS_PER_RETRY;
}

/*
 * Spends one retry. Returns false when less than one is left.
 */
bool
retry_budget_spend(retry_budget_t *budget)
{
	if (budget->hundredths < HUNDREDTHS_PER_RETRY)
		return false;
	budget->hundredths -= HUNDREDTHS_PER_RETRY;
	return true;
}
