#ifndef HTTP_BUDGET_H
#define HTTP_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/*
 * Decides which callers' connections to close. The load: as many connections as
 * descriptors allow, with bodies and headers that stop short of their end or
 * come byte by byte, with nothing sent at all, or with responses never read.
 */

/* What a connection is doing. */
typedef enum {
	GW_CALLER_NEW,	  /* nothing received yet */
	GW_CALLER_IDLE,	  /* between two requests */
	GW_CALLER_HEADER, /* part of a request's header received */
	GW_CALLER_BODY,
	GW_CALLER_HANDLED, /* a whole request, no response yet */
	GW_CALLER_RESPONSE /* the caller does not take the response yet */
} gw_caller_state_t;
#define GW_CALLER_STATES 6

/* Why a connection is closed. */
typedef enum {
	GW_CLOSE_BYTES,
	GW_CLOSE_CONNECTIONS,
	GW_CLOSE_HEADER_BYTES,
	GW_CLOSE_HEADER_TIMEOUT,
	GW_CLOSE_IDLE,
	GW_CLOSE_RESPONSE_TIMEOUT
} gw_close_reason_t;
#define GW_CLOSE_REASONS 6

/* One connection; the owner allocates it. */
typedef struct {
	gw_caller_state_t state;
	uint64_t held_bytes;	 /* allocated for it */
	uint64_t received_bytes; /* of the request in progress */
	uint64_t since_us;	 /* begin of the state, or of the request */
	bool is_closing;
	GList link;
} gw_caller_t;

/* 0: no limit. */
typedef struct {
	uint64_t held_max_bytes;
	uint32_t connections_max;
	uint32_t header_timeout_ms; /* from the first byte of a request */
	uint32_t idle_timeout_ms;
} gw_budget_limits_t;

typedef struct {
	gw_budget_limits_t limits;
	GQueue callers; /* gw_caller_t, oldest first */
	uint32_t closing;
	uint64_t held_bytes[GW_CALLER_STATES];
	uint64_t forwarded_bytes; /* of requests on their way to owners */
	uint64_t closed[GW_CLOSE_REASONS];
} gw_budget_t;

/* What a process has, by its settings. */
typedef struct {
	uint64_t memory_bytes; /* 0: not known */
	uint32_t descriptors;
	uint32_t instances; /* in the registry */
	uint32_t body_max_bytes;
} gw_budget_host_t;

/* Sets the limits on bytes and connections. */
void gw_budget_size(gw_budget_limits_t *, const gw_budget_host_t *);

void gw_budget_init(gw_budget_t *, const gw_budget_limits_t *);
void gw_budget_add(gw_budget_t *, gw_caller_t *, uint64_t now_us);
void gw_budget_remove(gw_budget_t *, gw_caller_t *);
void gw_budget_set_state(
    gw_budget_t *, gw_caller_t *, gw_caller_state_t, uint64_t now_us);
void gw_budget_set_bytes(
    gw_budget_t *, gw_caller_t *, uint64_t held_bytes, uint64_t received_bytes);
uint64_t gw_budget_held(const gw_budget_t *);
/* Charges a request that is forwarded, if there is room. */
bool gw_budget_charge_forward(gw_budget_t *, uint64_t size_bytes);
void gw_budget_release_forward(gw_budget_t *, uint64_t size_bytes);

/* Returns whether there are too many connections, or too many bytes. */
bool gw_budget_is_over(const gw_budget_t *);
/* Return the next connection to close, or NULL. */
gw_caller_t *gw_budget_next(
    gw_budget_t *, uint64_t now_us, gw_close_reason_t *);
gw_caller_t *gw_budget_next_expired(
    gw_budget_t *, uint64_t now_us, gw_close_reason_t *);
/* Records that the connection is being closed. */
void gw_budget_closing(gw_budget_t *, gw_caller_t *, gw_close_reason_t);
const char *gw_close_reason_name(gw_close_reason_t);

#endif
