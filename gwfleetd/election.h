#ifndef FLEET_ELECTION_H
#define FLEET_ELECTION_H

#include "fleet.h"

/* Time without a PeerState after which the election record is read. */
#define ELECTION_PLANNER_TIMEOUT_MS GW_CONTACT_MS
/* Interval of these reads while another gwfleetd holds the record. */
#define ELECTION_RETRY_MS 1000
/* Delay before a failed renewal is repeated. */
#define ELECTION_RENEW_RETRY_MS 500

typedef enum {
	ELECTION_IDLE,	    /* not the planner; next attempt at next_us */
	ELECTION_READING,   /* reads the election record */
	ELECTION_LEASING,   /* requests a lease */
	ELECTION_CLAIMING,  /* writes the election record */
	ELECTION_RESOLVING, /* the write may have taken effect; reads it */
	ELECTION_HELD	    /* is the planner while the lease is valid */
} election_phase_t;

/* This gwfleetd as a candidate in the election of the planner. */
typedef struct {
	election_phase_t phase;
	char key[160];
	char *claim; /* text of the election record; unique per attempt */
	uint64_t call;
	uint64_t attempts;
	uint64_t next_us; /* time of the next attempt or renewal */
	uint64_t sent_us; /* when the pending grant or renewal was sent */
	uint64_t lease_id;
	bool renewing;
	member_lease_t lease;
} election_t;

void election_init(election_t *, const fleet_config_t *, uint64_t now_us);
void election_clear(election_t *);
void election_tick(fleet_t *);
void election_step_down(fleet_t *, const char *reason);
bool election_held(const fleet_t *);

#endif
