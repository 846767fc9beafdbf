#include <glib.h>

#include "policy/share.h"

/* Virtual time units per unit of cost at weight 1. */
#define TAG_SCALE 1000

static uint64_t
tag_increment(uint64_t cost, uint64_t weight)
{
	return cost * TAG_SCALE / MAX(weight, 1);
}

/*
 * Handles that an idle account has work again. It starts at the present virtual
 * time, so that it gains no credit by idling.
 */
void
share_activate(const share_t *share, share_account_t *account)
{
	account->tag = MAX(account->tag, share->virtual_time);
}

/*
 * Charges the account for work that starts.
 */
void
share_charge(
    share_t *share, share_account_t *account, uint64_t cost, uint64_t weight)
{
	share->virtual_time = MAX(share->virtual_time, account->tag);
	share_charge_more(account, cost, weight);
}

/*
 * Charges the account for work that goes on beyond its first charge.
 */
void
share_charge_more(share_account_t *account, uint64_t cost, uint64_t weight)
{
	account->tag += tag_increment(cost, weight);
}

/*
 * Replaces a cost that was charged by the cost of the work done.
 */
void
share_correct(share_account_t *account, uint64_t charged_cost,
    uint64_t used_cost, uint64_t weight)
{
	uint64_t charged = tag_increment(charged_cost, weight);
	uint64_t used = tag_increment(used_cost, weight);

	if (used >= charged)
		account->tag += used - charged;
	else
		account->tag -= MIN(account->tag, charged - used);
}
