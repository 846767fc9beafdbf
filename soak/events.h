#ifndef SOAK_EVENTS_H
#define SOAK_EVENTS_H

#include "soak.h"

/* An event that ends by itself, or a step that follows later. */
typedef struct follow_up follow_up_t;
struct follow_up {
	soak_t *soak;
	gw_timer_t timer;
	void (*run)(follow_up_t *);
	uint32_t number; /* of a worker */
	entry_t *entry;
	bool is_disruption;
	bool is_planned; /* what follows is planned work */
};

uint32_t events_draw(soak_t *, uint32_t from, uint32_t to);
follow_up_t *events_later(
    soak_t *, uint32_t delay_ms, void (*run)(follow_up_t *));
follow_up_t *events_disrupt_for(
    soak_t *, uint32_t delay_ms, void (*run)(follow_up_t *));
void events_control(soak_t *, gw_httpc_t *, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

/* event_worker.c */
void event_leave(soak_t *);
void event_crash(soak_t *);
void event_fail(soak_t *);
void event_silent(soak_t *);
void event_late_starts(soak_t *);
void event_back_and_cut(soak_t *);
void event_wave(soak_t *);
void worker_add(soak_t *, const char *pool);

/* event_store.c */
void event_store_refuses(soak_t *);
void event_store_dark(soak_t *);
void event_store_slow(soak_t *);
void event_store_loses(soak_t *);
void event_store_forgets(soak_t *);
void event_config(soak_t *);

/* event_entry.c */
void event_kill(soak_t *);
void event_kill_all(soak_t *);
void event_term(soak_t *);
void event_stop(soak_t *);
void event_hup(soak_t *);

#endif
