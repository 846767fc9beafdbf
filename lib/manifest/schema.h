#ifndef MANIFEST_SCHEMA_H
#define MANIFEST_SCHEMA_H

#include "manifest/field.h"

/* The keys of one kind of JSON object. */
typedef struct {
	const field_t *fields;
	size_t count;
} schema_t;

extern const schema_t manifest_schema_top;
extern const schema_t manifest_schema_team;
extern const schema_t manifest_schema_quota;
extern const schema_t manifest_schema_pool;
extern const schema_t manifest_schema_site;
extern const schema_t manifest_schema_budget;
extern const schema_t manifest_schema_loan_rule;
extern const schema_t manifest_schema_route;
extern const schema_t manifest_schema_wave;

#endif
