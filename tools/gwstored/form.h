#ifndef GWSTORED_FORM_H
#define GWSTORED_FORM_H

#include "server.h"

/*
 * The store in the form of the users' platform, over the same keys: GET
 * /kv-key, /kv-range and /kv-watch, POST /kv-txn, /kv-lease and /kv-keep/ID,
 * DELETE /kv-lease-end/ID. form_handle() returns -1 for other paths.
 */
int form_handle(server_t *, h2o_req_t *);
void form_notify(server_t *);
void form_flush(server_t *);

#endif
