#ifndef GWROUTED_HOLD_H
#define GWROUTED_HOLD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "pool.h"

typedef struct router router_t;

void slot_hold_start(
    router_t *, pool_t *, instance_t *, bool was_time_bound, uint64_t hold_us);
void slot_holds_clear(GQueue *);

#endif
