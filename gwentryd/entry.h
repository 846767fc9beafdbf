#ifndef GWENTRYD_ENTRY_H
#define GWENTRYD_ENTRY_H

#include "gw/runtime.h"
#include "platform/settings.h"

/* The tasks of one entry process, and the messages between them. */
typedef struct entry entry_t;

entry_t *entry_new(gw_rt_t *, const plat_settings_t *, gw_err_t *);
/* Graceful shutdown; the loop stops when it is complete. */
void entry_shutdown(entry_t *);
void entry_reload(entry_t *, const plat_settings_t *);

#endif
