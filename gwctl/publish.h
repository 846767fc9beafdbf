#ifndef GWCTL_PUBLISH_H
#define GWCTL_PUBLISH_H

#include "ctl.h"

int publish_sections(ctl_t *, const manifest_root_t *,
    const manifest_root_t *before, gw_err_t *);
int publish_root(
    ctl_t *, const manifest_root_t *, const stored_root_t *before, gw_err_t *);

#endif
