#ifndef GWSTORED_SERVER_H
#define GWSTORED_SERVER_H

#include <glib.h>

#include "fault.h"
#include "gw/runtime.h"
#include "http/httpd.h"
#include "kv.h"
#include "lease.h"

/* What the server counts, for /stats. */
typedef struct {
	uint64_t calls[16]; /* by endpoint, in the order of the table */
	uint64_t refused;
	uint64_t answers_lost;
	uint64_t stale_reads;
	uint64_t events_sent;
} server_stats_t;

/* The stand-in for the platform's store: etcd's JSON gateway in memory. */
typedef struct {
	gw_rt_t *rt;
	gw_httpd_t *httpd;
	kv_t *kv;
	leases_t leases;
	faults_t faults;
	server_stats_t stats;
	GQueue watchers; /* watcher_t */
	GQueue pending;	 /* answers that wait or are withheld */
	GQueue polls;	 /* watches of the platform's form */
} server_t;

server_t *server_new(
    gw_rt_t *, const gw_addr_t *addr, gw_addr_t *bound, gw_err_t *);
void server_shutdown(server_t *);
void server_free(server_t *);
int server_control(server_t *, const char *json, size_t size_bytes, gw_err_t *);

#endif
