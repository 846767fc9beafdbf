#include "gw/log.h"
#include "inbound.h"

/* Of frames that have not arrived to their end, in all. */
#define PARTIAL_MAX_BYTES (4 * GW_FRAME_MAX_BYTES)
/*
 * Share of the descriptors: 512 of 4,100, since each other process of a fleet
 * of several hundred may have a connection.
 */
#define DESCRIPTORS_DIVISOR 8
#define CONNECTIONS_MIN 16
#define LOG_INTERVAL_US (1000 * GW_US_PER_MS)

void
inbound_init(inbound_t *inbound, gw_rt_t *rt)
{
	inbound->rt = rt;
	inbound->connections_max = CONNECTIONS_MIN;
	g_queue_init(&inbound->links);
}

void
inbound_set_descriptors(inbound_t *inbound, uint32_t descriptors)
{
	inbound->connections_max =
	    MAX(descriptors / DESCRIPTORS_DIVISOR, CONNECTIONS_MIN);
}

/*
 * Returns whether a connection is to be closed before another one: those first
 * that have not sent a whole message, of these the one that holds most, of
 * others the one that has been silent longest.
 */
static bool
goes_before(const inbound_link_t *a, const inbound_link_t *b)
{
	uint64_t a_bytes = gw_conn_partial_bytes(a->conn);
	uint64_t b_bytes = gw_conn_partial_bytes(b->conn);

	if (a->has_sent != b->has_sent)
		return b->has_sent;
	if (a_bytes != b_bytes)
		return a_bytes > b_bytes;
	return a->last_us < b->last_us;
}

/*
 * Logs a connection that is closed, at most once in a while.
 */
static void
log_closed(inbound_t *inbound, const inbound_link_t *link)
{
	uint64_t now_us = gw_rt_now_us(inbound->rt);

	if (inbound->logged_us != 0 &&
	    gw_elapsed_us(now_us, inbound->logged_us) < LOG_INTERVAL_US)
		return;
	inbound->logged_us = now_us;
	gw_log(GW_EV_PEER_LIMIT,
	    "peer=%s partial_bytes=%" PRIu64 " open=%u closed_total=%" PRIu64,
	    gw_conn_peer(link->conn), gw_conn_partial_bytes(link->conn),
	    inbound->links.length, inbound->closed);
}

/*
 * Closes the connection that costs most for what it sends.
 */
static void
close_worst(inbound_t *inbound)
{
	inbound_link_t *worst = inbound->links.head->data;
	gw_conn_t *conn;

	for (GList *link = inbound->links.head; link != NULL; link = link->next)
		if (goes_before(link->data, worst))
			worst = link->data;
	inbound->closed++;
	log_closed(inbound, worst);
	conn = worst->conn;
	inbound_remove(worst);
	gw_conn_close(conn);
}

void
inbound_add(inbound_t *inbound, inbound_link_t *link, gw_conn_t *conn)
{
	link->inbound = inbound;
	link->conn = conn;
	link->has_sent = false;
	link->last_us = gw_rt_now_us(inbound->rt);
	link->link.data = link;
	g_queue_push_tail_link(&inbound->links, &link->link);
	while (inbound->links.length > inbound->connections_max)
		close_worst(inbound);
}

void
inbound_remove(inbound_link_t *link)
{
	if (link->conn != NULL)
		g_queue_unlink(&link->inbound->links, &link->link);
	link->conn = NULL;
}

void
inbound_record_message(inbound_link_t *link)
{
	link->has_sent = true;
	link->last_us = gw_rt_now_us(link->inbound->rt);
}

static uint64_t
partial_bytes(const inbound_t *inbound)
{
	uint64_t sum_bytes = 0;

	for (GList *link = inbound->links.head; link != NULL; link = link->next)
		sum_bytes +=
		    gw_conn_partial_bytes(((inbound_link_t *)link->data)->conn);
	return sum_bytes;
}

void
inbound_bound_partial(inbound_t *inbound)
{
	while (partial_bytes(inbound) > PARTIAL_MAX_BYTES)
		close_worst(inbound);
}
