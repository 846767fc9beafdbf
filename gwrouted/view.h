#ifndef GWROUTED_VIEW_H
#define GWROUTED_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "instance.h"
#include "pool.h"
#include "wire/gw.pb-c.h"

typedef struct router router_t;

/* The instance table of the data centre as this router holds it. */
typedef struct {
	router_t *router;
	uint64_t epoch;
	uint64_t version;
	bool admitted;
	GHashTable *instances; /* id -> instance_t */
	GPtrArray *replaced;   /* instance_t out of the view, still in use */
} view_t;

/* What the grants in a view count for. */
typedef enum {
	GRANTS_IGNORE = 0, /* not from the planner */
	GRANTS_REDUCE,	   /* from a planner that is not known yet */
	GRANTS_TAKE
} grants_rule_t;

typedef enum {
	VIEW_IN_FORCE = 0,
	VIEW_GAP /* a delta on a version that is not held */
} view_result_t;

void view_init(view_t *, router_t *);
void view_clear(view_t *);
view_result_t view_apply(view_t *, const Gw__View *, grants_rule_t);
void view_grant(view_t *, const char *id, const char *incarnation,
    uint32_t granted, grants_rule_t);
void view_release(view_t *, instance_t *);
void view_each(view_t *, void (*)(instance_t *, void *), void *arg);

#endif
