#ifndef GWWORKERD_MACHINE_H
#define GWWORKERD_MACHINE_H

#include <jansson.h>

#include "worker.h"

/*
 * The machines of the workers, as the platform lists them, and the orders to
 * move or maintain one: its worker ends at once, and after a while another one
 * starts there.
 */
typedef struct machines machines_t;

typedef struct {
	/* Starts a worker on the machine; NULL if that fails. */
	worker_t *(*start_worker)(
	    const char *pool, const char *data_centre, const char *machine);
} machines_ops_t;

/* An order to a machine, decoded. */
typedef struct {
	const char *machine;
	const char *pool; /* NULL: it is maintained */
} machine_order_t;

/*
 * order_ms is the time from an order to the next worker; 0: orders have no
 * effect. The machines of standby_pool have no workers.
 */
machines_t *machines_new(gw_rt_t *, uint32_t order_ms, const char *standby_pool,
    const machines_ops_t *);
void machines_add(machines_t *, const char *name, const char *pool,
    const char *data_centre, worker_t *);
json_t *machines_json(const machines_t *);
int machines_order(machines_t *, const machine_order_t *);

#endif
