#ifndef GWSTORED_PLATFORM_KV_H
#define GWSTORED_PLATFORM_KV_H

#include "server.h"

/*
 * The protocol of the platform's store: GET /kv-key, /kv-range and /kv-watch,
 * POST /kv-txn, /kv-lease and /kv-keep/ID, DELETE /kv-lease-end/ID.
 * platform_kv_handle() returns -1 for other paths.
 */
int platform_kv_handle(server_t *, h2o_req_t *);
void platform_kv_notify(server_t *);
void platform_kv_flush(server_t *);

#endif
