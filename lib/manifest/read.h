#ifndef MANIFEST_READ_H
#define MANIFEST_READ_H

#include <jansson.h>

#include "manifest/manifest.h"

/* Conversion between JSON values and the manifest's types. */
manifest_t *manifest_new(void);
void manifest_decode(manifest_t *, const json_t *document, GArray *problems);
manifest_t *manifest_decode_checked(const json_t *document, GArray *problems);

json_t *manifest_encode_teams(const manifest_t *);
json_t *manifest_encode_pool(const manifest_pool_t *);
json_t *manifest_encode_budgets(const manifest_t *, const char *pool);
json_t *manifest_encode_lending(const manifest_t *);
json_t *manifest_encode_routes(const manifest_t *);
json_t *manifest_encode_waves(const manifest_t *);

#endif
