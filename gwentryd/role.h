#ifndef GWENTRYD_ROLE_H
#define GWENTRYD_ROLE_H

#include <glib.h>

#include "gw/id.h"
#include "lease.h"
#include "roles.h"
#include "sched/claim.h"
#include "sched/name.h"
#include "store/follow.h"

/*
 * The state of the roles; private to roles.c, role.c, claim.c and processes.c.
 */

#define ROLE_PREFIX "gw/role/"
/* Below ROLE_PREFIX: the keys of processes. No role's name begins so. */
#define PROCESS_PREFIX "@process/"
/* Below ROLE_PREFIX: a shard's list of lapsing leases. */
#define LAPSING_PREFIX "@lapsing/"
/*
 * Below ROLE_PREFIX: the process that claimed a role last, under no lease. It
 * is written with the role's key, so its revision is the last owner's fence.
 */
#define LAST_PREFIX "@last/"

typedef struct {
	roles_t *roles;
	char name[SCHED_NAME_BYTES];
	char *owner; /* address; NULL: none, or not known */
	/* Of the owner; NULL: none, or not known. */
	char *owner_data_centre;
	GPtrArray *previous_owners; /* addresses, the latest first */
	uint64_t revision;	    /* of the newest change to the key seen */
	uint64_t fence;		    /* fencing token; 0: not owned here */
	uint64_t own_key_revision;  /* creation of the key; 0: not ours */
	uint64_t odd_key_revision; /* of a key that names no process; 0: none */
	/* Lease of the last owner's key; 0: not known. */
	uint64_t owner_lease_id;
	/* Creation of the last owner's key; 0: none was seen. */
	uint64_t owner_key_revision;
	/* Of the key below LAST_PREFIX; 0: there is none. */
	uint64_t last_revision;
	/* The claim proves that the last owner seen was the last one. */
	bool last_owner_certain;
	/* When that lease was seen to have ended; 0: not seen. */
	uint64_t owner_lease_ended_us;
	/* Since when the key has been absent, as seen; 0: not seen. */
	uint64_t absent_since_us;
	/* Since when a claim has been scheduled; 0: it has an owner. */
	uint64_t vacant_since_us;
	bool claim_enabled; /* this process may claim the role */
	bool claim_in_flight;
	gw_timer_t claim_timer;
} role_t;

/* A process that has announced itself. */
typedef struct {
	sched_process_t process;
	uint64_t lease_id;
} present_process_t;

/* When a list of lapsing leases was received. */
typedef struct {
	uint64_t revision;
	uint64_t seen_us;
} lapsing_seen_t;

struct roles {
	gw_rt_t *rt;
	store_t *store;
	char node[SCHED_NAME_BYTES];
	char data_centre[SCHED_NAME_BYTES];
	char address[GW_ADDR_TEXT_BYTES];
	char boot_id[GW_ID_TEXT_BYTES]; /* random; of this incarnation */
	const roles_ops_t *ops;
	void *arg;
	GHashTable *by_name; /* name -> role_t */
	store_follow_t *follow;
	lease_t *lease;
	uint64_t started_us;
	sched_process_t process; /* this one */
	GHashTable *processes;	 /* those present: key -> present_process_t */
	GHashTable *lapsing;	 /* key -> lapsing_seen_t, its newest value */
	gw_timer_t announce_timer;
	bool listed; /* the roles in the store were read */
	bool store_unreachable;
	bool released; /* roles_release_all() was called */
};

role_t *role_get(roles_t *, const char *name);
void role_free(gpointer);
void role_add_previous_owner(role_t *, const char *address);
void role_set_owner_lease(
    role_t *, uint64_t lease_id, uint64_t create_revision);
void role_apply_last(role_t *, const store_item_t *);
void role_note_listed(role_t *);
bool role_knows_last_owner(const role_t *);
void roles_last_key(const char *role, char *out, uint32_t size_bytes);
void role_lose(role_t *, const char *reason);
void role_gain(role_t *, uint64_t fence);
uint32_t roles_count_owned(const roles_t *);

/* processes.c */
void roles_announce(roles_t *);
void roles_apply_process(roles_t *, const store_item_t *);
bool roles_lease_is_present(const roles_t *, uint64_t lease_id);
sched_process_t roles_claim_reference(const roles_t *);

#endif
