#ifndef GWLOAD_IDLE_H
#define GWLOAD_IDLE_H

#include <stdint.h>

#include "gw/addr.h"
#include "gw/runtime.h"

uint32_t idle_hold_connections(
    gw_rt_t *, const gw_addr_t *, uint32_t count, uint64_t hold_ms);

#endif
