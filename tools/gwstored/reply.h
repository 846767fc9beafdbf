#ifndef GWSTORED_REPLY_H
#define GWSTORED_REPLY_H

#include <stdbool.h>

#include <jansson.h>

#include "server.h"

/* gRPC status codes that the gateway reports. */
#define GRPC_INVALID_ARGUMENT 3
#define GRPC_NOT_FOUND 5
#define GRPC_UNAVAILABLE 14

void reply_json(server_t *, h2o_req_t *, json_t *body, bool is_write);
void reply_withhold(server_t *, h2o_req_t *, char *body);
void reply_flush(server_t *);
void reply_error(
    server_t *, h2o_req_t *, int status, int grpc_code, const char *text);

#endif
