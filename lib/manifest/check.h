#ifndef MANIFEST_CHECK_H
#define MANIFEST_CHECK_H

#include "manifest/manifest.h"

/* A section must fit into one frame and one value of the store, which are
 * 1,048,576 bytes each; the difference is for the frame's other fields. */
#define MANIFEST_SECTION_MAX_BYTES 1000000

/*
 * Checks beyond single members: references, repetitions, sums and limits. They
 * add to problems and change nothing.
 */
void manifest_check(const manifest_t *, GArray *problems);
void manifest_check_lending(const manifest_t *, GArray *problems);
void manifest_check_routes(const manifest_t *, GArray *problems);
void manifest_check_waves(const manifest_t *, GArray *problems);
void manifest_check_sizes(const manifest_t *, GArray *problems);

/* Sums over a pool's data centres. */
uint64_t manifest_pool_instances(const manifest_pool_t *);
uint64_t manifest_pool_above_minimum(const manifest_pool_t *);

#endif
