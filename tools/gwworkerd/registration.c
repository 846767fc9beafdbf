#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "registration.h"

#define LEASE_TTL_MS 4500
#define UPDATE_INTERVAL_MS 1000
/* Pause between attempts to write a change that callers wait for. */
#define RETRY_INTERVAL_MS 200
#define MEMORY_MIB 65536

struct registration {
	gw_rt_t *rt;
	store_t *store;
	worker_t *worker;
	uint64_t lease_id;
	uint64_t written_born_ms; /* start of the incarnation in the entry */
	bool written_leaving;	  /* the entry says that the worker leaves */
	bool writing_leaving;	  /* the same for the entry being written */
	bool removed;		  /* the entry, as the worker has left */
	gw_timer_t timer;
};

static void update_registration(registration_t *);

static void
on_timer(gw_timer_t *timer, void *arg)
{
	(void)timer;
	update_registration(arg);
}

static void
schedule_update(registration_t *registration)
{
	const worker_t *worker = registration->worker;
	bool is_urgent = worker->left ||
	    worker->leaving != registration->written_leaving ||
	    registration->written_leaving;

	if (registration->removed)
		return;
	gw_timer_start(registration->rt, &registration->timer,
	    (is_urgent ? RETRY_INTERVAL_MS : UPDATE_INTERVAL_MS) * GW_US_PER_MS,
	    on_timer, registration);
}

static void
on_entry_written(uint64_t revision, const store_page_t *current,
    const gw_err_t *err, void *arg)
{
	registration_t *registration = arg;
	worker_t *worker = registration->worker;

	(void)revision;
	(void)current;
	if (err != NULL) {
		registration->lease_id = 0;
	} else {
		registration->written_leaving = registration->writing_leaving;
		if (registration->written_leaving && worker->leaving &&
		    !gw_timer_armed(&worker->leave_timer))
			worker_leave_later(worker);
	}
	schedule_update(registration);
}

static void
on_entry_removed(uint64_t revision, const store_page_t *current,
    const gw_err_t *err, void *arg)
{
	registration_t *registration = arg;

	(void)revision;
	(void)current;
	registration->removed = err == NULL;
	schedule_update(registration);
}

static void
remove_entry(registration_t *registration)
{
	char key[64];
	const char *removes[] = {key};
	store_txn_t txn = {.removes = removes, .remove_count = 1};

	(void)snprintf(
	    key, sizeof(key), "servers/%s", registration->worker->id);
	store_txn(registration->store, &txn, on_entry_removed, registration);
}

static void
write_entry(registration_t *registration)
{
	const worker_t *worker = registration->worker;
	char address[GW_ADDR_TEXT_BYTES], key[64];
	store_write_t write = {.key = key, .lease_id = registration->lease_id};
	store_txn_t txn = {.writes = &write, .write_count = 1};
	json_t *entry;
	char *text;

	entry = json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, "
			  "s:{s:i, s:i, s:i}, s:[s], s:i, s:I, s:s}",
	    "service", worker->pool, "address",
	    gw_addr_text(&worker->addr, address), "zone", worker->data_centre,
	    "version", "v1", "slots", 8, "state",
	    worker->leaving ? "draining" : "ready", "cold_remaining_ms", 0,
	    "capacity", "cpu", (int)worker->cpu_millis, "mem_mb", MEMORY_MIB,
	    "gpu", 0, "labels", "a", "sequence", 1, "born",
	    (json_int_t)worker->born_ms, "machine", worker->machine);
	if (worker->leaving)
		json_object_set_new(
		    entry, "remaining_ms", json_integer(worker->leave_ms));
	text = json_dumps(entry, JSON_COMPACT);
	json_decref(entry);
	(void)snprintf(key, sizeof(key), "servers/%s", worker->id);
	registration->written_born_ms = worker->born_ms;
	registration->writing_leaving = worker->leaving;
	write.value = text;
	write.size_bytes = strlen(text);
	store_txn(registration->store, &txn, on_entry_written, registration);
	free(text);
}

static void
on_lease(uint64_t lease_id, uint32_t ttl_ms, const gw_err_t *err, void *arg)
{
	registration_t *registration = arg;

	(void)ttl_ms;
	if (err != NULL) {
		registration->lease_id = 0;
		schedule_update(registration);
	} else if (registration->lease_id == 0 ||
	    registration->written_born_ms != registration->worker->born_ms ||
	    registration->written_leaving != registration->worker->leaving) {
		registration->lease_id = lease_id;
		write_entry(registration);
	} else {
		schedule_update(registration);
	}
}

/*
 * Opens a lease and writes the worker's entry under it, or renews the lease.
 * While the worker is silent, neither is done, so that the lease expires.
 */
static void
update_registration(registration_t *registration)
{
	if (registration->worker->left)
		remove_entry(registration);
	else if (worker_is_silent(registration->worker))
		schedule_update(registration);
	else if (registration->lease_id == 0)
		store_lease_open(
		    registration->store, LEASE_TTL_MS, on_lease, registration);
	else
		store_lease_keepalive(registration->store,
		    registration->lease_id, on_lease, registration);
}

registration_t *
registration_new(gw_rt_t *rt, store_t *store, worker_t *worker)
{
	registration_t *registration = g_new0(registration_t, 1);

	registration->rt = rt;
	registration->store = store;
	registration->worker = worker;
	update_registration(registration);
	return registration;
}

/*
 * Writes at once that the worker leaves. Its remaining time runs from the
 * store's response.
 */
void
registration_leave(registration_t *registration)
{
	registration->worker->leaving = true;
	if (!gw_timer_armed(&registration->timer))
		return;
	gw_timer_stop(&registration->timer);
	update_registration(registration);
}
