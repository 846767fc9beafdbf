#ifndef POLICY_BUDGET_H
#define POLICY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "manifest/manifest.h"

/*
 * A data centre's share of a pool's availability budget, computed from the
 * manifest alone.
 */
typedef struct {
	uint32_t instances;	  /* of the pool in the data centre */
	uint32_t minimum;	  /* instances that must stay available here */
	bool has_budget;	  /* false: max_unavailable is not set */
	uint32_t max_unavailable; /* at once, in this data centre */
	/*
	 * The instances of one failure domain were set aside from the whole
	 * budget before it was divided. When false, the data centre sets them
	 * aside within its own share.
	 */
	bool domain_reserved;
} budget_share_t;

budget_share_t budget_share(
    const manifest_t *, const manifest_pool_t *, const char *data_centre);

#endif
