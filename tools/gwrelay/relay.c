#include <glib.h>

#include "relay.h"

#define BACKLOG 128
#define BUFFER_BYTES 65536

typedef struct pair pair_t;

/* One of the two connections of a pair. */
typedef struct {
	uv_tcp_t tcp;
	uv_write_t write;
	pair_t *pair;
	char buffer[BUFFER_BYTES]; /* read here, written to the other side */
	bool writing;		   /* the write has not completed */
} side_t;

/* A client's connection and the connection to the target. */
struct pair {
	relay_t *relay;
	side_t client;
	side_t target;
	uv_connect_t connect;
	bool connect_started; /* to the target */
	bool connected;	      /* to the target */
	bool closing;
	int open_handles;
};

struct relay {
	uv_tcp_t listener;
	gw_addr_t target_addr;
	GPtrArray *pairs;
	relay_mode_t mode;
};

static void
on_side_closed(uv_handle_t *handle)
{
	side_t *side = handle->data;

	if (--side->pair->open_handles == 0)
		g_free(side->pair);
}

static void
pair_close(pair_t *pair)
{
	if (pair->closing)
		return;
	pair->closing = true;
	(void)g_ptr_array_remove_fast(pair->relay->pairs, pair);
	uv_close((uv_handle_t *)&pair->client.tcp, on_side_closed);
	uv_close((uv_handle_t *)&pair->target.tcp, on_side_closed);
}

static side_t *
other_side(side_t *side)
{
	pair_t *pair = side->pair;

	return side == &pair->client ? &pair->target : &pair->client;
}

static void
on_alloc(uv_handle_t *handle, size_t suggested_bytes, uv_buf_t *buf)
{
	side_t *side = handle->data;

	(void)suggested_bytes;
	*buf = uv_buf_init(side->buffer, BUFFER_BYTES);
}

static void side_read(side_t *);

static void
on_written(uv_write_t *req, int status)
{
	side_t *side = req->data;

	side->writing = false;
	if (side->pair->closing)
		return;
	if (status < 0)
		pair_close(side->pair);
	else
		side_read(side);
}

/*
 * Writes what was read to the other side. Reading stops until that write has
 * completed, so that a slow receiver slows its sender down.
 */
static void
on_read(uv_stream_t *stream, ssize_t size_bytes, const uv_buf_t *buf)
{
	side_t *side = stream->data;
	uv_buf_t data;

	if (size_bytes == 0)
		return;
	if (size_bytes < 0) {
		pair_close(side->pair);
		return;
	}
	(void)uv_read_stop(stream);
	data = uv_buf_init(buf->base, (unsigned)size_bytes);
	side->writing = true;
	side->write.data = side;
	if (uv_write(&side->write, (uv_stream_t *)&other_side(side)->tcp, &data,
		1, on_written) != 0)
		pair_close(side->pair);
}

/*
 * Starts reading from a side when the relay forwards, the pair is connected and
 * what was read last has been written.
 */
static void
side_read(side_t *side)
{
	pair_t *pair = side->pair;

	if (pair->connected && !pair->closing && !side->writing &&
	    pair->relay->mode == RELAY_FORWARDING)
		(void)uv_read_start(
		    (uv_stream_t *)&side->tcp, on_alloc, on_read);
}

static void
on_connected(uv_connect_t *req, int status)
{
	pair_t *pair = req->data;

	if (pair->closing)
		return;
	if (status < 0) {
		pair_close(pair);
		return;
	}
	pair->connected = true;
	side_read(&pair->client);
	side_read(&pair->target);
}

/*
 * Starts or resumes forwarding: connects to the target, or reads from both
 * sides when that connection was started earlier.
 */
static void
pair_resume(pair_t *pair)
{
	if (pair->connect_started) {
		side_read(&pair->client);
		side_read(&pair->target);
		return;
	}
	pair->connect_started = true;
	pair->connect.data = pair;
	if (uv_tcp_connect(&pair->connect, &pair->target.tcp,
		(const struct sockaddr *)&pair->relay->target_addr.sa,
		on_connected) != 0)
		pair_close(pair);
}

static void
side_init(side_t *side, pair_t *pair, uv_loop_t *loop)
{
	side->pair = pair;
	(void)uv_tcp_init(loop, &side->tcp);
	side->tcp.data = side;
	pair->open_handles++;
}

static void
on_connection(uv_stream_t *listener, int status)
{
	relay_t *relay = listener->data;
	pair_t *pair;

	if (status < 0)
		return;
	pair = g_new0(pair_t, 1);
	pair->relay = relay;
	side_init(&pair->client, pair, listener->loop);
	side_init(&pair->target, pair, listener->loop);
	g_ptr_array_add(relay->pairs, pair);
	if (uv_accept(listener, (uv_stream_t *)&pair->client.tcp) != 0 ||
	    relay->mode == RELAY_CLOSED)
		pair_close(pair);
	else if (relay->mode == RELAY_FORWARDING)
		pair_resume(pair);
}

/*
 * Returns a relay that accepts connections, in mode RELAY_FORWARDING, or NULL
 * with the error when it cannot listen.
 */
relay_t *
relay_new(gw_rt_t *rt, const gw_addr_t *listen_addr,
    const gw_addr_t *target_addr, gw_err_t *error)
{
	relay_t *relay = g_new0(relay_t, 1);
	int rc;

	relay->target_addr = *target_addr;
	relay->pairs = g_ptr_array_new();
	(void)uv_tcp_init(gw_rt_loop(rt), &relay->listener);
	relay->listener.data = relay;
	rc = uv_tcp_bind(
	    &relay->listener, (const struct sockaddr *)&listen_addr->sa, 0);
	if (rc == 0)
		rc = uv_listen(
		    (uv_stream_t *)&relay->listener, BACKLOG, on_connection);
	if (rc == 0)
		return relay;
	gw_err_set(
	    error, GW_ERR_UNAVAILABLE, "listen", "", "%s", uv_strerror(rc));
	return NULL;
}

/*
 * Sets the mode of all connections. Data sent during RELAY_SILENT is delivered
 * when the mode returns to RELAY_FORWARDING, as TCP retransmits it after a
 * partition.
 */
void
relay_set_mode(relay_t *relay, relay_mode_t mode)
{
	relay->mode = mode;
	for (guint i = relay->pairs->len; i-- > 0;) {
		pair_t *pair = relay->pairs->pdata[i];

		if (mode == RELAY_CLOSED) {
			pair_close(pair);
		} else if (mode == RELAY_FORWARDING) {
			pair_resume(pair);
		} else {
			(void)uv_read_stop((uv_stream_t *)&pair->client.tcp);
			(void)uv_read_stop((uv_stream_t *)&pair->target.tcp);
		}
	}
}
