#ifndef GWCTL_WAIT_H
#define GWCTL_WAIT_H

#include "ctl.h"

int wait_in_force(ctl_t *, const manifest_t *, uint64_t generation);

#endif
