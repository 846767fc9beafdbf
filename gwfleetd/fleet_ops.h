#ifndef FLEET_OPS_H
#define FLEET_OPS_H

#include "fleet_msg.h"

/*
 * The state machine's outgoing calls. Each store call is answered with a
 * message that carries the same call number, never before the function
 * returns. Tests provide fakes.
 */
typedef struct {
	void (*get)(void *ctx, uint64_t call, const char *key);
	void (*put_if)(void *ctx, uint64_t call, const char *key,
	    uint64_t expected_mod_revision, const char *value,
	    uint64_t lease_id);
	void (*lease_grant)(void *ctx, uint64_t call, uint32_t ttl_s);
	void (*lease_renew)(void *ctx, uint64_t call, uint64_t lease_id);
	void (*lease_revoke)(void *ctx, uint64_t call, uint64_t lease_id);
	/* Watches one key; replaces the previous watch, if any. */
	void (*watch)(
	    void *ctx, uint64_t call, const char *key, uint64_t from_revision);
	void (*unwatch)(void *ctx);
	void (*list)(void *ctx);
	void (*reboot)(
	    void *ctx, const char *instance_id, const char *operation);
	void (*check)(void *ctx, const member_instance_t *);
	int (*send)(void *ctx, fleet_link_t *, const Gw__Envelope *);
	void (*close)(void *ctx, fleet_link_t *);
	void (*reply)(void *ctx, void *request, int status, const char *text);
} fleet_ops_t;

#endif
