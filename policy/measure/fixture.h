#ifndef POLICY_FIXTURE_H
#define POLICY_FIXTURE_H

#include "policy/plan.h"

/*
 * Builds manifests and instance tables without a store, for the measurement and
 * the policy tests.
 */
manifest_t *fixture_manifest(void);
void fixture_manifest_free(manifest_t *);
/* Adds a pool without instances; fixture_place() adds them. */
void fixture_pool(manifest_t *, const char *name, bool spare, uint32_t slots);
void fixture_place(manifest_t *, const char *pool, const char *data_centre,
    uint32_t instances, uint32_t minimum);
void fixture_budget(manifest_t *, const char *pool, uint32_t max_unavailable);
void fixture_rule(manifest_t *, const char *from, const char *to,
    uint32_t max_instances, uint32_t return_after_ms);
void fixture_wave(manifest_t *, const char *name, const char *const *pools,
    uint32_t concurrency, uint32_t domain_limit);

member_table_t *fixture_table(const char *data_centre);
void fixture_table_free(member_table_t *);
member_instance_t *fixture_instance(member_table_t *, const char *id,
    const char *failure_domain, const char *pool);

/* Returns the progress of a wave that has started. */
plan_wave_t *fixture_progress(const char *name);
void fixture_progress_free(plan_wave_t *);

#endif
