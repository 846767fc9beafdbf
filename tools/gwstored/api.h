#ifndef GWSTORED_API_H
#define GWSTORED_API_H

#include <jansson.h>

#include "server.h"

/* The etcd v3 JSON gateway. */

/* The response to a request that failed. */
typedef struct {
	int status;
	int grpc_code;
	const char *text;
} api_error_t;

/* Executes one request. Returns the response, or NULL with the error. */
typedef json_t *(*api_fn_t)(server_t *, const json_t *request, api_error_t *);

int api_handle(server_t *, h2o_req_t *);
json_t *api_call_counts(const server_t *);
json_t *api_header(const server_t *, uint64_t revision);
json_t *api_number_json(uint64_t);
json_t *api_kv_json(const kv_event_t *);
int api_get_number(const json_t *, const char *name, uint64_t *);
char *api_get_key(const json_t *, api_error_t *);
json_t *api_set_invalid(api_error_t *, const char *text);

json_t *api_range(server_t *, const json_t *, api_error_t *);
json_t *api_put(server_t *, const json_t *, api_error_t *);
json_t *api_txn(server_t *, const json_t *, api_error_t *);
json_t *api_lease_grant(server_t *, const json_t *, api_error_t *);
json_t *api_lease_keepalive(server_t *, const json_t *, api_error_t *);
json_t *api_lease_revoke(server_t *, const json_t *, api_error_t *);

#endif
