#include <string.h>

#include "daemon.h"

/* A pending store call; call is the number that the reply carries. */
typedef struct {
	daemon_t *daemon;
	uint64_t call;
} port_call_t;

static port_call_t *
port_call_new(daemon_t *daemon, uint64_t call)
{
	port_call_t *port;

	port = g_new0(port_call_t, 1);
	port->daemon = daemon;
	port->call = call;
	return port;
}

static void
on_read(const store_value_t *value, const gw_err_t *err, void *arg)
{
	g_autofree port_call_t *port = arg;
	fleet_msg_t msg = {.kind = FLEET_STORE_READ,
	    .call = port->call,
	    .value = value,
	    .err = err};

	fleet_handle(port->daemon->fleet, &msg);
}

static void
on_put(uint64_t mod_revision, const gw_err_t *err, void *arg)
{
	g_autofree port_call_t *port = arg;
	fleet_msg_t msg = {.kind = FLEET_STORE_PUT,
	    .call = port->call,
	    .number = mod_revision,
	    .err = err};

	fleet_handle(port->daemon->fleet, &msg);
}

static void
on_lease(uint64_t lease_id, uint32_t ttl_s, const gw_err_t *err, void *arg)
{
	g_autofree port_call_t *port = arg;
	fleet_msg_t msg = {.kind = FLEET_STORE_LEASE,
	    .call = port->call,
	    .number = lease_id,
	    .err = err};

	(void)ttl_s;
	fleet_handle(port->daemon->fleet, &msg);
}

/*
 * Reads a key.
 */
void
port_get(void *ctx, uint64_t call, const char *key)
{
	daemon_t *daemon = ctx;

	store_get(daemon->store, key, on_read, port_call_new(daemon, call));
}

/*
 * Writes a key by compare-and-swap.
 */
void
port_put_if(void *ctx, uint64_t call, const char *key,
    uint64_t expected_mod_revision, const char *value, uint64_t lease_id)
{
	daemon_t *daemon = ctx;

	store_put_if(daemon->store, key, expected_mod_revision, value,
	    strlen(value), lease_id, on_put, port_call_new(daemon, call));
}

/*
 * Requests a lease.
 */
void
port_lease_grant(void *ctx, uint64_t call, uint32_t ttl_s)
{
	daemon_t *daemon = ctx;

	store_lease_grant(
	    daemon->store, ttl_s, on_lease, port_call_new(daemon, call));
}

/*
 * Renews a lease.
 */
void
port_lease_renew(void *ctx, uint64_t call, uint64_t lease_id)
{
	daemon_t *daemon = ctx;

	store_lease_renew(
	    daemon->store, lease_id, on_lease, port_call_new(daemon, call));
}

/*
 * Revokes a lease.
 */
void
port_lease_revoke(void *ctx, uint64_t call, uint64_t lease_id)
{
	daemon_t *daemon = ctx;

	store_lease_revoke(
	    daemon->store, lease_id, on_lease, port_call_new(daemon, call));
}

static void
on_value(const store_value_t *value, void *arg)
{
	daemon_t *daemon = arg;
	fleet_msg_t msg = {.kind = FLEET_WATCH_VALUE,
	    .call = daemon->watch_call,
	    .value = value};

	fleet_handle(daemon->fleet, &msg);
}

static void
on_watch_end(const gw_err_t *err, void *arg)
{
	daemon_t *daemon = arg;
	fleet_msg_t msg = {
	    .kind = FLEET_WATCH_END, .call = daemon->watch_call, .err = err};

	daemon->watch = NULL;
	fleet_handle(daemon->fleet, &msg);
}

static const store_watch_ops_t watch_ops = {
    .on_value = on_value,
    .on_end = on_watch_end,
};

/*
 * Watches a key from a revision on; ends the previous watch.
 */
void
port_watch(void *ctx, uint64_t call, const char *key, uint64_t from_revision)
{
	daemon_t *daemon = ctx;

	port_unwatch(daemon);
	daemon->watch_call = call;
	daemon->watch =
	    store_watch(daemon->store, key, from_revision, &watch_ops, daemon);
}

/*
 * Ends the watch.
 */
void
port_unwatch(void *ctx)
{
	daemon_t *daemon = ctx;

	if (daemon->watch != NULL)
		store_watch_cancel(daemon->watch);
	daemon->watch = NULL;
}
