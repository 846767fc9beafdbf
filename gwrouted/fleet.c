#include "fleet.h"

#include "gw/log.h"
#include "report.h"
#include "router.h"
#include "wire/conn.h"

#define RECONNECT_DELAY_US (500 * GW_US_PER_MS)
/*
 * Number of heartbeats whose send times are kept until their Contact arrives:
 * 8 s, far more than GW_CONTACT_MS.
 */
#define HEARTBEAT_TIMES_MAX 16
/* One Outcome message is sent every second heartbeat, once a second. */
#define HEARTBEATS_PER_OUTCOME 2
/* Interval of the heartbeats that report the demand of every pool. */
#define FULL_DEMAND_INTERVAL_US (10 * GW_US_PER_S)

/* The connection to one gwfleetd. */
typedef struct {
	fleet_t *fleet;
	gw_addr_t addr;
	gw_conn_t *conn; /* NULL while waiting to reconnect */
	bool open;
	gw_timer_t reconnect;
	uint64_t planner_epoch; /* from its last Contact; 0 before the first */
	uint64_t view_sequence; /* of the last view whose grants were applied */
} link_t;

struct fleet {
	router_t *router;
	GPtrArray *links; /* link_t */
	gw_timer_t heartbeat;
	gw_timer_t ack;
	uint64_t sequence;
	uint64_t sent_us[HEARTBEAT_TIMES_MAX];
	const link_t *demand_link; /* to which demand was last sent, or NULL */
	/* Epoch of that planner, and time of the last report of all pools. */
	uint64_t demand_epoch;
	uint64_t full_demand_sent_us;
	bool closing;
};

static void link_connect(link_t *);
static void on_heartbeat(gw_timer_t *, void *);

static void
send_to(link_t *link, const Gw__Envelope *envelope)
{
	gw_err_t err;

	if (link->open && gw_conn_send(link->conn, envelope, &err) != 0)
		gw_log(GW_EV_FLEET_SEND, "peer=%s text=\"%s\"",
		    gw_conn_peer(link->conn), err.text);
}

static void
send_hello(link_t *link)
{
	Gw__Envelope envelope = GW__ENVELOPE__INIT;
	report_t report;

	report_hello(&report, link->fleet->router);
	envelope.body_case = GW__ENVELOPE__BODY_HELLO;
	envelope.hello = &report.hello;
	send_to(link, &envelope);
	report_clear(&report);
}

static void
send_heartbeat(link_t *link, report_demand_t demand, uint64_t sent_us)
{
	Gw__Envelope envelope = GW__ENVELOPE__INIT;
	fleet_t *fleet = link->fleet;
	report_t report;

	report_heartbeat(
	    &report, fleet->router, demand, fleet->sequence, sent_us);
	envelope.body_case = GW__ENVELOPE__BODY_HEARTBEAT;
	envelope.heartbeat = &report.heartbeat;
	send_to(link, &envelope);
	report_clear(&report);
}

/*
 * Acknowledges the view and generation in force. Each connection has its own
 * view sequence numbers.
 */
static void
send_ack(link_t *link)
{
	Gw__Envelope envelope = GW__ENVELOPE__INIT;
	report_t report;

	report_ack(&report, link->fleet->router, link->view_sequence);
	envelope.body_case = GW__ENVELOPE__BODY_ACK;
	envelope.ack = &report.ack;
	send_to(link, &envelope);
	report_clear(&report);
}

static void
on_ack(gw_timer_t *timer, void *arg)
{
	fleet_t *fleet = arg;

	(void)timer;
	for (guint i = 0; i < fleet->links->len; i++)
		send_ack(fleet->links->pdata[i]);
}

/*
 * Schedules one Ack for all changes of this iteration of the event loop.
 */
void
fleet_schedule_ack(fleet_t *fleet)
{
	if (!gw_timer_armed(&fleet->ack) && !fleet->closing)
		gw_timer_start(
		    fleet->router->rt, &fleet->ack, 0, on_ack, fleet);
}

/*
 * Returns the connection to the planner, or NULL. It is the open connection
 * whose last Contact has the highest epoch.
 */
static link_t *
planner_link(fleet_t *fleet)
{
	link_t *best = NULL;

	for (guint i = 0; i < fleet->links->len; i++) {
		link_t *link = fleet->links->pdata[i];

		if (link->open && link->planner_epoch > 0 &&
		    (best == NULL || link->planner_epoch > best->planner_epoch))
			best = link;
	}
	return best;
}

static void
send_outcome(fleet_t *fleet)
{
	Gw__Envelope envelope = GW__ENVELOPE__INIT;
	link_t *link = planner_link(fleet);
	report_t report;

	if (link == NULL)
		return;
	report_outcome(&report, fleet->router);
	envelope.body_case = GW__ENVELOPE__BODY_OUTCOME;
	envelope.outcome = &report.outcome;
	if (report.outcome.n_instances > 0)
		send_to(link, &envelope);
	report_clear(&report);
}

/*
 * Returns which pools the next heartbeat to the planner reports. All pools are
 * reported when the planner, its epoch or the connection is new and after each
 * FULL_DEMAND_INTERVAL_US, else only the changed ones.
 */
static report_demand_t
select_demand(fleet_t *fleet, const link_t *planner, uint64_t now_us)
{
	if (fleet->demand_link == planner &&
	    fleet->demand_epoch == planner->planner_epoch &&
	    now_us < fleet->full_demand_sent_us + FULL_DEMAND_INTERVAL_US)
		return DEMAND_CHANGED;
	fleet->demand_link = planner;
	fleet->demand_epoch = planner->planner_epoch;
	fleet->full_demand_sent_us = now_us;
	return DEMAND_FULL;
}

/*
 * Sends a heartbeat on every connection, with the demand to the planner only.
 * The validity of the contact counts from the send time, so the time is read
 * before the messages are built.
 */
static void
on_heartbeat(gw_timer_t *timer, void *arg)
{
	fleet_t *fleet = arg;
	uint64_t now_us = gw_rt_now_us(fleet->router->rt);
	const link_t *planner = planner_link(fleet);

	fleet->sequence++;
	fleet->sent_us[fleet->sequence % HEARTBEAT_TIMES_MAX] = now_us;
	for (guint i = 0; i < fleet->links->len; i++) {
		link_t *link = fleet->links->pdata[i];

		if (link->open)
			send_heartbeat(link,
			    link == planner ? select_demand(fleet, link, now_us)
					    : DEMAND_NONE,
			    now_us);
	}
	if (fleet->sequence % HEARTBEATS_PER_OUTCOME == 0)
		send_outcome(fleet);
	gw_timer_start(fleet->router->rt, timer, GW_HEARTBEAT_MS * GW_US_PER_MS,
	    on_heartbeat, fleet);
}

static void
schedule_heartbeat(fleet_t *fleet)
{
	if (!fleet->closing)
		gw_timer_start(fleet->router->rt, &fleet->heartbeat, 0,
		    on_heartbeat, fleet);
}

static void
on_contact(link_t *link, const Gw__Contact *contact)
{
	fleet_t *fleet = link->fleet;

	if (contact->sequence > fleet->sequence ||
	    contact->sequence + HEARTBEAT_TIMES_MAX <= fleet->sequence)
		return;
	/* A new planner needs the demand immediately. */
	if (link->planner_epoch != contact->epoch)
		schedule_heartbeat(fleet);
	link->planner_epoch = contact->epoch;
	member_router_contact_renew(&fleet->router->contact, contact->epoch,
	    fleet->sent_us[contact->sequence % HEARTBEAT_TIMES_MAX]);
}

/*
 * Returns whether the view comes from the current planner, so that its grants
 * apply. Only the planner sets admitted, and only the planner replies to
 * heartbeats with the epoch of the view. The grants from other gwfleetd
 * processes only repeat what this router held when it connected. A planner with
 * an earlier epoch has been replaced. The sequence number of a view is
 * acknowledged only if its grants were applied, so that no slot is used twice.
 */
static bool
is_from_planner(const link_t *link, const Gw__View *view)
{
	if (view->epoch < link->fleet->router->contact.epoch)
		return false;
	return view->admitted || link->planner_epoch == view->epoch;
}

static void
on_view(link_t *link, const Gw__View *view)
{
	router_t *router = link->fleet->router;
	bool from_planner = is_from_planner(link, view);

	if (view_apply(&router->view, view, from_planner) == VIEW_GAP) {
		gw_log(GW_EV_VIEW_GAP, "peer=%s base=%" PRIu64 " held=%" PRIu64,
		    gw_conn_peer(link->conn), view->base_version,
		    router->view.version);
		gw_conn_close(link->conn);
		return;
	}
	if (from_planner)
		link->view_sequence = view->sequence;
	fleet_schedule_ack(link->fleet);
}

static void
on_sections(link_t *link, const Gw__Sections *sections)
{
	router_t *router = link->fleet->router;
	bool adopted;
	gw_err_t err;

	if (config_apply(&router->config, sections, &adopted, &err) != 0) {
		gw_log(GW_EV_BAD_SECTIONS,
		    "peer=%s generation=%" PRIu64 " text=\"%s\"",
		    gw_conn_peer(link->conn), sections->generation, err.text);
		gw_conn_close(link->conn);
		return;
	}
	if (adopted)
		router_manifest_changed(router);
	fleet_schedule_ack(link->fleet);
}

static void
on_hello(link_t *link, const Gw__Hello *hello)
{
	const settings_t *settings = link->fleet->router->settings;

	if (hello->protocol == GW_PROTOCOL_VERSION &&
	    hello->role == GW__ROLE__ROLE_FLEET &&
	    g_strcmp0(hello->data_centre, settings->data_centre) == 0)
		return;
	gw_log(GW_EV_BAD_HELLO, "peer=%s protocol=%u role=%d data_centre=%s",
	    gw_conn_peer(link->conn), hello->protocol, (int)hello->role,
	    hello->data_centre);
	gw_conn_close(link->conn);
}

static void
on_message(gw_conn_t *conn, const Gw__Envelope *envelope, void *arg)
{
	link_t *link = arg;

	(void)conn;
	switch (envelope->body_case) {
	case GW__ENVELOPE__BODY_HELLO:
		on_hello(link, envelope->hello);
		break;
	case GW__ENVELOPE__BODY_CONTACT:
		on_contact(link, envelope->contact);
		break;
	case GW__ENVELOPE__BODY_VIEW:
		on_view(link, envelope->view);
		break;
	case GW__ENVELOPE__BODY_SECTIONS:
		on_sections(link, envelope->sections);
		break;
	default:
		break;
	}
}

static void
on_open(gw_conn_t *conn, void *arg)
{
	link_t *link = arg;

	(void)conn;
	link->open = true;
	link->view_sequence = 0;
	/*
	 * The peer may have restarted; only a new Contact makes it the planner.
	 */
	link->planner_epoch = 0;
	if (link->fleet->demand_link == link)
		link->fleet->demand_link = NULL;
	send_hello(link);
	/*
	 * Send a heartbeat now, so that contact is not delayed to the next
	 * regular one.
	 */
	schedule_heartbeat(link->fleet);
}

static void
on_reconnect(gw_timer_t *timer, void *arg)
{
	(void)timer;
	link_connect(arg);
}

static void
on_close(gw_conn_t *conn, const gw_err_t *err, void *arg)
{
	link_t *link = arg;

	(void)conn;
	(void)err;
	if (link == NULL)
		return;
	link->conn = NULL;
	link->open = false;
	if (!link->fleet->closing)
		gw_timer_start(link->fleet->router->rt, &link->reconnect,
		    RECONNECT_DELAY_US, on_reconnect, link);
}

static const gw_conn_ops_t link_ops = {
    .on_open = on_open, .on_message = on_message, .on_close = on_close};

static void
link_connect(link_t *link)
{
	link->conn = gw_conn_connect(
	    link->fleet->router->rt, &link->addr, &link_ops, link);
}

/*
 * Connects to every gwfleetd in the settings and starts the heartbeats.
 */
fleet_t *
fleet_new(router_t *router)
{
	const GArray *addrs = router->settings->fleet;
	fleet_t *fleet;
	link_t *link;

	fleet = g_new0(fleet_t, 1);
	fleet->router = router;
	fleet->links = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < addrs->len; i++) {
		link = g_new0(link_t, 1);
		link->fleet = fleet;
		link->addr = g_array_index(addrs, gw_addr_t, i);
		g_ptr_array_add(fleet->links, link);
		link_connect(link);
	}
	gw_timer_start(router->rt, &fleet->heartbeat,
	    GW_HEARTBEAT_MS * GW_US_PER_MS, on_heartbeat, fleet);
	return fleet;
}

/*
 * Closes the connections and frees the fleet.
 */
void
fleet_free(fleet_t *fleet)
{
	gw_timer_stop(&fleet->heartbeat);
	gw_timer_stop(&fleet->ack);
	for (guint i = 0; i < fleet->links->len; i++) {
		link_t *link = fleet->links->pdata[i];

		gw_timer_stop(&link->reconnect);
		if (link->conn == NULL)
			continue;
		gw_conn_set_ops(link->conn, &link_ops, NULL);
		gw_conn_close(link->conn);
	}
	g_ptr_array_unref(fleet->links);
	g_free(fleet);
}

/*
 * Notifies every gwfleetd that this router has drained and that its boot id
 * will not be used again. No heartbeat follows.
 */
void
fleet_send_goodbye(fleet_t *fleet)
{
	Gw__Envelope envelope = GW__ENVELOPE__INIT;
	Gw__Goodbye goodbye = GW__GOODBYE__INIT;

	fleet->closing = true;
	gw_timer_stop(&fleet->heartbeat);
	gw_timer_stop(&fleet->ack);
	goodbye.boot_id = fleet->router->boot_id;
	envelope.body_case = GW__ENVELOPE__BODY_GOODBYE;
	envelope.goodbye = &goodbye;
	for (guint i = 0; i < fleet->links->len; i++)
		send_to(fleet->links->pdata[i], &envelope);
}
