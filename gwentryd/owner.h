#ifndef GWENTRYD_OWNER_H
#define GWENTRYD_OWNER_H

#include "gw/runtime.h"
#include "sched/sched.h"
#include "store/store.h"

/*
 * The owner of a pool: it loads the pool's records, runs its jobs, and writes
 * what it decides before it acts on it. Every write is bound to the role's key,
 * so that a former owner can write nothing.
 */
typedef struct owner owner_t;

typedef struct {
	/* Another process has the role, or may have it. */
	void (*on_deposed)(const char *pool, const char *reason, void *arg);
	/* Until when the store cannot have ended this process's lease. */
	uint64_t (*lease_until_us)(void *arg);
} owner_ops_t;

typedef struct {
	const char *pool;
	const char *data_centre;
	uint64_t fence;
	sched_bounds_t bounds;
} owner_role_t;

owner_t *owner_new(
    gw_rt_t *, store_t *, const owner_role_t *, const owner_ops_t *, void *arg);
void owner_free(owner_t *);
bool owner_loaded(const owner_t *);
void owner_set_instance(owner_t *, const sched_instance_info_t *);
void owner_remove_instance(owner_t *, const char *id);
/* The pool, for callers' requests; owner_kick() after changes. */
sched_pool_t *owner_pool(owner_t *);
void owner_kick(owner_t *);
/* False while the store takes no writes: a new job would wait in vain. */
bool owner_can_write(const owner_t *);
/* True when nothing waits for the store. */
bool owner_is_quiet(const owner_t *);

#endif
