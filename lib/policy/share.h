#ifndef POLICY_SHARE_H
#define POLICY_SHARE_H

#include <stdint.h>

/*
 * Start-time fair queueing: accounts share a resource in weighted max-min
 * fairness. The one with the lowest tag is served next. Tags are the cost that
 * the account was charged, divided by its weight, on a scale that all accounts
 * of a share have in common.
 */
typedef struct {
	uint64_t virtual_time; /* highest tag of an account served so far */
} share_t;

typedef struct {
	uint64_t tag;
} share_account_t;

void share_activate(const share_t *, share_account_t *);
void share_charge(share_t *, share_account_t *, uint64_t cost, uint64_t weight);
void share_charge_more(share_account_t *, uint64_t cost, uint64_t weight);
void share_correct(share_account_t *, uint64_t charged_cost, uint64_t used_cost,
    uint64_t weight);

#endif
