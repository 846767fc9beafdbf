#ifndef MANIFEST_CHECK_H
#define MANIFEST_CHECK_H

#include "manifest/manifest.h"

/*
 * A section must fit into one frame between processes and into one value of the
 * store. Both are limited to 1,048,576 bytes; the difference leaves room for
 * the other fields of the frame.
 */
#define MANIFEST_SECTION_MAX_BYTES 1000000

/*
 * Checks that involve more than one field: references, duplicates, sums and
 * limits. They append what they find to problems (manifest_problem_t).
 */
void manifest_check(const manifest_t *, GArray *problems);
void manifest_check_lending(const manifest_t *, GArray *problems);
void manifest_check_routes(const manifest_t *, GArray *problems);
void manifest_check_waves(const manifest_t *, GArray *problems);
void manifest_check_sizes(const manifest_t *, GArray *problems);

/* Number of a pool's instances, and of those above its minimum, in the fleet.
 */
uint64_t manifest_pool_instances(const manifest_pool_t *);
uint64_t manifest_pool_above_minimum(const manifest_pool_t *);

#endif
