#include <string.h>

#include "machine.h"

#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_CONFLICT 409

typedef struct {
	machines_t *machines;
	char name[32];
	char pool[32];
	char data_centre[32];
	const char *order; /* state by an order in progress; NULL: none */
	worker_t *worker;  /* NULL: none */
	gw_timer_t timer;
} machine_t;

struct machines {
	gw_rt_t *rt;
	uint32_t order_ms;
	const char *standby_pool;
	const machines_ops_t *ops;
	GPtrArray *all; /* machine_t */
};

machines_t *
machines_new(gw_rt_t *rt, uint32_t order_ms, const char *standby_pool,
    const machines_ops_t *ops)
{
	machines_t *machines = g_new0(machines_t, 1);

	machines->rt = rt;
	machines->order_ms = order_ms;
	machines->standby_pool = standby_pool;
	machines->ops = ops;
	machines->all = g_ptr_array_new();
	return machines;
}

/*
 * Adds a machine with its worker, or without one (NULL) on standby.
 */
void
machines_add(machines_t *machines, const char *name, const char *pool,
    const char *data_centre, worker_t *worker)
{
	machine_t *machine = g_new0(machine_t, 1);

	machine->machines = machines;
	g_strlcpy(machine->name, name, sizeof(machine->name));
	g_strlcpy(machine->pool, pool, sizeof(machine->pool));
	g_strlcpy(
	    machine->data_centre, data_centre, sizeof(machine->data_centre));
	machine->worker = worker;
	g_ptr_array_add(machines->all, machine);
}

static const char *
state_name(const machine_t *machine)
{
	if (machine->order != NULL)
		return machine->order;
	return machine->worker != NULL && machine->worker->left ? "down" : "up";
}

/*
 * Returns the list of machines.
 */
json_t *
machines_json(const machines_t *machines)
{
	json_t *rows = json_array();

	for (guint i = 0; i < machines->all->len; i++) {
		const machine_t *machine = machines->all->pdata[i];
		bool has_worker =
		    machine->worker != NULL && machine->order == NULL;

		json_array_append_new(rows,
		    json_pack("{s:s, s:s, s:s, s:s, s:s*, s:{s:i, s:i, s:i}}",
			"machine", machine->name, "pool", machine->pool,
			"state", state_name(machine), "zone",
			machine->data_centre, "id",
			has_worker ? machine->worker->id : NULL, "capacity",
			"cpu", 4000, "mem_mb", 65536, "gpu", 0));
	}
	return json_pack("{s:o}", "machines", rows);
}

static machine_t *
find(const machines_t *machines, const char *name)
{
	for (guint i = 0; i < machines->all->len; i++) {
		machine_t *machine = machines->all->pdata[i];

		if (name != NULL && strcmp(machine->name, name) == 0)
			return machine;
	}
	return NULL;
}

static void
on_order_done(gw_timer_t *timer, void *arg)
{
	machine_t *machine = arg;
	const machines_t *machines = machine->machines;

	(void)timer;
	machine->order = NULL;
	if (strcmp(machine->pool, machines->standby_pool) != 0)
		machine->worker = machines->ops->start_worker(
		    machine->pool, machine->data_centre, machine->name);
}

/*
 * Carries out an order. Returns the status of the response.
 */
int
machines_order(machines_t *machines, const machine_order_t *order)
{
	machine_t *machine = find(machines, order->machine);

	if (machines->order_ms == 0)
		return STATUS_OK;
	if (machine == NULL)
		return STATUS_BAD_REQUEST;
	if (order->pool != NULL && strcmp(order->pool, machine->pool) == 0)
		return STATUS_OK;
	if (strcmp(state_name(machine), "up") != 0 ||
	    (machine->worker != NULL && machine->worker->leaving))
		return STATUS_CONFLICT;
	if (machine->worker != NULL)
		worker_leave_now(machine->worker,
		    order->pool == NULL ? "maintained" : "moved");
	machine->worker = NULL;
	machine->order = order->pool == NULL ? "upkeep" : "moving";
	if (order->pool != NULL)
		g_strlcpy(machine->pool, order->pool, sizeof(machine->pool));
	gw_timer_start(machines->rt, &machine->timer,
	    machines->order_ms * GW_US_PER_MS, on_order_done, machine);
	return STATUS_OK;
}
