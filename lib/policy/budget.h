#ifndef POLICY_BUDGET_H
#define POLICY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "manifest/manifest.h"

/* A data centre's part of a pool's budget, from the manifest alone. */
typedef struct {
	uint32_t instances; /* of the pool in the data centre */
	uint32_t minimum;
	bool limited;	/* the pool has a budget */
	uint32_t share; /* instances that may be unavailable here */
	/*
	 * The loss of a failure domain is taken from the whole budget before
	 * it is divided, instead of from each data centre's share.
	 */
	bool domain_reserved;
} budget_share_t;

budget_share_t budget_share(
    const manifest_t *, const manifest_pool_t *, const char *data_centre);

#endif
