#include <string.h>

#include <glib.h>

#include "gw/log.h"
#include "planner_impl.h"

/*
 * An order or a request for a page of the list without a response by then
 * counts as failed and is repeated later. Repeating an order is safe, since
 * orders are recorded first.
 */
#define ORDER_TIMEOUT_MS 1200
#define LIST_TIMEOUT_MS 1500

static void list_page(planner_t *);

/* The platform's machines. */

/*
 * Writes the name of the pool's shard to which the machine belongs. The fleet
 * treats each shard as a pool.
 */
void
planner_shard_of_machine(const planner_t *planner, const char *pool,
    const char *machine, char out[SCHED_NAME_BYTES])
{
	shard_format_name(pool, shard_of_id(machine, planner->shard_count),
	    planner->shard_count, out);
}

/*
 * Adds a page of machines to the fleet's list, and requests the next page or
 * ends the list.
 */
static void
handle_page(planner_t *planner, const gw_http_response_t *response)
{
	GArray *machines = g_array_new(FALSE, FALSE, sizeof(plat_machine_t));
	uint32_t ignored_rows;
	gw_err_t err;

	g_clear_pointer(&planner->list_page_token, g_free);
	if (plat_machines_decode(machines, &planner->list_page_token,
		&ignored_rows, response, &err) != 0) {
		gw_log(GW_EV_DEPENDENCY_LOST,
		    "dependency=machines step=\"%s\" text=\"%s\"", err.step,
		    err.text);
		g_array_free(machines, TRUE);
		planner->reading_list = false;
		return;
	}
	if (ignored_rows > 0)
		gw_log(
		    GW_EV_ENTRY_IGNORED, "list=machines rows=%u", ignored_rows);
	for (guint i = 0; i < machines->len; i++) {
		const plat_machine_t *from =
		    &g_array_index(machines, plat_machine_t, i);
		fleet_machine_t machine = {
		    .cpu_millis = from->capacity.cpu_millis,
		    .up = from->state == PLAT_MACHINE_UP};

		g_strlcpy(machine.name, from->name, sizeof(machine.name));
		planner_shard_of_machine(
		    planner, from->pool, from->name, machine.pool);
		g_strlcpy(
		    machine.instance, from->instance, sizeof(machine.instance));
		fleet_list_add(planner->fleet, &machine);
	}
	g_array_free(machines, TRUE);
	if (planner->list_page_token != NULL) {
		list_page(planner);
		return;
	}
	planner->reading_list = false;
	fleet_list_end(planner->fleet);
}

static void
on_page(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	planner_t *planner = arg;

	if (!planner_end_call(planner))
		return;
	planner->machines_failed = response == NULL;
	if (response != NULL) {
		handle_page(planner, response);
		return;
	}
	gw_log(GW_EV_DEPENDENCY_LOST,
	    "dependency=machines step=\"%s\" text=\"%s\"", err->step,
	    err->text);
	planner->reading_list = false;
}

static void
list_page(planner_t *planner)
{
	g_autofree char *path = plat_machines_path(planner->list_page_token);

	planner->calls_in_flight++;
	(void)gw_httpc_call(planner->machines_api, "GET", path, NULL,
	    LIST_TIMEOUT_MS, on_page, planner);
}

/*
 * Begins to read the platform's list of machines, unless it is being read.
 */
void
planner_list_machines(planner_t *planner)
{
	if (planner->reading_list || planner->machines_api == NULL)
		return;
	planner->reading_list = true;
	g_clear_pointer(&planner->list_page_token, g_free);
	fleet_list_begin(planner->fleet);
	list_page(planner);
}

static fleet_order_result_t
order_result(plat_machine_result_t result)
{
	switch (result) {
	case PLAT_MACHINE_OK:
		return FLEET_ORDER_OK;
	case PLAT_MACHINE_NOT_IN_WAVE:
	case PLAT_MACHINE_INVALID:
		return FLEET_ORDER_REJECTED;
	case PLAT_MACHINE_NO_RESPONSE:
		return FLEET_ORDER_NO_RESPONSE;
	default:
		return FLEET_ORDER_BUSY;
	}
}

static void
on_ordered(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	planner_call_t *call = arg;
	planner_t *planner = call->planner;
	fleet_order_result_t result = FLEET_ORDER_NO_RESPONSE;

	if (response != NULL)
		result = order_result(plat_machine_result_decode(response));
	gw_log(GW_EV_MACHINE_ORDER, "machine=%s status=%d err=%s",
	    call->subject, response == NULL ? 0 : response->status,
	    err == NULL ? "none" : gw_errc_name(err->code));
	if (planner_end_call(planner)) {
		planner->machines_failed = response == NULL;
		fleet_handle_order_result(
		    planner->fleet, call->subject, result);
	}
	g_free(call);
}

/*
 * Sends a recorded order. Its result is passed to fleet_handle_order_result().
 */
void
planner_send_order(planner_t *planner, const order_t *order)
{
	g_autofree char *headers =
	    plat_machine_headers(planner->node, planner->fence);
	bool is_move = order->pool[0] != '\0';
	g_autofree char *body = is_move
	    ? plat_move_body(order->machine, order->pool)
	    : plat_maintenance_body(order->machine, order->wave);

	(void)gw_httpc_call_with_headers(planner->machines_api, "POST",
	    is_move ? PLAT_MOVE_PATH : PLAT_MAINTENANCE_PATH, headers, body,
	    ORDER_TIMEOUT_MS, on_ordered,
	    planner_call_new(planner, order->machine));
}
