#ifndef POLICY_FAIRQ_H
#define POLICY_FAIRQ_H

#include <stdbool.h>
#include <stdint.h>

#include "gw/clock.h"
#include "manifest/manifest.h"

/*
 * Request queue of one pool in one router: decides which requests are
 * admitted and in which order they start. Teams share the pool's slot time in
 * weighted max-min fairness; inside a team the request classes share it.
 */
typedef struct fairq fairq_t;
typedef struct fairq_item fairq_item_t;

typedef enum {
	FAIRQ_ADMITTED = 0,
	FAIRQ_REFUSED_FULL,    /* max_items requests are queued */
	FAIRQ_REFUSED_SHARE,   /* the team exceeds its share of the queue */
	FAIRQ_REFUSED_DEADLINE /* the estimated wait exceeds the deadline */
} fairq_verdict_t;

/*
 * Queueing disciplines. fairq_fifo (order of arrival, bounded length only) is
 * the baseline that fairq_fair is compared with.
 */
typedef struct fairq_ops fairq_ops_t;
extern const fairq_ops_t fairq_fifo;
extern const fairq_ops_t fairq_fair;

/* A queued or running request, embedded in the router's request. */
struct fairq_item {
	char team[MANIFEST_NAME_BYTES];
	request_class_t request_class;
	uint32_t route; /* index of the route, key of the learned costs */
	uint64_t arrived_us;
	uint64_t deadline_us; /* latest start, 0 for none */
	uint64_t started_us;  /* set by fairq_pop() */
	uint64_t cost_us;     /* slot time charged so far, set by the queue */
	bool queued;	      /* waiting to start, set by the queue */
	void *owner;	      /* the caller's pointer, not read by the queue */
	void *impl; /* fairq_entry_t while queued or running, else NULL */
};

fairq_t *fairq_new(const fairq_ops_t *, const gw_clock_t *, uint32_t max_items);
void fairq_free(fairq_t *);
void fairq_set_team(fairq_t *, const char *team, uint32_t weight);
/* Sets the slots of the pool that this router may use now. */
void fairq_set_slots(fairq_t *, uint32_t slots);
/*
 * Sets the slots that the router may use from at_us on. The estimated wait is
 * shorter when they are more than the slots of now; 0 means no change is known.
 */
void fairq_set_upcoming_slots(fairq_t *, uint32_t slots, uint64_t at_us);
fairq_verdict_t fairq_push(fairq_t *, fairq_item_t *);
/*
 * Dequeues and returns the item to start next, or NULL. Passes items whose
 * deadline is over to on_expired.
 */
fairq_item_t *fairq_pop(
    fairq_t *, void (*on_expired)(fairq_item_t *, void *), void *arg);
/* Dequeues an item that will not be started, as when its caller has gone. */
void fairq_remove(fairq_t *, fairq_item_t *);
/*
 * Records that the item's work ended. Its team and class are charged the
 * service_us of slot time used instead of the expected cost.
 */
void fairq_complete(fairq_t *, fairq_item_t *, uint64_t service_us);
uint32_t fairq_length(const fairq_t *);
/* Slots in use plus those needed to start the queued work in time. */
uint32_t fairq_slots_wanted(const fairq_t *);
/* Estimates the wait of an item of the team and class that arrives now. */
uint64_t fairq_estimate_wait_us(
    const fairq_t *, const char *team, request_class_t, uint32_t route);

#endif
