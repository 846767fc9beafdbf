#include "census.h"

static GHashTable *
new_counts(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void
free_counts(gpointer counts)
{
	g_hash_table_destroy(counts);
}

static void
change_count(GHashTable *counts, const char *pool, int32_t change)
{
	uint32_t count = GPOINTER_TO_UINT(g_hash_table_lookup(counts, pool));

	g_hash_table_replace(
	    counts, g_strdup(pool), GUINT_TO_POINTER(count + (uint32_t)change));
}

/*
 * Counts the table's instances that have not ended, by home pool. Callers make
 * one census per round, so that the work stays linear in the number of
 * instances.
 */
census_t *
census_new(const member_table_t *table)
{
	census_t *census = g_new0(census_t, 1);

	census->homes = new_counts();
	census->domains =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_counts);
	for (guint i = 0; i < table->instances->len; i++) {
		const member_instance_t *instance = table->instances->pdata[i];

		if (instance->state != MEMBER_ENDED)
			census_add(census, instance->home_pool,
			    instance->failure_domain, 1);
	}
	return census;
}

/*
 * Frees a census.
 */
void
census_free(census_t *census)
{
	g_hash_table_destroy(census->homes);
	g_hash_table_destroy(census->domains);
	g_free(census);
}

/*
 * Adds change to the counts of a pool and of the pool in the failure domain.
 */
void
census_add(
    census_t *census, const char *pool, const char *domain, int32_t change)
{
	GHashTable *counts = g_hash_table_lookup(census->domains, domain);

	if (counts == NULL) {
		counts = new_counts();
		g_hash_table_insert(census->domains, g_strdup(domain), counts);
	}
	change_count(counts, pool, change);
	change_count(census->homes, pool, change);
}

/*
 * Returns the number of instances whose home pool this is.
 */
uint32_t
census_pool_count(const census_t *census, const char *pool)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(census->homes, pool));
}

/*
 * Returns the number of instances in the failure domain whose home pool this
 * is.
 */
uint32_t
census_pool_domain_count(
    const census_t *census, const char *pool, const char *domain)
{
	GHashTable *counts = g_hash_table_lookup(census->domains, domain);

	if (counts == NULL)
		return 0;
	return GPOINTER_TO_UINT(g_hash_table_lookup(counts, pool));
}
