#ifndef GWCTL_FETCH_H
#define GWCTL_FETCH_H

#include "ctl.h"

char *section_key(const char *hash);
int fetch_root(ctl_t *, stored_root_t *, gw_err_t *);
int fetch_bodies(ctl_t *, manifest_root_t *, gw_err_t *);
manifest_t *fetch_manifest(ctl_t *, stored_root_t *, gw_err_t *);

#endif
