#include "daemon.h"
#include "gw/log.h"

/* Delay before a closed or failed connection to a gwfleetd is made again. */
#define REDIAL_DELAY_MS 500

/* One connection, as the state machine sees it. */
struct fleet_link {
	daemon_t *daemon;
	gw_conn_t *conn;
	bool open;	       /* FLEET_LINK_OPEN was sent for it */
	struct dialer *dialer; /* NULL: the peer made the connection */
};

/* Keeps up the connection to another gwfleetd. */
typedef struct dialer {
	daemon_t *daemon;
	gw_addr_t addr;
	gw_timer_t timer;
} dialer_t;

static void on_open(gw_conn_t *, void *);
static void on_message(gw_conn_t *, const Gw__Envelope *, void *);
static void on_close(gw_conn_t *, const gw_err_t *, void *);

static const gw_conn_ops_t link_ops = {
    .on_open = on_open,
    .on_message = on_message,
    .on_close = on_close,
};

static fleet_link_t *
link_new(daemon_t *daemon, dialer_t *dialer)
{
	fleet_link_t *link;

	link = g_new0(fleet_link_t, 1);
	link->daemon = daemon;
	link->dialer = dialer;
	g_ptr_array_add(daemon->links, link);
	return link;
}

static void
on_open(gw_conn_t *conn, void *arg)
{
	fleet_link_t *link = arg;
	fleet_msg_t msg = {.kind = FLEET_LINK_OPEN,
	    .link = link,
	    .dialed = link->dialer != NULL};

	(void)conn;
	link->open = true;
	fleet_handle(link->daemon->fleet, &msg);
}

static void
on_message(gw_conn_t *conn, const Gw__Envelope *envelope, void *arg)
{
	fleet_link_t *link = arg;
	fleet_msg_t msg = {
	    .kind = FLEET_LINK_MESSAGE, .link = link, .envelope = envelope};

	(void)conn;
	fleet_handle(link->daemon->fleet, &msg);
}

static void
dial(gw_timer_t *timer, void *arg)
{
	dialer_t *dialer = arg;
	fleet_link_t *link = link_new(dialer->daemon, dialer);

	(void)timer;
	link->conn =
	    gw_conn_connect(dialer->daemon->rt, &dialer->addr, &link_ops, link);
}

static void
on_close(gw_conn_t *conn, const gw_err_t *err, void *arg)
{
	fleet_link_t *link = arg;
	daemon_t *daemon = link->daemon;
	fleet_msg_t msg = {.kind = FLEET_LINK_CLOSED, .link = link};

	(void)conn;
	(void)err;
	if (link->open)
		fleet_handle(daemon->fleet, &msg);
	if (link->dialer != NULL && !daemon->stopping)
		gw_timer_start(daemon->rt, &link->dialer->timer,
		    REDIAL_DELAY_MS * GW_US_PER_MS, dial, link->dialer);
	g_ptr_array_remove(daemon->links, link);
}

static void
on_accept(gw_conn_t *conn, void *arg)
{
	fleet_link_t *link = link_new(arg, NULL);

	link->conn = conn;
	gw_conn_set_ops(conn, &link_ops, link);
	on_open(conn, link);
}

/*
 * Listens for routers and other gwfleetd.
 */
int
links_listen(daemon_t *daemon, const gw_addr_t *addr, gw_err_t *err)
{
	daemon->listener = gw_listener_new(
	    daemon->rt, addr, &link_ops, on_accept, daemon, err);
	return daemon->listener == NULL ? -1 : 0;
}

/*
 * Connects to the gwfleetd at addr, and reconnects whenever the connection
 * closes.
 */
void
links_dial(daemon_t *daemon, const gw_addr_t *addr)
{
	dialer_t *dialer;

	dialer = g_new0(dialer_t, 1);
	dialer->daemon = daemon;
	dialer->addr = *addr;
	g_ptr_array_add(daemon->dialers, dialer);
	dial(NULL, dialer);
}

/*
 * Stops listening and closes all connections.
 */
void
links_shutdown(daemon_t *daemon)
{
	gw_listener_close(daemon->listener);
	for (guint i = 0; i < daemon->dialers->len; i++)
		gw_timer_stop(&((dialer_t *)daemon->dialers->pdata[i])->timer);
	for (guint i = 0; i < daemon->links->len; i++)
		gw_conn_close(
		    ((const fleet_link_t *)daemon->links->pdata[i])->conn);
}

/*
 * Sends a message.
 */
int
port_send(void *ctx, fleet_link_t *link, const Gw__Envelope *envelope)
{
	gw_err_t err;

	(void)ctx;
	return gw_conn_send(link->conn, envelope, &err);
}

/*
 * Closes a connection; FLEET_LINK_CLOSED follows.
 */
void
port_close(void *ctx, fleet_link_t *link)
{
	(void)ctx;
	gw_conn_close(link->conn);
}
