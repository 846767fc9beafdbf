#ifndef SCHED_WINDOW_H
#define SCHED_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Bounds the starts and stops that one process has in flight to instances, for
 * the load in which a surge orders more than the process's link carries within
 * a request's time-out. Requests that wait on the link delay lease renewals,
 * and each repeat of one that is only late makes all later ones later still.
 *
 * The window does no input or output. It learns from the times of responses; a
 * process has one for all its owners, since they share the link.
 */
typedef struct sched_window sched_window_t;

/* Starts and stops in flight to one instance; each takes a connection. */
#define SCHED_WINDOW_PER_INSTANCE 2
typedef struct sched_window_policy sched_window_policy_t;

/* Baseline: no bound, and fixed time-outs. */
extern const sched_window_policy_t sched_window_fixed;
/* Bounds the bytes in flight so that little is queued on the link. */
extern const sched_window_policy_t sched_window_delay;

sched_window_t *sched_window_new(const sched_window_policy_t *);
void sched_window_free(sched_window_t *);

/* Bytes on the wire of a request with this body, headers included. */
uint32_t sched_window_request_bytes(uint32_t body_bytes);

/* A request was passed to a connection, or waits for one. */
void sched_window_add(sched_window_t *, uint32_t size_bytes);
/*
 * The request got a response, or none within its time-out. sent_us is when it
 * was passed to a connection; 0: it never was.
 */
void sched_window_remove(sched_window_t *, uint32_t size_bytes,
    uint64_t sent_us, uint64_t now_us, bool answered);

/* Bytes in flight, and how many may be. */
uint64_t sched_window_in_flight(const sched_window_t *);
uint64_t sched_window_size(const sched_window_t *);
/* Whether one more start may be sent now. */
bool sched_window_has_room(sched_window_t *);
/* The same for an instance that has this many starts and stops in flight. */
bool sched_window_has_room_at(sched_window_t *, uint32_t in_flight);
/*
 * Whether more work may be placed while starts of this many bytes wait to be
 * sent.
 */
bool sched_window_may_place(const sched_window_t *, uint64_t unsent_bytes);
/* Time for the response to a start or a stop. */
uint64_t sched_window_timeout_us(const sched_window_t *);
/* How long a request waits on the link, beyond the time without a queue. */
uint64_t sched_window_queue_us(const sched_window_t *, uint64_t now_us);
/* A request that has no response so far. */
typedef struct {
	uint64_t sent_us;  /* when it was sent last */
	uint32_t attempts; /* how often it was sent */
	bool in_flight;	   /* its time-out has not passed */
	/* Any number that tells it from others that were sent with it. */
	uint32_t spread;
} sched_window_request_t;
/*
 * Whether the request should be repeated now. If so, it counts against the
 * budget for repeats.
 */
bool sched_window_repeat_due(
    sched_window_t *, const sched_window_request_t *, uint64_t now_us);

#endif
