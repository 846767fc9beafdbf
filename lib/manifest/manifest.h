#ifndef MANIFEST_MANIFEST_H
#define MANIFEST_MANIFEST_H

#include <stdbool.h>
#include <inttypes.h>

#include <glib.h>

#include "gw/err.h"

/* Size of the buffer for a name, including the terminating NUL. */
#define MANIFEST_NAME_BYTES 64
/* Version of the manifest's format. */
#define MANIFEST_VERSION 1

typedef enum {
	CLASS_QUICK = 0,
	CLASS_SETTLEMENT,
	CLASS_ARCHIVE,
	CLASS_COUNT
} request_class_t;

typedef struct {
	char name[MANIFEST_NAME_BYTES];
	uint32_t weight; /* 1 .. 1000 */
	uint64_t quota_cpu_millis;
	uint64_t quota_memory_mib;
	uint64_t quota_accelerators;
} manifest_team_t;

/* A site of a pool: the instances that the pool has in one data centre. */
typedef struct {
	char data_centre[MANIFEST_NAME_BYTES];
	uint32_t instances;
	uint32_t minimum; /* instances that the pool must keep there */
} manifest_site_t;

typedef struct {
	char name[MANIFEST_NAME_BYTES];
	char team[MANIFEST_NAME_BYTES];
	char service[MANIFEST_NAME_BYTES]; /* empty in a spare pool */
	bool spare;
	uint32_t slots_per_instance;
	GArray *sites; /* manifest_site_t */
} manifest_pool_t;

typedef struct {
	char team[MANIFEST_NAME_BYTES];
	char pool[MANIFEST_NAME_BYTES];
	uint32_t max_unavailable; /* instances, over all data centres */
} manifest_budget_t;

typedef struct {
	char from[MANIFEST_NAME_BYTES];
	char to[MANIFEST_NAME_BYTES];
	uint32_t max_instances;
	uint32_t return_after_ms;
} manifest_loan_rule_t;

typedef struct {
	char host[256];	       /* empty: any */
	char path_prefix[256]; /* empty: any */
	char pool[MANIFEST_NAME_BYTES];
	request_class_t request_class;
	uint32_t deadline_ms;
	bool idempotent_set; /* idempotent applies, not the method's rule */
	bool idempotent;
} manifest_route_t;

typedef struct {
	char name[MANIFEST_NAME_BYTES];
	GPtrArray *pools; /* char *, in the order of the wave */
	uint32_t concurrency;
	uint32_t domain_limit;
} manifest_wave_t;

/* A complete manifest that passed all checks. */
typedef struct {
	uint64_t generation; /* 0 before it is applied */
	GArray *teams;	     /* manifest_team_t */
	GArray *pools;	     /* manifest_pool_t */
	GArray *budgets;     /* manifest_budget_t */
	GArray *lending;     /* manifest_loan_rule_t */
	GArray *routes;	     /* manifest_route_t */
	GArray *waves;	     /* manifest_wave_t */
} manifest_t;

/* One problem found by the checks: where in the document, and what is wrong. */
typedef struct {
	char path[160]; /* JSON path such as $.pools[3].team */
	char reason[200];
} manifest_problem_t;

/* A part of the manifest that is stored and sent under its content hash. */
typedef struct {
	char name[MANIFEST_NAME_BYTES + 8]; /* "teams", "pool/<name>", ... */
	char hash[33];
	char *body; /* compact JSON; NULL when not loaded */
	uint32_t size_bytes;
} manifest_section_t;

/* Number of earlier generations in a root record; keeps the record small. */
#define MANIFEST_HISTORY_MAX 16

/* An earlier generation in the root record's history. */
typedef struct {
	uint64_t generation;
	char apply_id[33];
	char applied_by[MANIFEST_NAME_BYTES];
	uint64_t applied_at_s; /* seconds since 1970 by the operator's clock */
	uint32_t sections_changed; /* since the generation before */
} manifest_history_entry_t;

/*
 * The root record of a generation. A new generation is applied by a
 * compare-and-swap on this record in the store.
 */
typedef struct {
	uint64_t generation;
	char apply_id[33];
	char applied_by[MANIFEST_NAME_BYTES];
	uint64_t applied_at_s;
	uint32_t sections_changed;
	GPtrArray *sections; /* manifest_section_t */
	GArray *history;     /* manifest_history_entry_t, newest first */
} manifest_root_t;

/* Returns NULL and adds at least one manifest_problem_t on failure. */
manifest_t *manifest_parse(
    const char *json, uint64_t size_bytes, GArray *problems);
void manifest_free(manifest_t *);

/* Conversion between a manifest and its root record with sections. */
manifest_root_t *manifest_split(const manifest_t *);
manifest_t *manifest_join(const manifest_root_t *, gw_err_t *);
char *manifest_root_encode(const manifest_root_t *);
manifest_root_t *manifest_root_decode(
    const char *json, uint64_t size_bytes, gw_err_t *);
void manifest_root_free(manifest_root_t *);
/* Makes root the generation after previous; NULL means generation 0. */
void manifest_root_set_previous(
    manifest_root_t *root, const manifest_root_t *previous);
manifest_section_t *manifest_root_find(
    const manifest_root_t *, const char *name);
char *manifest_to_json(const manifest_t *);

/* Look-ups. */
const manifest_team_t *manifest_find_team(const manifest_t *, const char *name);
const manifest_pool_t *manifest_find_pool(const manifest_t *, const char *name);
const manifest_site_t *manifest_find_site(
    const manifest_pool_t *, const char *data_centre);
const manifest_budget_t *manifest_find_budget(
    const manifest_t *, const char *pool);
const manifest_route_t *manifest_match_route(
    const manifest_t *, const char *host, const char *path);
const char *request_class_name(request_class_t);
bool request_class_parse(const char *, request_class_t *);

#endif
