#ifndef FLEET_CENSUS_H
#define FLEET_CENSUS_H

#include "member/member.h"

/* Number of a table's instances by home pool. */
typedef struct {
	GHashTable *homes;   /* pool -> count */
	GHashTable *domains; /* failure domain -> (pool -> count) */
} census_t;

census_t *census_new(const member_table_t *);
void census_free(census_t *);
void census_add(
    census_t *, const char *pool, const char *domain, int32_t change);
uint32_t census_pool_count(const census_t *, const char *pool);
uint32_t census_pool_domain_count(
    const census_t *, const char *pool, const char *domain);

#endif
