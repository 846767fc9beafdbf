#ifndef GWROUTED_HOLD_H
#define GWROUTED_HOLD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "pool.h"

typedef struct router router_t;

void hold_start(
    router_t *, pool_t *, instance_t *, bool bound, uint64_t hold_us);
void holds_clear(GQueue *);

#endif
