#ifndef GWROUTED_VIEW_H
#define GWROUTED_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "instance.h"
#include "pool.h"
#include "wire/gw.pb-c.h"

typedef struct router router_t;

/* The instance table of the data centre, as last received by this router. */
typedef struct {
	router_t *router;
	uint64_t epoch;
	uint64_t version;
	bool admitted;
	GHashTable *instances; /* id -> instance_t */
	GPtrArray *retired;    /* instance_t not in the view, with attempts */
} view_t;

typedef enum {
	VIEW_APPLIED = 0,
	VIEW_GAP /* not applied: a delta whose base version is not held */
} view_result_t;

void view_init(view_t *, router_t *);
void view_clear(view_t *);
view_result_t view_apply(view_t *, const Gw__View *, bool from_planner);
void view_free_if_unused(view_t *, instance_t *);
void view_foreach(view_t *, void (*)(instance_t *, void *), void *arg);

#endif
