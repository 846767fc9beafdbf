#include "manifest/manifest.h"
#include "manifest/schema.h"

/* Twice the number of workers that the fleet will have in two years. */
#define INSTANCES_MAX 40000
#define SLOTS_DEFAULT 8
#define SLOTS_MAX 1024
/* One hour, which the longest archive requests need. */
#define DEADLINE_MAX_MS 3600000
#define LOAN_RETURN_MAX_MS 86400000 /* one day */
#define QUOTA_MAX (UINT64_C(1) << 50)

#define NAME(type, member, required)                                         \
	{                                                                    \
#member, FIELD_NAME, offsetof(type, member), required, 0, 0, \
		    0, 0                                                     \
	}
#define U32(type, member, required, default_value, min, max)          \
	{                                                             \
#member, FIELD_U32, offsetof(type, member), required, \
		    default_value, min, max, 0                        \
	}
#define OTHER(name, required)                              \
	{                                                  \
		name, FIELD_OTHER, 0, required, 0, 0, 0, 0 \
	}
#define SCHEMA(fields)                       \
	{                                    \
		fields, G_N_ELEMENTS(fields) \
	}

static const field_t top[] = {
    OTHER("version", true),
    OTHER("teams", true),
    OTHER("pools", true),
    OTHER("budgets", false),
    OTHER("lending", false),
    OTHER("routes", false),
    OTHER("waves", false),
};

static const field_t team[] = {
    NAME(manifest_team_t, name, true),
    U32(manifest_team_t, weight, true, 0, 1, 1000),
    OTHER("quota", false),
};

static const field_t quota[] = {
    {"cpu_millis", FIELD_U64, offsetof(manifest_team_t, quota_cpu_millis),
	false, 0, 0, QUOTA_MAX, 0},
    {"memory_mib", FIELD_U64, offsetof(manifest_team_t, quota_memory_mib),
	false, 0, 0, QUOTA_MAX, 0},
    {"accelerators", FIELD_U64, offsetof(manifest_team_t, quota_accelerators),
	false, 0, 0, QUOTA_MAX, 0},
};

static const field_t pool[] = {
    NAME(manifest_pool_t, name, true),
    NAME(manifest_pool_t, team, true),
    NAME(manifest_pool_t, service, false),
    {"spare", FIELD_BOOL, offsetof(manifest_pool_t, spare), false, 0, 0, 0, 0},
    OTHER("data_centres", true),
    U32(manifest_pool_t, slots_per_instance, false, SLOTS_DEFAULT, 1,
	SLOTS_MAX),
};

static const field_t site[] = {
    U32(manifest_site_t, instances, true, 0, 0, INSTANCES_MAX),
    U32(manifest_site_t, minimum, false, 0, 0, INSTANCES_MAX),
};

static const field_t budget[] = {
    NAME(manifest_budget_t, team, true),
    NAME(manifest_budget_t, pool, true),
    U32(manifest_budget_t, max_unavailable, true, 0, 0, INSTANCES_MAX),
};

static const field_t loan_rule[] = {
    NAME(manifest_loan_rule_t, from, true),
    NAME(manifest_loan_rule_t, to, true),
    U32(manifest_loan_rule_t, max_instances, true, 0, 1, INSTANCES_MAX),
    U32(manifest_loan_rule_t, return_after_ms, true, 0, 0, LOAN_RETURN_MAX_MS),
};

static const field_t route[] = {
    {"host", FIELD_HOST, offsetof(manifest_route_t, host), false, 0, 0, 0, 0},
    {"path_prefix", FIELD_PREFIX, offsetof(manifest_route_t, path_prefix),
	false, 0, 0, 0, 0},
    NAME(manifest_route_t, pool, true),
    {"class", FIELD_CLASS, offsetof(manifest_route_t, request_class), true, 0,
	0, 0, 0},
    U32(manifest_route_t, deadline_ms, true, 0, 1, DEADLINE_MAX_MS),
    {"idempotent", FIELD_BOOL, offsetof(manifest_route_t, idempotent), false, 0,
	0, 0, offsetof(manifest_route_t, idempotent_set)},
};

static const field_t wave[] = {
    NAME(manifest_wave_t, name, true),
    OTHER("pools", true),
    U32(manifest_wave_t, concurrency, true, 0, 1, INSTANCES_MAX),
    U32(manifest_wave_t, domain_limit, true, 0, 1, INSTANCES_MAX),
    OTHER("action", false),
};

const schema_t manifest_schema_top = SCHEMA(top);
const schema_t manifest_schema_team = SCHEMA(team);
const schema_t manifest_schema_quota = SCHEMA(quota);
const schema_t manifest_schema_pool = SCHEMA(pool);
const schema_t manifest_schema_site = SCHEMA(site);
const schema_t manifest_schema_budget = SCHEMA(budget);
const schema_t manifest_schema_loan_rule = SCHEMA(loan_rule);
const schema_t manifest_schema_route = SCHEMA(route);
const schema_t manifest_schema_wave = SCHEMA(wave);
