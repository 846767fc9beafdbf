#ifndef GW_LOG_H
#define GW_LOG_H

#include <inttypes.h>
#include <syslog.h>

/* Numbered log events; the catalogue is docs/events.md. */
typedef enum {
#define GW_EVENT(number, name, priority, meaning) name = (number),
#include "gw/events.def"
#undef GW_EVENT
} gw_event_t;

void gw_log_init(const char *program, int max_priority);
void gw_log_set_fd(int fd);
void gw_log(gw_event_t, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void gw_log_flush(void);
uint64_t gw_log_dropped(void);

#endif
