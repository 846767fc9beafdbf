#ifndef MANIFEST_PROBLEM_H
#define MANIFEST_PROBLEM_H

#include "manifest/manifest.h"

/*
 * Most problems in one list. A faulty program that generates manifests can
 * cause one problem per line; the last entry says that there are more.
 */
#define MANIFEST_PROBLEMS_MAX 1000

void manifest_problem_add(GArray *problems, const char *path, const char *fmt,
    ...) __attribute__((format(printf, 3, 4)));

/*
 * Tells whether a problem is already reported at a member, so that the caller
 * can leave out problems that only result from that one.
 */
bool manifest_has_problem_at(
    const GArray *problems, const char *path, const char *member);

#endif
