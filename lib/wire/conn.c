#include <string.h>

#include "gw/log.h"
#include "wire/conn.h"

#define READ_BYTES (64 * 1024)

struct gw_conn {
	uv_tcp_t tcp;
	uv_connect_t connect;
	gw_rt_t *rt;
	const gw_conn_ops_t *ops;
	void *arg;
	gw_frame_reader_t reader;
	gw_err_t close_err; /* the reason, passed to on_close */
	bool open;	    /* was connected; not cleared when closing */
	bool closing;
	uint64_t sent_bytes; /* queued for sending, frame headers included */
	uint64_t received_bytes;
	char peer[GW_ADDR_TEXT_BYTES];
};

/* libuv passes on what it read before it reads from another connection. */
static __thread char read_buf[READ_BYTES];

/* One frame being written to the socket. */
typedef struct {
	uv_write_t req;
	GBytes *bytes;
	gw_conn_t *conn;
} write_t;

static void
on_handle_closed(uv_handle_t *handle)
{
	gw_conn_t *conn = handle->data;

	if (conn->ops->on_close != NULL)
		conn->ops->on_close(conn, &conn->close_err, conn->arg);
	g_free(conn);
}

/*
 * Starts closing the connection; on_close is called from the loop. Frees what
 * was received at once, since many connections may be closed in one turn.
 */
static void
begin_close(gw_conn_t *conn)
{
	if (conn->closing)
		return;
	conn->closing = true;
	gw_log(GW_EV_PEER_CLOSED, "peer=%s step=\"%s\" err=%s text=\"%s\"",
	    conn->peer, conn->close_err.step,
	    gw_errc_name(conn->close_err.code), conn->close_err.text);
	gw_frame_reader_clear(&conn->reader);
	uv_close((uv_handle_t *)&conn->tcp, on_handle_closed);
}

static void
fail(gw_conn_t *conn, const char *step, int status)
{
	if (!conn->closing)
		gw_err_set(&conn->close_err, GW_ERR_UNAVAILABLE, step,
		    conn->peer, "%s", uv_strerror(status));
	begin_close(conn);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(read_buf, sizeof(read_buf));
}

/*
 * Passes each complete frame to the owner. Stops at an invalid frame, or when
 * the owner closes the connection.
 */
static void
deliver_frames(gw_conn_t *conn)
{
	Gw__Envelope *envelope;
	int rc;

	while (!conn->closing &&
	    (rc = gw_frame_reader_next(
		 &conn->reader, &envelope, &conn->close_err)) != 0) {
		if (rc < 0) {
			gw_log(GW_EV_PEER_BAD_FRAME, "peer=%s text=\"%s\"",
			    conn->peer, conn->close_err.text);
			g_strlcpy(conn->close_err.peer, conn->peer,
			    sizeof(conn->close_err.peer));
			begin_close(conn);
			return;
		}
		conn->ops->on_message(conn, envelope, conn->arg);
		gw__envelope__free_unpacked(envelope, NULL);
	}
}

static void
on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
	gw_conn_t *conn = stream->data;

	if (nread < 0) {
		fail(conn, "read", (int)nread);
		return;
	}
	conn->received_bytes += (uint64_t)nread;
	gw_frame_reader_feed(&conn->reader, buf->base, (size_t)nread);
	deliver_frames(conn);
	if (!conn->closing && conn->reader.buf->len > 0 &&
	    conn->ops->on_partial != NULL)
		conn->ops->on_partial(conn, conn->arg);
}

static void
start_reading(gw_conn_t *conn)
{
	conn->open = true;
	(void)uv_tcp_nodelay(&conn->tcp, 1);
	(void)uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	gw_log(GW_EV_PEER_OPEN, "peer=%s", conn->peer);
}

static void
on_connect(uv_connect_t *req, int status)
{
	gw_conn_t *conn = req->data;

	if (conn->closing)
		return;
	if (status != 0) {
		fail(conn, "connect", status);
		return;
	}
	start_reading(conn);
	if (conn->ops->on_open != NULL)
		conn->ops->on_open(conn, conn->arg);
}

static gw_conn_t *
conn_new(gw_rt_t *rt, const gw_conn_ops_t *ops, void *arg)
{
	gw_conn_t *conn;

	conn = g_new0(gw_conn_t, 1);
	conn->rt = rt;
	conn->ops = ops;
	conn->arg = arg;
	gw_frame_reader_init(&conn->reader);
	(void)uv_tcp_init(gw_rt_loop(rt), &conn->tcp);
	conn->tcp.data = conn;
	conn->connect.data = conn;
	return conn;
}

/*
 * Starts connecting to addr. A failure is reported through on_close, after this
 * function has returned.
 */
gw_conn_t *
gw_conn_connect(
    gw_rt_t *rt, const gw_addr_t *addr, const gw_conn_ops_t *ops, void *arg)
{
	gw_conn_t *conn;
	int rc;

	conn = conn_new(rt, ops, arg);
	(void)gw_addr_text(addr, conn->peer);
	rc = uv_tcp_connect(&conn->connect, &conn->tcp,
	    (const struct sockaddr *)&addr->sa, on_connect);
	if (rc != 0)
		fail(conn, "connect", rc);
	return conn;
}

/* Of a connection that its owner never saw. */
static const gw_conn_ops_t no_ops = {0};

/*
 * Accepts a pending connection of a listening stream. Returns NULL when that
 * fails, for example because the peer has closed the connection; none of the
 * callbacks is called then, since arg is not yet that of a connection.
 */
gw_conn_t *
gw_conn_accept(
    gw_rt_t *rt, uv_stream_t *server, const gw_conn_ops_t *ops, void *arg)
{
	gw_conn_t *conn;
	gw_addr_t addr;
	int len = sizeof(addr.sa), rc;

	conn = conn_new(rt, ops, arg);
	rc = uv_accept(server, (uv_stream_t *)&conn->tcp);
	if (rc != 0) {
		conn->ops = &no_ops;
		fail(conn, "accept", rc);
		return NULL;
	}
	if (uv_tcp_getpeername(&conn->tcp, (struct sockaddr *)&addr.sa, &len) ==
	    0)
		(void)gw_addr_text(&addr, conn->peer);
	start_reading(conn);
	return conn;
}

/*
 * Transfers the connection to another owner.
 */
void
gw_conn_set_ops(gw_conn_t *conn, const gw_conn_ops_t *ops, void *arg)
{
	conn->ops = ops;
	conn->arg = arg;
}

static void
on_written(uv_write_t *req, int status)
{
	write_t *write = (write_t *)req;

	if (status != 0 && status != UV_ECANCELED)
		fail(write->conn, "write", status);
	g_bytes_unref(write->bytes);
	g_free(write);
}

/*
 * Queues one message. Returns -1 when the connection is not open or the message
 * is too large for a frame. If the peer reads so slowly that the unsent bytes
 * would exceed GW_CONN_QUEUE_MAX_BYTES, or if writing fails, the connection is
 * closed and -1 returned.
 */
int
gw_conn_send(gw_conn_t *conn, const Gw__Envelope *envelope, gw_err_t *err)
{
	write_t *write;
	uv_buf_t buf;
	GBytes *bytes;
	gsize size_bytes;
	int rc;

	if (!conn->open || conn->closing) {
		gw_err_set(err, GW_ERR_UNAVAILABLE, "send", conn->peer,
		    "the connection is not open");
		return -1;
	}
	bytes = gw_frame_encode(envelope, err);
	if (bytes == NULL)
		return -1;
	buf.base = (char *)g_bytes_get_data(bytes, &size_bytes);
	buf.len = size_bytes;
	if (uv_stream_get_write_queue_size((uv_stream_t *)&conn->tcp) +
		size_bytes >
	    GW_CONN_QUEUE_MAX_BYTES) {
		g_bytes_unref(bytes);
		gw_err_set(&conn->close_err, GW_ERR_LIMIT, "send", conn->peer,
		    "the peer reads too slowly: over %d unsent bytes",
		    GW_CONN_QUEUE_MAX_BYTES);
		if (err != NULL)
			*err = conn->close_err;
		begin_close(conn);
		return -1;
	}
	write = g_new0(write_t, 1);
	write->bytes = bytes;
	write->conn = conn;
	rc = uv_write(
	    &write->req, (uv_stream_t *)&conn->tcp, &buf, 1, on_written);
	if (rc != 0) {
		g_bytes_unref(bytes);
		g_free(write);
		fail(conn, "write", rc);
		gw_err_set(err, GW_ERR_UNAVAILABLE, "send", conn->peer, "%s",
		    uv_strerror(rc));
		return -1;
	}
	conn->sent_bytes += size_bytes;
	return 0;
}

/*
 * Closes the connection; on_close is called from the loop with GW_OK.
 */
void
gw_conn_close(gw_conn_t *conn)
{
	if (!conn->closing)
		gw_err_set(&conn->close_err, GW_OK, "close", conn->peer,
		    "closed by this side");
	begin_close(conn);
}

/*
 * Returns the peer's address as text.
 */
const char *
gw_conn_peer(const gw_conn_t *conn)
{
	return conn->peer;
}

/*
 * Returns the number of bytes queued for sending since the connection opened.
 */
uint64_t
gw_conn_sent_bytes(const gw_conn_t *conn)
{
	return conn->sent_bytes;
}

/*
 * Returns the number of bytes received since the connection opened.
 */
uint64_t
gw_conn_received_bytes(const gw_conn_t *conn)
{
	return conn->received_bytes;
}

/*
 * Returns the number of bytes held of a frame that is not complete.
 */
uint64_t
gw_conn_partial_bytes(const gw_conn_t *conn)
{
	return conn->closing ? 0 : conn->reader.buf->len;
}
