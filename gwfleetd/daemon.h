#ifndef FLEET_DAEMON_H
#define FLEET_DAEMON_H

#include "fleet.h"
#include "gw/id.h"
#include "gw/runtime.h"
#include "http/httpc.h"
#include "http/httpd.h"
#include "store/store.h"
#include "wire/listener.h"

/* The process: the state machine and what connects it to the network. */
typedef struct {
	gw_rt_t *rt;
	fleet_t *fleet;
	gw_metrics_t *metrics;
	store_t *store;
	store_watch_t *watch;
	uint64_t watch_call; /* call number of watch */
	gw_httpc_t *platform;
	char list_hash[GW_ID_TEXT_BYTES]; /* of the last instance list's body */
	GHashTable *check_clients;	  /* address -> gw_httpc_t */
	gw_listener_t *listener;
	GPtrArray *links;   /* fleet_link_t */
	GPtrArray *dialers; /* dialer_t */
	gw_httpd_t *admin;
	gw_timer_t tick;
	gw_timer_t end; /* of the shutdown */
	bool stopping;
} daemon_t;

extern const fleet_ops_t daemon_ops;

/* The store (port_store.c). */
void port_get(void *ctx, uint64_t call, const char *key);
void port_put_if(void *ctx, uint64_t call, const char *key,
    uint64_t expected_mod_revision, const char *value, uint64_t lease_id);
void port_lease_grant(void *ctx, uint64_t call, uint32_t ttl_s);
void port_lease_renew(void *ctx, uint64_t call, uint64_t lease_id);
void port_lease_revoke(void *ctx, uint64_t call, uint64_t lease_id);
void port_watch(
    void *ctx, uint64_t call, const char *key, uint64_t from_revision);
void port_unwatch(void *ctx);

/* The platform and the instances (port_platform.c). */
void port_list(void *ctx);
void port_reboot(void *ctx, const char *instance_id, const char *operation);
void port_check(void *ctx, const member_instance_t *);

/* Connections to routers and other gwfleetd (port_link.c). */
int port_send(void *ctx, fleet_link_t *, const Gw__Envelope *);
void port_close(void *ctx, fleet_link_t *);
int links_listen(daemon_t *, const gw_addr_t *, gw_err_t *);
void links_dial(daemon_t *, const gw_addr_t *);
void links_shutdown(daemon_t *);

/* The admin port (port_admin.c, port_job.c). */
int admin_on_request(h2o_req_t *, void *arg);
void *port_request_new(h2o_req_t *);
void port_reply_problem(
    void *request, int status, const char *title, const char *text);
int port_job_post(daemon_t *, h2o_req_t *, const char *path);
void port_job_attach(daemon_t *);
void port_reply(void *ctx, void *request, int status, const char *text);

#endif
