#ifndef GWENTRYD_ENTRY_H
#define GWENTRYD_ENTRY_H

#include "gw/runtime.h"
#include "platform/settings.h"

/* The modules of an entry process, and the callbacks that connect them. */
typedef struct entry entry_t;

entry_t *entry_new(gw_rt_t *, const plat_settings_t *, gw_err_t *);
/* Starts a graceful shutdown; the event loop stops when it is complete. */
void entry_shutdown(entry_t *);
/* Applies settings that were read again. */
void entry_reload(entry_t *, const plat_settings_t *);

#endif
