#ifndef GWCTL_CHECK_H
#define GWCTL_CHECK_H

#include "manifest/manifest.h"

manifest_t *check_file(const char *file, int *status);

#endif
