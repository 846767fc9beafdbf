#ifndef MANIFEST_READ_H
#define MANIFEST_READ_H

#include <jansson.h>

#include "manifest/manifest.h"

/* JSON values to the manifest's types, and back. */
manifest_t *manifest_new(void);
void manifest_read(manifest_t *, const json_t *document, GArray *problems);
manifest_t *manifest_from_value(const json_t *document, GArray *problems);

json_t *manifest_write_teams(const manifest_t *);
json_t *manifest_write_pool(const manifest_pool_t *);
json_t *manifest_write_budgets(const manifest_t *, const char *pool);
json_t *manifest_write_lending(const manifest_t *);
json_t *manifest_write_routes(const manifest_t *);
json_t *manifest_write_waves(const manifest_t *);

#endif
