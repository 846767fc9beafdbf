#ifndef MANIFEST_ROOT_H
#define MANIFEST_ROOT_H

#include "manifest/manifest.h"

manifest_root_t *manifest_root_new(void);

#endif
