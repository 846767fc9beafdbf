#include "api.h"
#include "reply.h"

/* etcd's own limit, about 285 years, does not fit in a ttl_ms of 32 bits. */
#define TTL_MAX_S 86400
#define MS_PER_S 1000

/*
 * Grants a lease with the requested TTL.
 */
json_t *
api_lease_grant(server_t *server, const json_t *request, api_error_t *error)
{
	uint64_t ttl_s, id;

	if (api_get_number(request, "TTL", &ttl_s) != 0 || ttl_s == 0 ||
	    ttl_s > TTL_MAX_S)
		return api_set_invalid(
		    error, "etcdserver: too large lease TTL");
	id = leases_grant(&server->leases, (uint32_t)ttl_s * MS_PER_S);
	return json_pack("{s:o, s:o, s:o}", "header",
	    api_header(server, server->kv->revision), "ID", api_number_json(id),
	    "TTL", api_number_json(ttl_s));
}

/*
 * Renews a lease. The response for a lease that has expired has no TTL, as in
 * etcd.
 */
json_t *
api_lease_keepalive(server_t *server, const json_t *request, api_error_t *error)
{
	json_t *result;
	uint64_t id;
	uint32_t ttl_s;

	if (api_get_number(request, "ID", &id) != 0)
		return api_set_invalid(error, "the lease is not a number");
	ttl_s = leases_renew(&server->leases, id) / MS_PER_S;
	result = json_pack("{s:o, s:o}", "header",
	    api_header(server, server->kv->revision), "ID",
	    api_number_json(id));
	if (ttl_s != 0)
		json_object_set_new(result, "TTL", api_number_json(ttl_s));
	return json_pack("{s:o}", "result", result);
}

/*
 * Revokes a lease and deletes its keys.
 */
json_t *
api_lease_revoke(server_t *server, const json_t *request, api_error_t *error)
{
	uint64_t id;

	if (api_get_number(request, "ID", &id) != 0)
		return api_set_invalid(error, "the lease is not a number");
	if (!leases_revoke(&server->leases, id)) {
		*error = (api_error_t){404, GRPC_NOT_FOUND,
		    "etcdserver: requested lease not found"};
		return NULL;
	}
	return json_pack(
	    "{s:o}", "header", api_header(server, server->kv->revision));
}
