#ifndef GWENTRYD_ROLES_H
#define GWENTRYD_ROLES_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "gw/runtime.h"
#include "sched/claim.h"
#include "sched/sched.h"
#include "store/store.h"

/*
 * Which process owns which role: a shard of a pool, or the planner. A role is a
 * key in the store, attached to the lease of its owner; the revision at which
 * the key was created is the owner's fencing token.
 */
typedef struct roles roles_t;

/* Time after which the lease of a dead process expires at the store. */
#define ROLES_TTL_MS 2000
/*
 * An owner that cannot renew its own lease still renews the leases of its
 * instances for this long after its own may have expired. Together with the
 * length of those leases, this keeps all runs going through a store outage of
 * some seconds. The next owner waits as long before it counts the runs on
 * unreachable instances as ended.
 */
#define ROLES_GRACE_MS 2000

/* A role that this process has gained. */
typedef struct {
	const char *role;
	uint64_t fence;
	/* Addresses of the last owners that were seen, the latest first. */
	const GPtrArray *previous_owners;
	sched_vacancy_t vacancy;
} roles_gain_t;

typedef struct {
	void (*on_gain)(const roles_gain_t *, void *arg);
	void (*on_lose)(const char *role, const char *reason, void *arg);
} roles_ops_t;

/*
 * process is what this process has, compared with others.
 */
roles_t *roles_new(gw_rt_t *, store_t *, const char *node,
    const char *data_centre, const char *address,
    const sched_process_t *process, const roles_ops_t *, void *arg);
/* Lets this process claim the role; otherwise it only follows the owner. */
void roles_enable_claim(roles_t *, const char *name);
/* Returns the address of the owner, or NULL when none is known. */
const char *roles_owner(const roles_t *, const char *name);
bool roles_is_owner(const roles_t *, const char *name);
/* Until when this process's lease cannot expire; 0 without a lease. */
uint64_t roles_lease_valid_until_us(const roles_t *);
/* True while this process's lease cannot have expired. */
bool roles_lease_valid(const roles_t *);
/* The owner found its key changed, or the role's records not as expected. */
void roles_mark_lost(roles_t *, const char *name, const char *reason);
/* Releases all roles and claims no more. */
void roles_release_all(roles_t *);
/* Size of a buffer for the key of a role, or of a record that belongs to it. */
#define ROLE_KEY_BYTES 200
/* Writes the store's key of a role. */
void roles_key(const char *role, char *out, uint32_t size_bytes);
/*
 * Writes the store's key of a shard's list of lapsing leases, which is followed
 * with the roles.
 */
void roles_lapsing_key(const char *shard, char *out, uint32_t size_bytes);
/* Returns a time at which that key was in the store with this revision. */
uint64_t roles_lapsing_seen_us(
    const roles_t *, const char *key, uint64_t revision);

#endif
