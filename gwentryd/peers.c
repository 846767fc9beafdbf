#include <string.h>

#include <glib.h>

#include "gw/log.h"
#include "inbound.h"
#include "peers.h"
#include "wire/listener.h"

/* A connection that is not established within this time is closed. */
#define CONNECT_TIMEOUT_MS 400

/* Another entry process, and the calls to it without a response yet. */
typedef struct {
	peers_t *peers;
	char address[GW_ADDR_TEXT_BYTES];
	gw_conn_t *conn; /* NULL while there is none */
	bool is_open;	 /* the connection is established */
	bool is_lost;	 /* GW_EV_DEPENDENCY_LOST has been logged */
	gw_timer_t connect_timer;
	GQueue calls;		   /* call_t */
	uint64_t last_received_us; /* 0: nothing received yet */
} peer_t;

typedef struct {
	peer_t *peer;
	uint64_t number;
	uint8_t *packed; /* message until the connection is open, then NULL */
	size_t packed_bytes;
	uint64_t sent_us; /* 0: not sent yet */
	gw_timer_t timer; /* the call's timeout */
	peers_response_cb_t cb;
	void *arg;
	GList link;
} call_t;

/* A connection that another process opened to this one. */
typedef struct {
	peers_t *peers;
	inbound_link_t link; /* its conn is NULL once closed */
	uint32_t refs;	     /* the connection and each responder */
} caller_t;

struct peers_responder {
	caller_t *caller;
	uint64_t number;
};

struct peers {
	gw_rt_t *rt;
	gw_listener_t *listener;
	peers_call_cb_t on_call;
	void *arg;
	GHashTable *by_address; /* peer_t */
	uint64_t next_number;
	inbound_t inbound;
};

static void
caller_unref(caller_t *caller)
{
	if (--caller->refs == 0)
		g_free(caller);
}

static void
on_inbound_message(gw_conn_t *conn, const Gw__Envelope *envelope, void *arg)
{
	caller_t *caller = arg;
	peers_responder_t *responder;

	if (envelope->body_case != GW__ENVELOPE__BODY_CALL) {
		gw_log(GW_EV_PEER_BAD_FRAME,
		    "peer=%s text=\"message is not a call; connection closed\"",
		    gw_conn_peer(conn));
		gw_conn_close(conn);
		return;
	}
	inbound_record_message(&caller->link);
	responder = g_new(peers_responder_t, 1);
	responder->caller = caller;
	responder->number = envelope->call->number;
	caller->refs++;
	caller->peers->on_call(envelope->call, responder, caller->peers->arg);
}

static void
on_inbound_close(gw_conn_t *conn, const gw_err_t *err, void *arg)
{
	caller_t *caller = arg;

	(void)conn;
	(void)err;
	inbound_remove(&caller->link);
	caller_unref(caller);
}

static void
on_inbound_partial(gw_conn_t *conn, void *arg)
{
	(void)conn;
	inbound_bound_partial(&((caller_t *)arg)->peers->inbound);
}

static const gw_conn_ops_t inbound_ops = {.on_message = on_inbound_message,
    .on_partial = on_inbound_partial,
    .on_close = on_inbound_close};

static void
on_accept(gw_conn_t *conn, void *arg)
{
	caller_t *caller = g_new0(caller_t, 1);

	caller->peers = arg;
	caller->refs = 1;
	gw_conn_set_ops(conn, &inbound_ops, caller);
	inbound_add(&caller->peers->inbound, &caller->link, conn);
}

/*
 * Replies to a call and frees the responder. If the connection has closed, the
 * response is dropped, and the other process repeats the call.
 */
void
peers_reply(peers_responder_t *responder, Gw__Reply *response)
{
	Gw__Envelope envelope = GW__ENVELOPE__INIT;
	caller_t *caller = responder->caller;
	gw_err_t err;

	response->number = responder->number;
	envelope.body_case = GW__ENVELOPE__BODY_REPLY;
	envelope.reply = response;
	if (caller->link.conn != NULL &&
	    gw_conn_send(caller->link.conn, &envelope, &err) != 0)
		gw_log(GW_EV_PEER_CLOSED,
		    "peer=%s step=\"%s\" err=%s text=\"%s\"", err.peer,
		    err.step, gw_errc_name(err.code), err.text);
	caller_unref(caller);
	g_free(responder);
}

/*
 * Passes the response to the call's callback, or the failure when there is
 * none, and frees the call.
 */
static void
finish_call(call_t *call, const Gw__Reply *response)
{
	peers_failure_t failure =
	    call->sent_us == 0 ? PEERS_NOT_SENT : PEERS_NO_RESPONSE;

	gw_timer_stop(&call->timer);
	g_queue_unlink(&call->peer->calls, &call->link);
	call->cb(response, failure, call->arg);
	g_free(call->packed);
	g_free(call);
}

static void
send_call(peer_t *peer, call_t *call, Gw__Call *message)
{
	Gw__Envelope envelope = GW__ENVELOPE__INIT;
	gw_err_t err;

	envelope.body_case = GW__ENVELOPE__BODY_CALL;
	envelope.call = message;
	if (gw_conn_send(peer->conn, &envelope, &err) == 0)
		call->sent_us = gw_rt_now_us(peer->peers->rt);
}

/*
 * Sends a call that was packed until the connection was open.
 */
static void
send_packed_call(peer_t *peer, call_t *call)
{
	Gw__Call *message =
	    gw__call__unpack(NULL, call->packed_bytes, call->packed);

	if (message == NULL)
		return;
	send_call(peer, call, message);
	gw__call__free_unpacked(message, NULL);
	g_clear_pointer(&call->packed, g_free);
}

static void
on_peer_open(gw_conn_t *conn, void *arg)
{
	peer_t *peer = arg;

	(void)conn;
	gw_timer_stop(&peer->connect_timer);
	peer->is_open = true;
	if (peer->is_lost)
		gw_log(GW_EV_DEPENDENCY_BACK, "dependency=entry peer=%s",
		    peer->address);
	peer->is_lost = false;
	for (GList *link = peer->calls.head; link != NULL; link = link->next)
		if (((call_t *)link->data)->packed != NULL)
			send_packed_call(peer, link->data);
}

static void
on_peer_message(gw_conn_t *conn, const Gw__Envelope *envelope, void *arg)
{
	peer_t *peer = arg;

	(void)conn;
	peer->last_received_us = gw_rt_now_us(peer->peers->rt);
	if (envelope->body_case != GW__ENVELOPE__BODY_REPLY)
		return;
	for (GList *link = peer->calls.head; link != NULL; link = link->next) {
		call_t *call = link->data;

		if (call->number != envelope->reply->number)
			continue;
		finish_call(call, envelope->reply);
		return;
	}
}

static void
on_peer_close(gw_conn_t *conn, const gw_err_t *err, void *arg)
{
	peer_t *peer = arg;

	if (peer->conn != conn)
		return;
	gw_timer_stop(&peer->connect_timer);
	peer->conn = NULL;
	peer->is_open = false;
	if (!peer->is_lost && peer->calls.length > 0) {
		peer->is_lost = true;
		gw_log(GW_EV_DEPENDENCY_LOST,
		    "dependency=entry peer=%s step=\"%s\" err=%s text=\"%s\"",
		    peer->address, err->step, gw_errc_name(err->code),
		    err->text);
	}
	while (peer->calls.length > 0)
		finish_call(g_queue_peek_head(&peer->calls), NULL);
}

static const gw_conn_ops_t peer_ops = {.on_open = on_peer_open,
    .on_message = on_peer_message,
    .on_close = on_peer_close};

static void
on_connect_timeout(gw_timer_t *timer, void *arg)
{
	peer_t *peer = arg;

	(void)timer;
	if (peer->conn != NULL)
		gw_conn_close(peer->conn);
}

static int
connect_peer(peer_t *peer)
{
	gw_addr_t addr;
	gw_err_t err;

	if (gw_addr_parse(&addr, peer->address, &err) != 0)
		return -1;
	peer->conn = gw_conn_connect(peer->peers->rt, &addr, &peer_ops, peer);
	gw_timer_start(peer->peers->rt, &peer->connect_timer,
	    CONNECT_TIMEOUT_MS * GW_US_PER_MS, on_connect_timeout, peer);
	return 0;
}

static peer_t *
peer_get(peers_t *peers, const char *address)
{
	peer_t *peer = g_hash_table_lookup(peers->by_address, address);

	if (peer != NULL)
		return peer;
	peer = g_new0(peer_t, 1);
	peer->peers = peers;
	g_strlcpy(peer->address, address, sizeof(peer->address));
	g_queue_init(&peer->calls);
	g_hash_table_insert(peers->by_address, peer->address, peer);
	return peer;
}

/*
 * Fails a call that timed out. If nothing was received on the connection since
 * the call was sent, the connection is assumed dead and is closed.
 */
static void
on_call_timeout(gw_timer_t *timer, void *arg)
{
	call_t *call = arg;
	peer_t *peer = call->peer;
	bool is_silent =
	    call->sent_us != 0 && peer->last_received_us < call->sent_us;

	(void)timer;
	finish_call(call, NULL);
	if (is_silent && peer->conn != NULL)
		gw_conn_close(peer->conn);
}

static void
pack_call(call_t *call, const Gw__Call *message)
{
	call->packed_bytes = gw__call__get_packed_size(message);
	call->packed = g_malloc(call->packed_bytes);
	gw__call__pack(message, call->packed);
}

void
peers_call(peers_t *peers, const char *address, Gw__Call *message,
    uint64_t timeout_ms, peers_response_cb_t cb, void *arg)
{
	peer_t *peer = peer_get(peers, address);
	call_t *call = g_new0(call_t, 1);

	message->number = ++peers->next_number;
	call->peer = peer;
	call->number = message->number;
	call->cb = cb;
	call->arg = arg;
	call->link.data = call;
	g_queue_push_tail_link(&peer->calls, &call->link);
	gw_timer_start(peers->rt, &call->timer, timeout_ms * GW_US_PER_MS,
	    on_call_timeout, call);
	if (peer->is_open) {
		send_call(peer, call, message);
		return;
	}
	pack_call(call, message);
	if (peer->conn == NULL && connect_peer(peer) != 0)
		gw_timer_start(
		    peers->rt, &call->timer, 0, on_call_timeout, call);
}

/*
 * Listens for other entry processes. Returns NULL and sets err on failure.
 */
peers_t *
peers_new(gw_rt_t *rt, const gw_addr_t *listen, peers_call_cb_t on_call,
    void *arg, gw_err_t *err)
{
	peers_t *peers = g_new0(peers_t, 1);

	peers->rt = rt;
	peers->on_call = on_call;
	peers->arg = arg;
	inbound_init(&peers->inbound, rt);
	peers->by_address = g_hash_table_new(g_str_hash, g_str_equal);
	peers->listener =
	    gw_listener_new(rt, listen, &inbound_ops, on_accept, peers, err);
	if (peers->listener != NULL)
		return peers;
	g_hash_table_destroy(peers->by_address);
	g_free(peers);
	return NULL;
}

void
peers_set_descriptors(peers_t *peers, uint32_t descriptors)
{
	inbound_set_descriptors(&peers->inbound, descriptors);
}
