#include <string.h>

#include "policy/lending_impl.h"

#define KEY_BYTES (2 * GW_NAME_BYTES + 2)

static void
write_key(char key[KEY_BYTES], const char *from, const char *to)
{
	g_snprintf(key, KEY_BYTES, "%s>%s", from, to);
}

/*
 * Returns the rule that lets pool from lend to pool to, or NULL.
 */
lending_rule_t *
lending_rule_lookup(
    const lending_round_t *round, const char *from, const char *to)
{
	char key[KEY_BYTES];

	write_key(key, from, to);
	return g_hash_table_lookup(round->rules, key);
}

static void
count_loan(lending_round_t *round, const member_instance_t *inst)
{
	const char *at =
	    inst->target_pool[0] != '\0' ? inst->target_pool : inst->pool;
	lending_rule_t *found;

	if (inst->state == MEMBER_ENDED || strcmp(at, inst->home_pool) == 0)
		return;
	found = lending_rule_lookup(round, inst->home_pool, at);
	if (found != NULL)
		found->lent++;
}

/*
 * Indexes the manifest's lending rules and counts the instances lent under
 * each.
 */
void
lending_rules_index(lending_round_t *round)
{
	const GArray *rules = round->input->manifest->lending;
	GPtrArray *all = round->input->table->instances;
	char key[KEY_BYTES];

	round->rules =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (uint32_t i = 0; i < rules->len; i++) {
		lending_rule_t *entry = g_new0(lending_rule_t, 1);

		entry->rule = &g_array_index(rules, manifest_loan_rule_t, i);
		write_key(key, entry->rule->from, entry->rule->to);
		g_hash_table_replace(round->rules, g_strdup(key), entry);
	}
	for (uint32_t i = 0; i < all->len; i++)
		count_loan(round, all->pdata[i]);
}
