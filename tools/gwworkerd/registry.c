#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "registry.h"

#define TTL_MS 4500
#define RENEW_MS 1000
#define CPU_MILLIS 4000
#define MEMORY_MIB 65536

struct registry {
	gw_rt_t *rt;
	store_t *store;
	const worker_t *worker;
	char pool[64];
	char data_centre[64];
	uint64_t lease_id;
	gw_timer_t timer;
};

static void step(registry_t *);

static void
on_timer(gw_timer_t *timer, void *arg)
{
	(void)timer;
	step(arg);
}

static void
again(registry_t *registry)
{
	gw_timer_start(registry->rt, &registry->timer, RENEW_MS * GW_US_PER_MS,
	    on_timer, registry);
}

static void
on_written(uint64_t revision, const store_page_t *current, const gw_err_t *err,
    void *arg)
{
	(void)revision;
	(void)current;
	if (err != NULL)
		((registry_t *)arg)->lease_id = 0;
	again(arg);
}

static void
write_entry(registry_t *registry)
{
	const worker_t *worker = registry->worker;
	char address[GW_ADDR_TEXT_BYTES], key[64];
	store_write_t write = {.key = key, .lease_id = registry->lease_id};
	store_txn_t txn = {.writes = &write, .write_count = 1};
	json_t *entry;
	char *text;

	entry = json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, "
			  "s:{s:i, s:i, s:i}, s:[s], s:i, s:I, s:s}",
	    "service", registry->pool, "address",
	    gw_addr_text(&worker->addr, address), "zone", registry->data_centre,
	    "version", "v1", "slots", 8, "state", "ready", "cold_remaining_ms",
	    0, "capacity", "cpu", CPU_MILLIS, "mem_mb", MEMORY_MIB, "gpu", 0,
	    "labels", "a", "sequence", 1, "born", (json_int_t)worker->born_ms,
	    "machine", worker->id);
	text = json_dumps(entry, JSON_COMPACT);
	json_decref(entry);
	(void)snprintf(key, sizeof(key), "servers/%s", worker->id);
	write.value = text;
	write.size_bytes = strlen(text);
	store_txn(registry->store, &txn, on_written, registry);
	free(text);
}

static void
on_lease(uint64_t lease_id, uint32_t ttl_ms, const gw_err_t *err, void *arg)
{
	registry_t *registry = arg;

	(void)ttl_ms;
	if (err != NULL) {
		registry->lease_id = 0;
		again(registry);
	} else if (registry->lease_id == 0) {
		registry->lease_id = lease_id;
		write_entry(registry);
	} else {
		again(registry);
	}
}

static void
step(registry_t *registry)
{
	if (registry->worker->muted)
		again(registry);
	else if (registry->lease_id == 0)
		store_lease_open(registry->store, TTL_MS, on_lease, registry);
	else
		store_lease_keepalive(
		    registry->store, registry->lease_id, on_lease, registry);
}

registry_t *
registry_new(gw_rt_t *rt, store_t *store, const worker_t *worker,
    const char *pool, const char *dc)
{
	registry_t *registry = g_new0(registry_t, 1);

	registry->rt = rt;
	registry->store = store;
	registry->worker = worker;
	g_strlcpy(registry->pool, pool, sizeof(registry->pool));
	g_strlcpy(registry->data_centre, dc, sizeof(registry->data_centre));
	step(registry);
	return registry;
}
