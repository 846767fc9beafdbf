#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "gw/clock.h"
#include "gw/err.h"

/* Interval between a router's heartbeats. */
#define GW_HEARTBEAT_MS 500
/*
 * Period for which an answered heartbeat renews a router's contact with the
 * planner, counted from the sending of the heartbeat.
 */
#define GW_CONTACT_MS 2000
/* Largest expected drift between two monotonic clocks, parts per million. */
#define GW_DRIFT_PPM 10000
/* Lifetime of the planner's lease in the store, and interval of renewals. */
#define GW_LEASE_TTL_MS 6000
#define GW_LEASE_RENEW_MS 2000
/*
 * Longest time that a request may run on a time-bound instance. A router cuts
 * the request off then, so the planner knows when it has ended even if the
 * router is unreachable.
 */
#define GW_HARD_DEADLINE_MS 30000

/* Size of the buffer for a name, including the terminating NUL. */
#define GW_NAME_BYTES 64

/* State of an instance. Routers start requests only on active instances. */
typedef enum {
	MEMBER_ACTIVE = 1,
	MEMBER_LEAVING,	  /* routers finish their requests on it */
	MEMBER_DRAINED,	  /* no router has a request on it */
	MEMBER_FREE,	  /* left its pool, not yet in target_pool */
	MEMBER_JOINING,	  /* in its new pool, not yet active */
	MEMBER_REBOOTING, /* until the platform reports a new incarnation */
	MEMBER_CHECKING,  /* rebooted, its health check has not passed yet */
	MEMBER_ENDED	  /* gone; kept until routers stop using its address */
} member_state_t;

/* Why an instance leaves its pool; kept until it is active again. */
typedef enum {
	MEMBER_PURPOSE_NONE = 0,
	MEMBER_PURPOSE_MOVE,
	MEMBER_PURPOSE_REBOOT,
	MEMBER_PURPOSE_RETURN
} member_purpose_t;

/* One instance in the table of a data centre. */
typedef struct {
	char id[GW_NAME_BYTES];
	char incarnation[GW_NAME_BYTES];
	char address[GW_NAME_BYTES];
	uint16_t port;
	char failure_domain[GW_NAME_BYTES];
	char pool[GW_NAME_BYTES];
	char home_pool[GW_NAME_BYTES];
	char target_pool[GW_NAME_BYTES]; /* during a move, else empty */
	member_state_t state;
	member_purpose_t purpose;
	bool time_bound;
	uint32_t slots;
	uint64_t state_version; /* table version of the last change of state */
	uint64_t bound_version; /* table version that set time_bound */
	/*
	 * Every admitted router has acknowledged bound_version and has no
	 * request in flight that began before that version. This is stored
	 * because a later planner can't learn it from an unreachable router.
	 */
	bool bound_confirmed;
} member_instance_t;

/*
 * One process of a router that may use the instances. A restarted router has
 * another boot_id and another entry.
 */
typedef struct {
	char node_id[GW_NAME_BYTES];
	uint64_t boot_id;
} member_router_t;

/* The membership table of a data centre, as in the store. */
typedef struct {
	char data_centre[GW_NAME_BYTES];
	uint64_t epoch;	      /* of the planner that claimed the table last */
	uint64_t version;     /* one more with every change */
	GPtrArray *routers;   /* member_router_t */
	GPtrArray *instances; /* member_instance_t */
	GHashTable *index;    /* instance id -> member_instance_t */
} member_table_t;

/* What the planner knows of an admitted router; not stored. */
typedef struct {
	char node_id[GW_NAME_BYTES];
	uint64_t boot_id;
	uint64_t acked_epoch;
	uint64_t acked_version;
	uint64_t
	    answered_us;   /* time of the last answer to a heartbeat, 0 none */
	bool ended;	   /* the router is known to have ended */
	uint64_t ended_us; /* when that became known; 0 after a Goodbye */
	/*
	 * Instance id -> number of the router's requests in flight there, as
	 * GUINT_TO_POINTER. For an instance that is not active all requests
	 * count; for an active time-bound instance only the requests that
	 * began before it became time-bound. No entry means 0.
	 */
	GHashTable *in_flight;
} member_contact_t;

/* What a planner knows of its own lease. */
typedef struct {
	uint64_t epoch;	     /* 0: this process is not the planner */
	uint64_t elected_us; /* when the election was confirmed */
	uint64_t
	    renew_sent_us; /* sending time of the last successful renewal */
	uint32_t ttl_ms;
} member_lease_t;

/* Converts a period to microseconds and adds the margin for clock drift. */
uint64_t member_wait_with_drift_us(uint64_t period_ms);
const char *member_state_name(member_state_t);
const char *member_purpose_name(member_purpose_t);

/* Planner: the lease. table is the last one that is known to be stored. */
bool member_lease_valid(const member_lease_t *, uint64_t now_us);
uint64_t member_answer_floor(const member_table_t *);
bool member_may_answer(const member_lease_t *, const member_table_t *,
    uint64_t heartbeat_version, uint64_t now_us);
bool member_previous_contact_expired(const member_lease_t *, uint64_t now_us);

/* Planner: what it knows of a router. */
member_contact_t *member_contact_new(const char *node_id, uint64_t boot_id);
void member_contact_free(member_contact_t *);
bool member_contact_acked(member_contact_t *, uint64_t boot_id, uint64_t epoch,
    uint64_t version, GHashTable *in_flight);
void member_contact_answered(member_contact_t *, uint64_t now_us);
void member_contact_ended(
    member_contact_t *, bool said_goodbye, uint64_t now_us);
member_contact_t *member_contact_find(
    const GPtrArray *contacts, const char *node_id, uint64_t boot_id);

/* Planner: has the router ended, or stopped using the instance? */
bool member_router_gone(const member_contact_t *, uint64_t now_us);
bool member_router_stopped(const member_contact_t *, const member_lease_t *,
    const member_instance_t *, uint64_t now_us);
bool member_router_drained(const member_contact_t *, const member_lease_t *,
    const member_instance_t *, uint64_t now_us);

/* Planner: changes of the table. Those that return bool: true on a change. */
bool member_step(member_table_t *, member_instance_t *, GPtrArray *contacts,
    const member_lease_t *, uint64_t now_us);
void member_take_table(member_table_t *, uint64_t epoch);
bool member_admit_router(
    member_table_t *, const char *node_id, uint64_t boot_id);
bool member_remove_router(
    member_table_t *, const member_contact_t *, uint64_t now_us);
bool member_router_admitted(
    const member_table_t *, const char *node_id, uint64_t boot_id);
int member_begin_leave(member_table_t *, member_instance_t *, member_purpose_t,
    const char *target_pool, gw_err_t *);
int member_bind_time(member_table_t *, member_instance_t *, gw_err_t *);
int member_unbind_time(member_table_t *, member_instance_t *, gw_err_t *);
bool member_bound_everywhere(const member_table_t *, const member_instance_t *,
    const GPtrArray *contacts);
int member_finish_reboot(
    member_table_t *, member_instance_t *, const char *incarnation, gw_err_t *);
int member_finish_check(member_table_t *, member_instance_t *, gw_err_t *);
/* Marks an instance as ended; its address stays reserved at first. */
void member_mark_ended(member_table_t *, member_instance_t *);
/* Planner: does the router still hold the slots that its Hello reports? */
bool member_held_slots_current(
    const member_instance_t *, uint64_t hello_version);

/* Router: its contact with the planner. */
typedef struct {
	uint64_t epoch;		  /* highest epoch that answered */
	uint64_t contact_sent_us; /* sending time of the last answered
				     heartbeat, 0 none */
} member_router_contact_t;

void member_router_contact_renew(
    member_router_contact_t *, uint64_t epoch, uint64_t heartbeat_sent_us);
bool member_contact_fresh(const member_router_contact_t *, uint64_t now_us);
bool member_may_send(const member_router_contact_t *, member_state_t,
    bool time_bound, uint64_t now_us);

/* Router and gwfleetd: is an offered view or generation newer? */
bool member_adopt_view(uint64_t held_epoch, uint64_t held_version,
    uint64_t epoch, uint64_t version);
bool member_adopt_generation(uint64_t held, uint64_t offered);

/*
 * The table and its JSON encoding in the store. Add and remove instances only
 * with member_table_add() and member_table_remove(), which maintain the index.
 */
member_table_t *member_table_new(const char *data_centre);
void member_table_free(member_table_t *);
member_table_t *member_table_copy(const member_table_t *);
member_instance_t *member_table_find(const member_table_t *, const char *id);
member_instance_t *member_table_add(
    member_table_t *, const member_instance_t *, gw_err_t *);
bool member_table_remove(member_table_t *, const char *id);
char *member_table_encode(const member_table_t *);
member_table_t *member_table_decode(const char *json, gw_err_t *);

#endif
