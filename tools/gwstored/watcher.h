#ifndef GWSTORED_WATCHER_H
#define GWSTORED_WATCHER_H

#include <jansson.h>

#include "api.h"
#include "server.h"

int watcher_start(
    server_t *, h2o_req_t *, const json_t *request, api_error_t *);
void watchers_notify(server_t *, const kv_event_t *);
void watchers_end(server_t *, bool compacted);

#endif
