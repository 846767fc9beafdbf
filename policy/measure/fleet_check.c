#include <string.h>

#include "fleet.h"

/*
 * Checks budgets against the true state of the fleet. To find faults of the
 * policies, nothing here uses their code (budget.c, plan_index.c).
 */

static uint32_t
nominal_instances(const fleet_t *fleet, uint32_t d, uint32_t p)
{
	return user_instances(fleet->user, fleet->variant->sizing, p, d);
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
missing(uint32_t nominal, uint32_t have)
{
	return nominal - MIN(nominal, have);
}

/* Most instances that the loss of one rack adds to the missing ones. */
static uint32_t
worst_rack_loss(const fleet_t *fleet, uint32_t d, uint32_t p)
{
	uint32_t nominal = nominal_instances(fleet, d, p);
	uint32_t have = available(fleet, d, p, NULL), worst = 0;

	for (uint32_t i = 0; i < fleet->hosts->len; i++) {
		const host_t *host = fleet->hosts->pdata[i];
		uint32_t lost;

		if (host->dc != d || host->pool != p || !fleet_available(host))
			continue;
		lost = available(fleet, d, p, host->inst->failure_domain);
		worst = MAX(worst,
		    missing(nominal, have - lost) - missing(nominal, have));
	}
	return worst;
}

/* Returns the smallest budget of the generations in use. */
static uint32_t
smallest_budget(const fleet_t *fleet)
{
	bool changed = false;

	for (uint32_t d = 0; d < fleet->user->data_centres; d++)
		changed = changed || fleet->dcs[d].uses_next;
	return fleet->user->max_unavailable - (changed ? 1 : 0);
}

/* Lost instances that served the pool in the data centre, own or lent. */
static uint32_t
lost_instances(const fleet_t *fleet, uint32_t d, uint32_t p)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < fleet->hosts->len; i++) {
		const host_t *host = fleet->hosts->pdata[i];
		count += host->dc == d && host->lost && host->pool == p;
	}
	return count;
}

/*
 * Called after a planned stop or move. Counts a violation when the budget
 * would not hold after the loss of any one rack. The action counts as excused
 * instead when failures made another data centre exceed an equal part of the
 * budget: data centres decide alone and do not see each other's failures.
 */
void
fleet_check_budget(fleet_t *fleet, uint32_t dc, uint32_t pool)
{
	uint32_t total = 0, worst = 0, budget = smallest_budget(fleet);
	bool elsewhere = false;

	if (pool == USER_SERVICES)
		return;
	for (uint32_t d = 0; d < fleet->user->data_centres; d++) {
		total += missing(nominal_instances(fleet, d, pool),
		    available(fleet, d, pool, NULL));
		worst = MAX(worst, worst_rack_loss(fleet, d, pool));
		if (d != dc && lost_instances(fleet, d, pool) > 0 &&
		    missing(nominal_instances(fleet, d, pool),
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

/* Returns the only rack with lost instances; NULL for none or several. */
static const char *
only_lost_rack(const fleet_t *fleet)
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
 * Counts a violation for each pool with more unavailable instances than its
 * budget. Budgets need not hold while instances of several racks are lost.
 */
void
fleet_check_all_budgets(fleet_t *fleet)
{
	bool lost = false;

	for (uint32_t i = 0; i < fleet->hosts->len; i++)
		lost = lost || ((host_t *)fleet->hosts->pdata[i])->lost;
	if (lost && only_lost_rack(fleet) == NULL)
		return;
	for (uint32_t p = 0; p < USER_SERVICES; p++) {
		uint32_t total = 0;

		for (uint32_t d = 0; d < fleet->user->data_centres; d++)
			total += missing(nominal_instances(fleet, d, p),
			    available(fleet, d, p, NULL));
		if (total > fleet->user->max_unavailable)
			fleet->result->violations++;
	}
}
