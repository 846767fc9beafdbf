#ifndef GWSTORED_SERVER_H
#define GWSTORED_SERVER_H

#include <glib.h>

#include "fault.h"
#include "gw/runtime.h"
#include "http/httpd.h"
#include "kv.h"
#include "lease.h"

/* Counters for /stats. */
typedef struct {
	uint64_t calls[16]; /* requests by index in endpoints (api.c) */
	uint64_t refused;   /* by the fault down */
	uint64_t answers_lost;
	uint64_t stale_reads;
	uint64_t events_sent; /* to watches of the etcd gateway */
} server_stats_t;

/*
 * The stand-in for the platform's store. The etcd gateway (api.h) and the
 * platform's protocol (platform_kv.h) serve the same keys.
 */
typedef struct {
	gw_rt_t *rt;
	gw_httpd_t *httpd;
	kv_t *kv;
	leases_t leases;
	faults_t faults;
	server_stats_t stats;
	GQueue watchers; /* watcher_t: watches of the etcd gateway */
	GQueue pending;	 /* pending_response_t: delayed or withheld */
	GQueue polls;	 /* poll_t: long polls of the platform's protocol */
} server_t;

server_t *server_new(
    gw_rt_t *, const gw_addr_t *addr, gw_addr_t *bound, gw_err_t *);
void server_shutdown(server_t *);
void server_free(server_t *);
int server_control(server_t *, const char *json, size_t size_bytes, gw_err_t *);

#endif
