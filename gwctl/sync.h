#ifndef GWCTL_SYNC_H
#define GWCTL_SYNC_H

#include "ctl.h"

/* Store calls that block until they have ended. They return 0, or -1. */
int sync_get(ctl_t *, const char *key, char **value, size_t *size_bytes,
    uint64_t *mod_revision, uint64_t *store_revision, gw_err_t *);
int sync_put_if(ctl_t *, const char *key, uint64_t expected_mod_revision,
    const char *value, size_t size_bytes, gw_err_t *);
void sync_sleep(ctl_t *, uint64_t delay_ms);

#endif
