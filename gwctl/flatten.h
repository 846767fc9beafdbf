#ifndef GWCTL_FLATTEN_H
#define GWCTL_FLATTEN_H

#include <glib.h>

#include "manifest/manifest.h"

/* Maps the path of each scalar of a manifest to its JSON text, by path. */
GTree *flatten_manifest(const manifest_t *);

#endif
