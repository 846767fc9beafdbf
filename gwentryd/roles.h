#ifndef GWENTRYD_ROLES_H
#define GWENTRYD_ROLES_H

#include <stdbool.h>
#include <stdint.h>

#include "gw/runtime.h"
#include "store/store.h"

/*
 * Which process owns which role. A role is a key in the store under the lease
 * of its owner; the revision at which the key was created is the owner's fence.
 */
typedef struct roles roles_t;

/* Time after which the store ends the lease of a process that is gone. */
#define ROLES_TTL_MS 2000
/*
 * An owner that cannot renew its lease goes on holding what runs for this long
 * after the lease may have ended. With the lease of what runs, an outage of the
 * store of some seconds ends no work; a later owner waits for as long before it
 * takes runs as ended that it cannot reach.
 */
#define ROLES_GRACE_MS 2000

typedef struct {
	/* former is the address of the last owner seen, or NULL. */
	void (*on_gain)(
	    const char *role, uint64_t fence, const char *former, void *arg);
	void (*on_lose)(const char *role, const char *reason, void *arg);
} roles_ops_t;

/* cpu_permille: processor time of this process; weaker ones claim later. */
roles_t *roles_new(gw_rt_t *, store_t *, const char *node, const char *address,
    uint32_t cpu_permille, const roles_ops_t *, void *arg);
void roles_want(roles_t *, const char *name);
/* Address of the owner, or NULL when none is known. */
const char *roles_owner(const roles_t *, const char *name);
bool roles_is_mine(const roles_t *, const char *name);
/* Until when the store cannot have ended this process's lease. */
uint64_t roles_lease_until_us(const roles_t *);
/* True while the store cannot have ended this process's lease. */
bool roles_lease_valid(const roles_t *);
/* The owner learned that its key is gone. */
void roles_give_up(roles_t *, const char *name, const char *reason);
/* Gives all roles back and takes no more. */
void roles_release(roles_t *);
/* The store's key of a role, or of what belongs to one. */
#define ROLE_KEY_BYTES 200
void roles_key(const char *role, char *out, uint32_t size_bytes);

#endif
