#ifndef GWROUTED_CONFIG_H
#define GWROUTED_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include "manifest/manifest.h"
#include "wire/gw.pb-c.h"

/* The manifest generation in force. */
typedef struct {
	uint64_t generation;
	manifest_root_t *root; /* including the bodies of all sections */
	manifest_t *manifest;  /* NULL before the first generation */
} config_t;

int config_apply(config_t *, const Gw__Sections *, bool *adopted, gw_err_t *);
void config_clear(config_t *);

#endif
