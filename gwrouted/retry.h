#ifndef GWROUTED_RETRY_H
#define GWROUTED_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/* Retries are at most a tenth of the requests, so they cannot amplify load. */
#define RETRY_PERCENT 10
/* Retries that may be used at once; also what a start allows. */
#define RETRY_BURST 10
/* Attempts of one request, the first included. */
#define RETRY_ATTEMPTS_MAX 3

/* The retry budget of a pool, in hundredths of a retry. */
typedef struct {
	uint32_t hundredths;
} retry_budget_t;

void retry_budget_init(retry_budget_t *);
void retry_budget_earn(retry_budget_t *);
bool retry_budget_spend(retry_budget_t *);

#endif
