#ifndef GWCTL_PRINT_H
#define GWCTL_PRINT_H

#include "manifest/manifest.h"

void print_manifest(const manifest_t *);

#endif
