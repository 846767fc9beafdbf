#ifndef GWROUTED_RETRY_H
#define GWROUTED_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Retries are at most a tenth of the requests, so that they cannot multiply the
 * load when endpoints fail.
 */
#define RETRY_PERCENT 10
/* Maximum of retries that the budget accumulates; a pool starts with it. */
#define RETRY_BURST_MAX 10
/* Maximum of attempts of one request, including the first. */
#define RETRY_ATTEMPTS_MAX 3

/* The retry budget of a pool, in hundredths of a retry. */
typedef struct {
	uint32_t hundredths;
} retry_budget_t;

void retry_budget_init(retry_budget_t *);
void retry_budget_credit(retry_budget_t *);
bool retry_budget_spend(retry_budget_t *);

#endif
