#include <string.h>

#include <glib.h>

#include "gw/log.h"
#include "planner_impl.h"

/*
 * An order or a list without an answer for so long is asked for again; repeats
 * are safe, as orders are recorded first.
 */
#define ORDER_TIMEOUT_MS 1200
#define LIST_TIMEOUT_MS 1500

static void list_page(planner_t *);

/* The platform's machines. */

/*
 * Names the part of the pool to which the machine belongs. The fleet knows the
 * parts as pools of their own.
 */
void
planner_part_of_machine(const planner_t *planner, const char *pool,
    const char *machine, char out[SCHED_NAME_BYTES])
{
	parts_name(
	    pool, parts_of(machine, planner->parts), planner->parts, out);
}

static void
take_page(planner_t *planner, const gw_http_response_t *response)
{
	GArray *machines = g_array_new(FALSE, FALSE, sizeof(plat_machine_t));
	gw_err_t err;

	g_clear_pointer(&planner->page, g_free);
	if (plat_machines_decode(machines, &planner->page, response, &err) !=
	    0) {
		gw_log(GW_EV_DEPENDENCY_LOST,
		    "dependency=machines step=\"%s\" text=\"%s\"", err.step,
		    err.text);
		g_array_free(machines, TRUE);
		planner->listing = false;
		return;
	}
	for (guint i = 0; i < machines->len; i++) {
		const plat_machine_t *from =
		    &g_array_index(machines, plat_machine_t, i);
		fleet_machine_t machine = {
		    .cpu_millis = from->capacity.cpu_millis,
		    .up = from->state == PLAT_MACHINE_UP};

		g_strlcpy(machine.name, from->name, sizeof(machine.name));
		planner_part_of_machine(
		    planner, from->pool, from->name, machine.pool);
		g_strlcpy(
		    machine.instance, from->instance, sizeof(machine.instance));
		fleet_list_machine(planner->fleet, &machine);
	}
	g_array_free(machines, TRUE);
	if (planner->page != NULL) {
		list_page(planner);
		return;
	}
	planner->listing = false;
	fleet_end_list(planner->fleet);
}

static void
on_page(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	planner_t *planner = arg;

	if (!planner_call_ended(planner))
		return;
	if (response != NULL) {
		take_page(planner, response);
		return;
	}
	gw_log(GW_EV_DEPENDENCY_LOST,
	    "dependency=machines step=\"%s\" text=\"%s\"", err->step,
	    err->text);
	planner->listing = false;
}

static void
list_page(planner_t *planner)
{
	g_autofree char *path = plat_machines_path(planner->page);

	planner->refs++;
	(void)gw_httpc_call(planner->machines, "GET", path, NULL,
	    LIST_TIMEOUT_MS, on_page, planner);
}

/*
 * Begins to read the platform's list of machines, unless that is under way.
 */
void
planner_list_machines(planner_t *planner)
{
	if (planner->listing || planner->machines == NULL)
		return;
	planner->listing = true;
	g_clear_pointer(&planner->page, g_free);
	fleet_begin_list(planner->fleet);
	list_page(planner);
}

static fleet_answer_t
translate(plat_machine_result_t answer)
{
	switch (answer) {
	case PLAT_MACHINE_OK:
		return FLEET_ORDER_OK;
	case PLAT_MACHINE_NOT_IN_WAVE:
	case PLAT_MACHINE_INVALID:
		return FLEET_ORDER_REJECTED;
	case PLAT_MACHINE_NO_ANSWER:
		return FLEET_ORDER_NO_ANSWER;
	default:
		return FLEET_ORDER_BUSY;
	}
}

static void
on_ordered(const gw_http_response_t *response, const gw_err_t *err, void *arg)
{
	asked_t *asked = arg;
	planner_t *planner = asked->planner;
	fleet_answer_t answer = FLEET_ORDER_NO_ANSWER;

	if (response != NULL)
		answer = translate(plat_machine_result_decode(response));
	gw_log(GW_EV_MACHINE_ORDER, "machine=%s status=%d err=%s",
	    asked->machine, response == NULL ? 0 : response->status,
	    err == NULL ? "none" : gw_errc_name(err->code));
	if (planner_call_ended(planner))
		fleet_ordered(planner->fleet, asked->machine, answer);
	g_free(asked);
}

/*
 * Sends a recorded order. fleet_ordered() follows.
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

	(void)gw_httpc_call_with(planner->machines, "POST",
	    is_move ? PLAT_MOVE_PATH : PLAT_MAINTENANCE_PATH, headers, body,
	    ORDER_TIMEOUT_MS, on_ordered,
	    planner_asked_new(planner, order->machine));
}
