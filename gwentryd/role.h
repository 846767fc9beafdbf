#ifndef GWENTRYD_ROLE_H
#define GWENTRYD_ROLE_H

#include <glib.h>

#include "gw/id.h"
#include "lease.h"
#include "roles.h"
#include "sched/name.h"
#include "store/follow.h"

/* Inside roles.c, claim.c and role.c: the state of one role, and of all. */

#define ROLE_PREFIX "gw/role/"

typedef struct {
	roles_t *roles;
	char name[SCHED_NAME_BYTES];
	char *owner;	       /* address, NULL: none */
	char *former;	       /* address of the last owner, NULL: none */
	uint64_t revision;     /* of the newest state seen */
	uint64_t fence;	       /* not 0 while it is this process's */
	uint64_t own_revision; /* of this process's key as seen; 0: none */
	bool wanted;
	bool claiming;
	uint32_t owned_then; /* when the claim was scheduled */
	gw_timer_t claim;
} role_t;

struct roles {
	gw_rt_t *rt;
	store_t *store;
	char node[SCHED_NAME_BYTES];
	char address[GW_ADDR_TEXT_BYTES];
	char boot[GW_ID_TEXT_BYTES]; /* this life of the process */
	const roles_ops_t *ops;
	void *arg;
	GHashTable *by_name; /* role_t */
	store_follow_t *follow;
	lease_t *lease;
	uint64_t started_us;
	uint32_t weak_ms;
	bool listed;
	bool store_lost;
	bool released;
};

role_t *role_get(roles_t *, const char *name);
void role_free(gpointer);
void role_set_former(role_t *, const char *address);
void role_lose(role_t *, const char *reason);
void role_gain(role_t *, uint64_t fence);
uint32_t roles_owned(const roles_t *);

#endif
