#ifndef MANIFEST_PROBLEM_H
#define MANIFEST_PROBLEM_H

#include "manifest/manifest.h"

/* A broken generator can cause one problem per line; the rest are counted. */
#define MANIFEST_PROBLEMS_MAX 1000

void manifest_problem_add(GArray *problems, const char *path, const char *fmt,
    ...) __attribute__((format(printf, 3, 4)));

/* Tells whether a member is already refused, so that what follows from it is
 * not reported as well. */
bool manifest_problem_at(
    const GArray *problems, const char *path, const char *member);

#endif
