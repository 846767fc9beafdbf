#ifndef FLEET_MSG_H
#define FLEET_MSG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "gw/err.h"
#include "member/member.h"
#include "store/store.h"
#include "wire/gw.pb-c.h"

/* A connection to a router or another gwfleetd; owned by the network port. */
typedef struct fleet_link fleet_link_t;

typedef enum {
	FLEET_TICK = 1,	    /* FLEET_TICK_MS have passed */
	FLEET_STORE_READ,   /* answer to get */
	FLEET_STORE_PUT,    /* answer to put_if */
	FLEET_STORE_LEASE,  /* answer to lease_grant, lease_renew or revoke */
	FLEET_WATCH_VALUE,  /* the watched key changed */
	FLEET_WATCH_END,    /* the watch has ended */
	FLEET_LIST,	    /* answer to list */
	FLEET_REBOOTED,	    /* answer to reboot */
	FLEET_CHECKED,	    /* answer to check */
	FLEET_LINK_OPEN,    /* a connection is open */
	FLEET_LINK_MESSAGE, /* a peer sent a message */
	FLEET_LINK_CLOSED,  /* the connection is gone */
	FLEET_WAVE,	    /* an operator starts or halts a wave */
	FLEET_JOB,	    /* a message of the job port */
	FLEET_SHUTDOWN	    /* release the lease and stop */
} fleet_msg_kind_t;

typedef enum {
	PLATFORM_LIVE = 1,
	PLATFORM_LEAVING,
	PLATFORM_ENDED
} platform_state_t;

/* One entry of the platform's instance list. */
typedef struct {
	char id[GW_NAME_BYTES];
	char incarnation[GW_NAME_BYTES];
	char address[GW_NAME_BYTES];
	uint16_t port;
	char data_centre[GW_NAME_BYTES];
	char failure_domain[GW_NAME_BYTES];
	bool entry; /* an entry instance, not a worker */
	platform_state_t state;
	uint64_t cpu_millis;
	uint64_t memory_mib;
	uint64_t accelerators;
} platform_instance_t;

/*
 * A message to the fleet daemon's state machine. Pointers are valid during
 * fleet_handle() only. An answer that carries a value has exactly one of value
 * and err set.
 */
typedef struct {
	fleet_msg_kind_t kind;
	uint64_t call; /* call number that a store answer or a watch is for */
	const store_value_t *value;
	const gw_err_t *err;   /* NULL: success */
	uint64_t number;       /* mod_revision, lease id, or the list's time */
	const GPtrArray *list; /* platform_instance_t; NULL: unchanged */
	const char *instance_id;
	const char *incarnation;
	fleet_link_t *link;
	bool dialed; /* this side made the connection */
	const Gw__Envelope *envelope;
	const char *wave;
	bool start;    /* FLEET_WAVE: start it, else halt it */
	void *request; /* the operator's; to be answered with ops->reply */
	const struct job_msg *job;
} fleet_msg_t;

#endif
