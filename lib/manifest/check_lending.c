#include <stdio.h>
#include <string.h>

#include "manifest/check.h"
#include "manifest/problem.h"

/*
 * Returns how many instances the lender has above its minimum in the data
 * centres that it shares with the borrower; instances never leave their data
 * centre.
 */
static uint64_t
lendable(const manifest_pool_t *from, const manifest_pool_t *to)
{
	const manifest_site_t *site;
	uint64_t sum = 0;

	for (guint i = 0; i < from->sites->len; i++) {
		site = &g_array_index(from->sites, manifest_site_t, i);
		if (manifest_find_site(to, site->data_centre) != NULL &&
		    site->instances > site->minimum)
			sum += site->instances - site->minimum;
	}
	return sum;
}

static const manifest_pool_t *
check_pool_name(const manifest_t *manifest, const char *name, guint index,
    const char *member, GArray *problems)
{
	const manifest_pool_t *pool = manifest_find_pool(manifest, name);
	char path[64];

	if (pool != NULL || *name == '\0')
		return pool;
	(void)snprintf(path, sizeof(path), "$.lending[%u].%s", index, member);
	manifest_problem_add(
	    problems, path, "pool \"%s\" is not defined", name);
	return NULL;
}

static void
check_unique_rule(const manifest_t *manifest, guint index, GArray *problems)
{
	const manifest_loan_rule_t *rules =
	    (const manifest_loan_rule_t *)(void *)manifest->lending->data;
	char path[64];

	for (guint i = 0; i < index; i++) {
		if (strcmp(rules[i].from, rules[index].from) != 0 ||
		    strcmp(rules[i].to, rules[index].to) != 0)
			continue;
		(void)snprintf(path, sizeof(path), "$.lending[%u]", index);
		manifest_problem_add(problems, path,
		    "$.lending[%u] already lends from \"%s\" to \"%s\"", i,
		    rules[i].from, rules[i].to);
		return;
	}
}

static void
check_loan_rule(const manifest_t *manifest, guint index, GArray *problems)
{
	const manifest_loan_rule_t *rule =
	    &g_array_index(manifest->lending, manifest_loan_rule_t, index);
	const manifest_pool_t *from, *to;
	char path[64];

	from = check_pool_name(manifest, rule->from, index, "from", problems);
	to = check_pool_name(manifest, rule->to, index, "to", problems);
	if (from == NULL || to == NULL)
		return;
	check_unique_rule(manifest, index, problems);
	(void)snprintf(path, sizeof(path), "$.lending[%u].to", index);
	if (from == to)
		manifest_problem_add(
		    problems, path, "a pool cannot lend to itself");
	(void)snprintf(
	    path, sizeof(path), "$.lending[%u].max_instances", index);
	if (rule->max_instances > lendable(from, to))
		manifest_problem_add(problems, path,
		    "pool \"%s\" has %" PRIu64 " instances above its minimum "
		    "in data centres of pool \"%s\"",
		    from->name, lendable(from, to), to->name);
}

/*
 * Checks the lending rules.
 */
void
manifest_check_lending(const manifest_t *manifest, GArray *problems)
{
	for (guint i = 0; i < manifest->lending->len; i++)
		check_loan_rule(manifest, i, problems);
}
