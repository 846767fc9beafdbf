#include <string.h>

#include "fleet.h"

/*
 * Checks budgets on the fleet's true state, with code of its own: nothing here
 * uses the shares or the index of the policies.
 */

static uint32_t
entitled(const fleet_t *fleet, uint32_t d, uint32_t p)
{
	return user_place(fleet->user, fleet->variant->sizing, p, d);
}

static uint32_t
available(const fleet_t *fleet, uint32_t d, uint32_t p, const char *rack)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < fleet->hosts->len; i++) {
		const host_t *host = fleet->hosts->pdata[i];

		count += host->dc == d && host->pool == p &&
		    fleet_available(host) &&
		    (rack == NULL ||
			strcmp(host->inst->failure_domain, rack) == 0);
	}
	return count;
}

static uint32_t
missing(uint32_t entitlement, uint32_t have)
{
	return entitlement - MIN(entitlement, have);
}

/* What the loss of the worst rack of the data centre adds. */
static uint32_t
worst_rack(const fleet_t *fleet, uint32_t d, uint32_t p)
{
	uint32_t entitlement = entitled(fleet, d, p);
	uint32_t have = available(fleet, d, p, NULL), worst = 0;

	for (uint32_t i = 0; i < fleet->hosts->len; i++) {
		const host_t *host = fleet->hosts->pdata[i];
		uint32_t lost;

		if (host->dc != d || host->pool != p || !fleet_available(host))
			continue;
		lost = available(fleet, d, p, host->inst->failure_domain);
		worst = MAX(worst,
		    missing(entitlement, have - lost) -
			missing(entitlement, have));
	}
	return worst;
}

/* The smallest budget of all generations in use. */
static uint32_t
strictest(const fleet_t *fleet)
{
	bool changed = false;

	for (uint32_t d = 0; d < fleet->user->data_centres; d++)
		changed = changed || fleet->dcs[d].changed;
	return fleet->user->max_unavailable - (changed ? 1 : 0);
}

/* Instances of the pool lost in the data centre, at home or lent. */
static uint32_t
failed(const fleet_t *fleet, uint32_t d, uint32_t p)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < fleet->hosts->len; i++) {
		const host_t *host = fleet->hosts->pdata[i];
		count += host->dc == d && host->lost && host->pool == p;
	}
	return count;
}

/*
 * Called after a planned stop or move. It is a violation when the budget
 * would not hold after the loss of any one rack. When failures in another data
 * centre made it exceed its even part of the budget, the action is counted
 * apart: data centres decide alone and cannot see those failures.
 */
void
fleet_check_budget(fleet_t *fleet, uint32_t dc, uint32_t pool)
{
	uint32_t total = 0, worst = 0, budget = strictest(fleet);
	bool elsewhere = false;

	if (pool == USER_SERVICES)
		return;
	for (uint32_t d = 0; d < fleet->user->data_centres; d++) {
		total += missing(
		    entitled(fleet, d, pool), available(fleet, d, pool, NULL));
		worst = MAX(worst, worst_rack(fleet, d, pool));
		if (d != dc && failed(fleet, d, pool) > 0 &&
		    missing(entitled(fleet, d, pool),
			available(fleet, d, pool, NULL)) *
			    fleet->user->data_centres >
			budget)
			elsewhere = true;
	}
	if (total + worst <= budget)
		return;
	if (elsewhere)
		fleet->result->excused++;
	else
		fleet->result->violations++;
}

/* The only rack with lost instances, or NULL when there are two or none. */
static const char *
lost_rack(const fleet_t *fleet)
{
	const char *rack = NULL;

	for (uint32_t i = 0; i < fleet->hosts->len; i++) {
		const host_t *host = fleet->hosts->pdata[i];

		if (!host->lost)
			continue;
		if (rack != NULL &&
		    strcmp(rack, host->inst->failure_domain) != 0)
			return NULL;
		rack = host->inst->failure_domain;
	}
	return rack;
}

/*
 * At any moment: while at most one rack is lost, every budget holds, with the
 * planned stops under way.
 */
void
fleet_check_held(fleet_t *fleet)
{
	bool lost = false;

	for (uint32_t i = 0; i < fleet->hosts->len; i++)
		lost = lost || ((host_t *)fleet->hosts->pdata[i])->lost;
	if (lost && lost_rack(fleet) == NULL)
		return;
	for (uint32_t p = 0; p < USER_SERVICES; p++) {
		uint32_t total = 0;

		for (uint32_t d = 0; d < fleet->user->data_centres; d++)
			total += missing(entitled(fleet, d, p),
			    available(fleet, d, p, NULL));
		if (total > fleet->user->max_unavailable)
			fleet->result->violations++;
	}
}
