#ifndef POLICY_FAIRQ_H
#define POLICY_FAIRQ_H

#include <stdbool.h>
#include <stdint.h>

#include "gw/clock.h"
#include "manifest/manifest.h"

/*
 * The queue of one pool in one router: admission, order and cost. Weighted
 * max-min shares between teams in slot time; classes inside a team.
 */
typedef struct fairq fairq_t;
typedef struct fairq_item fairq_item_t;

typedef enum {
	FAIRQ_ADMITTED = 0,
	FAIRQ_REFUSED_FULL,    /* the queue's bound is reached */
	FAIRQ_REFUSED_SHARE,   /* the team is beyond its share of the queue */
	FAIRQ_REFUSED_DEADLINE /* it cannot start before its deadline */
} fairq_verdict_t;

/* Order and admission vary by discipline: FIFO is the baseline. */
typedef struct fairq_ops fairq_ops_t;
extern const fairq_ops_t fairq_fifo;
extern const fairq_ops_t fairq_fair;

/* A queued or running request, embedded in the router's request. */
struct fairq_item {
	char team[MANIFEST_NAME_BYTES];
	request_class_t request_class;
	uint32_t route; /* index for learned costs */
	uint64_t arrived_us;
	uint64_t deadline_us; /* latest start */
	uint64_t started_us;
	uint64_t cost_us; /* slot time charged at start */
	bool queued;
	void *owner;
	void *impl; /* the queue's own */
};

fairq_t *fairq_new(const fairq_ops_t *, const gw_clock_t *, uint32_t max_items);
void fairq_free(fairq_t *);
void fairq_set_team(fairq_t *, const char *team, uint32_t weight);
/* Slots that this router may use on the pool now; for the wait estimate. */
void fairq_set_slots(fairq_t *, uint32_t slots);
/* Slots that it may use from at_us on, more than now; 0 when none come. */
void fairq_set_slots_soon(fairq_t *, uint32_t slots, uint64_t at_us);
fairq_verdict_t fairq_push(fairq_t *, fairq_item_t *);
/* Takes the next item to start, or NULL. Expired items go to on_expired. */
fairq_item_t *fairq_pop(
    fairq_t *, void (*on_expired)(fairq_item_t *, void *), void *arg);
/* Takes a queued item out: its caller has gone. */
void fairq_remove(fairq_t *, fairq_item_t *);
/* The item's work ended; its real slot time corrects the shares. */
void fairq_done(fairq_t *, fairq_item_t *, uint64_t service_us);
uint32_t fairq_length(const fairq_t *);
/* Slots in use, and those that would serve the queue in good time. */
uint32_t fairq_slots_wanted(const fairq_t *);
/* Estimated wait of a new item of the team and class. */
uint64_t fairq_wait_us(
    const fairq_t *, const char *team, request_class_t, uint32_t route);

#endif
