#ifndef GWSTORED_LEASE_H
#define GWSTORED_LEASE_H

#include <stdbool.h>

#include "gw/runtime.h"
#include "kv.h"

/* All leases. When one expires or is revoked, its keys are deleted. */
typedef struct {
	gw_rt_t *rt;
	kv_t *kv;
	GHashTable *by_id; /* uint64_t -> lease_t */
} leases_t;

void leases_init(leases_t *, gw_rt_t *, kv_t *);
void leases_clear(leases_t *);
uint64_t leases_grant(leases_t *, uint32_t ttl_ms);
bool leases_has(const leases_t *, uint64_t lease_id);
uint32_t leases_renew(leases_t *, uint64_t lease_id);
bool leases_revoke(leases_t *, uint64_t lease_id);

#endif
