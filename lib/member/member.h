#ifndef MEMBER_MEMBER_H
#define MEMBER_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "gw/clock.h"
#include "gw/err.h"

/* Interval between a router's heartbeats. */
#define GW_HEARTBEAT_MS 500
/* How long a heartbeat that was answered keeps contact, from its sending. */
#define GW_CONTACT_MS 2000
/* Margin for the difference between two monotonic clocks, parts per million. */
#define GW_DRIFT_PPM 10000
/* The planner's lease in the store, and how often it is renewed. */
#define GW_LEASE_TTL_MS 6000
#define GW_LEASE_RENEW_MS 2000
/* Longest time a request may run on a time-bound instance. */
#define GW_HARD_DEADLINE_MS 30000

#define GW_NAME_BYTES 64

typedef enum {
	MEMBER_ACTIVE = 1,
	MEMBER_LEAVING,
	MEMBER_DRAINED,
	MEMBER_FREE,
	MEMBER_JOINING,
	MEMBER_REBOOTING,
	MEMBER_CHECKING,
	MEMBER_ENDED
} member_state_t;

/* Why an instance is leaving. */
typedef enum {
	MEMBER_FOR_NONE = 0,
	MEMBER_FOR_MOVE,
	MEMBER_FOR_REBOOT,
	MEMBER_FOR_RETURN
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
	char target_pool[GW_NAME_BYTES]; /* of a move under way, else empty */
	member_state_t state;
	member_purpose_t purpose;
	bool time_bound;
	uint32_t slots;
	uint64_t state_version; /* table version of the last change of state */
	uint64_t bound_version; /* table version that set time_bound */
	/*
	 * Every admitted router acknowledged bound_version and had no request
	 * in flight that began before it. Stored, because a later planner
	 * can't learn it from a router that is cut off.
	 */
	bool bound_confirmed;
} member_instance_t;

/* A router that the table admits. */
typedef struct {
	char node_id[GW_NAME_BYTES];
	uint64_t boot_id;
} member_router_t;

/* The table of a data centre, as in the store. */
typedef struct {
	char data_centre[GW_NAME_BYTES];
	uint64_t epoch;
	uint64_t version;
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
	    answered_us;   /* when the last heartbeat was answered, 0 never */
	bool ended;	   /* its end is known */
	uint64_t ended_us; /* since when; 0 after a Goodbye */
	/*
	 * Instance id -> uint32 in flight there: on an instance that isn't
	 * active all requests, on an active time-bound one those that began
	 * before it was time-bound.
	 */
	GHashTable *in_flight;
} member_contact_t;

/* The planner's own view of its lease. */
typedef struct {
	uint64_t epoch;		/* 0: not the planner */
	uint64_t elected_us;	/* when the election was confirmed */
	uint64_t renew_sent_us; /* sending time of the last renewal that held */
	uint32_t ttl_ms;
} member_lease_t;

/* A period with the margin for drift between two clocks, in microseconds. */
uint64_t member_wait_us(uint64_t period_ms);
const char *member_state_name(member_state_t);
const char *member_purpose_name(member_purpose_t);

/* Planner: the lease. The table is the last one known to be stored. */
bool member_lease_valid(const member_lease_t *, uint64_t now_us);
uint64_t member_answer_floor(const member_table_t *);
bool member_may_answer(const member_lease_t *, const member_table_t *,
    uint64_t heartbeat_version, uint64_t now_us);
bool member_silence_counts(const member_lease_t *, uint64_t now_us);

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

/* Planner: may this router still start or run work on the instance? */
bool member_router_gone(const member_contact_t *, uint64_t now_us);
bool member_router_stopped(const member_contact_t *, const member_lease_t *,
    const member_instance_t *, uint64_t now_us);
bool member_router_drained(const member_contact_t *, const member_lease_t *,
    const member_instance_t *, uint64_t now_us);

/* Planner: the next step of one instance; true when the table changed. */
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
int member_reboot_done(
    member_table_t *, member_instance_t *, const char *incarnation, gw_err_t *);
int member_check_passed(member_table_t *, member_instance_t *, gw_err_t *);
/* The platform reported its end; its address stays reserved at first. */
void member_instance_ended(member_table_t *, member_instance_t *);
/* Planner: do slots that a router's Hello reports still count as held? */
bool member_held_counts(const member_instance_t *, uint64_t hello_version);

/* Router: contact with the planner, and whether an instance may be used. */
typedef struct {
	uint64_t epoch;
	uint64_t contact_sent_us; /* sending time of the last answered one */
} member_router_contact_t;

void member_router_answered(
    member_router_contact_t *, uint64_t epoch, uint64_t heartbeat_sent_us);
bool member_contact_fresh(const member_router_contact_t *, uint64_t now_us);
bool member_may_send(const member_router_contact_t *, member_state_t,
    bool time_bound, uint64_t now_us);

/* Router and gwfleetd: adopt only what is newer. */
bool member_adopt_view(uint64_t held_epoch, uint64_t held_version,
    uint64_t epoch, uint64_t version);
bool member_adopt_generation(uint64_t held, uint64_t offered);

/*
 * The table and its stored form. Instances are added and removed only by
 * member_table_add() and member_table_remove(), which keep the index.
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
