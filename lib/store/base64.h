#ifndef STORE_BASE64_H
#define STORE_BASE64_H

#include <stddef.h>

char *store_base64_decode(const char *text, size_t *size_bytes);

#endif
