#ifndef GWROUTED_SPILL_H
#define GWROUTED_SPILL_H

#include <stdbool.h>

#include <glib.h>

#include "gw/runtime.h"
#include "request.h"
#include "settings.h"

/* Spill-over: sends requests to routers of other data centres. */
typedef struct spill spill_t;

spill_t *spill_new(gw_rt_t *, const settings_t *);
void spill_free(spill_t *);
bool spill_is_faster(spill_t *, const request_t *);
bool spill_try(spill_t *, request_t *);
void spill_attempt_ended(spill_t *, const request_t *, bool answered);

#endif
