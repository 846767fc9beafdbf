#ifndef GWCTL_FLATTEN_H
#define GWCTL_FLATTEN_H

#include <glib.h>

#include "manifest/manifest.h"

/* Path -> value of each scalar of a manifest, sorted by path. */
GTree *flatten_manifest(const manifest_t *);

#endif
