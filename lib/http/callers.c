#include <sys/socket.h>

#include <string.h>

#include "gw/log.h"
#include "http/callers.h"

/* Structures of libuv and libh2o for a connection and its request. */
#define CONNECTION_BYTES 8192
/* Limits of time are checked, and closed connections logged, so often. */
#define SWEEP_MS 1000
#define HEADER_END "\r\n\r\n"
#define HEADER_END_BYTES 4

#define REFUSAL(status) \
	"HTTP/1.1 " status "\r\nConnection: close\r\nContent-Length: 0\r\n"

static const char *const refusals[GW_CLOSE_REASONS] = {
    [GW_CLOSE_BYTES] =
	REFUSAL("503 Service Unavailable") "Retry-After: 1\r\n\r\n",
    [GW_CLOSE_CONNECTIONS] =
	REFUSAL("503 Service Unavailable") "Retry-After: 1\r\n\r\n",
    [GW_CLOSE_HEADER_BYTES] =
	REFUSAL("431 Request Header Fields Too Large") "\r\n",
    [GW_CLOSE_HEADER_TIMEOUT] = REFUSAL("408 Request Timeout") "\r\n",
};

static uint64_t
now_us(const callers_t *callers)
{
	return gw_rt_now_us(callers->rt);
}

static void
account(callers_conn_t *conn)
{
	const h2o_buffer_t *input = conn->sock->input;
	uint64_t capacity_bytes = input->bytes == NULL ? 0 : input->capacity;

	gw_budget_set_bytes(&conn->callers->budget, &conn->caller,
	    CONNECTION_BYTES + capacity_bytes + conn->response_bytes,
	    input->size);
}

/*
 * Sends a refusal, if a request has begun, as far as the socket takes it: the
 * connection is closed in any case. Nothing of libh2o is being written while it
 * reads.
 */
static void
send_refusal(callers_conn_t *conn, gw_close_reason_t reason)
{
	const char *text = refusals[reason];

	if (text != NULL &&
	    (conn->caller.state == GW_CALLER_HEADER ||
		conn->caller.state == GW_CALLER_BODY))
		(void)send(h2o_socket_get_fd(conn->sock), text, strlen(text),
		    MSG_DONTWAIT | MSG_NOSIGNAL);
}

/*
 * Closes a connection: as by a failed read, after which libh2o frees all, or by
 * the end of the socket where libh2o does not read.
 */
static void
close_conn(callers_conn_t *conn, gw_close_reason_t reason)
{
	gw_budget_closing(&conn->callers->budget, &conn->caller, reason);
	if (conn->read_cb != NULL) {
		send_refusal(conn, reason);
		conn->read_cb(conn->sock, h2o_socket_error_closed);
	} else {
		(void)shutdown(h2o_socket_get_fd(conn->sock), SHUT_RDWR);
	}
}

static callers_conn_t *
conn_of(gw_caller_t *caller)
{
	return (callers_conn_t *)((char *)caller -
	    G_STRUCT_OFFSET(callers_conn_t, caller));
}

static void
enforce(callers_t *callers)
{
	gw_close_reason_t reason;
	gw_caller_t *caller;

	while (gw_budget_is_over(&callers->budget)) {
		caller =
		    gw_budget_next(&callers->budget, now_us(callers), &reason);
		if (caller == NULL)
			return;
		close_conn(conn_of(caller), reason);
	}
}

/*
 * Looks for the end of the header in what was received since the last call.
 * Returns false if the header is longer than allowed.
 */
static bool
scan_header(callers_conn_t *conn)
{
	uint32_t max_bytes = conn->callers->header_max_bytes;
	const h2o_buffer_t *input = conn->sock->input;
	uint64_t from_bytes = MIN(conn->scanned_bytes, input->size);
	uint64_t header_bytes = input->size;
	const char *end;

	if (conn->has_header || input->size == 0)
		return true;
	from_bytes -= MIN(from_bytes, HEADER_END_BYTES - 1);
	end = memmem(input->bytes + from_bytes, input->size - from_bytes,
	    HEADER_END, HEADER_END_BYTES);
	conn->scanned_bytes = input->size;
	conn->has_header = end != NULL;
	if (end != NULL)
		header_bytes = (uint64_t)(end - input->bytes);
	return max_bytes == 0 || header_bytes <= max_bytes;
}

static void
update_reading(callers_conn_t *conn)
{
	gw_caller_state_t state =
	    conn->has_header ? GW_CALLER_BODY : GW_CALLER_HEADER;

	if (conn->sock->input->size > 0 && conn->caller.state != state)
		gw_budget_set_state(&conn->callers->budget, &conn->caller,
		    state, now_us(conn->callers));
	account(conn);
}

static void
add_unread(callers_conn_t *conn)
{
	callers_t *callers = conn->callers;

	conn->read_cb = NULL;
	gw_budget_set_state(&callers->budget, &conn->caller, GW_CALLER_HANDLED,
	    now_us(callers));
	conn->is_unread = true;
	g_queue_push_tail_link(&callers->unread, &conn->unread_link);
}

/*
 * Called instead of libh2o's callback when bytes have arrived: closes what is
 * over the budget, which may be this connection, and passes the bytes on.
 */
static void
on_read(h2o_socket_t *sock, const char *error)
{
	callers_conn_t *conn = callers_find(sock);

	if (error != NULL) {
		conn->read_cb(sock, error);
		return;
	}
	if (!scan_header(conn)) {
		update_reading(conn);
		close_conn(conn, GW_CLOSE_HEADER_BYTES);
		return;
	}
	update_reading(conn);
	enforce(conn->callers);
	if (conn->sock == NULL)
		return;
	conn->read_cb(sock, NULL);
	if (conn->sock == NULL)
		return;
	account(conn);
	if (sock->_cb.read != on_read)
		add_unread(conn);
}

/*
 * Takes the place of libh2o's callback, which it sets again for each request.
 */
static void
watch_reads(callers_conn_t *conn, gw_caller_state_t idle_state)
{
	conn->read_cb = conn->sock->_cb.read;
	conn->sock->_cb.read = on_read;
	conn->scanned_bytes = 0;
	conn->has_header = false;
	conn->response_bytes = 0;
	gw_budget_set_state(&conn->callers->budget, &conn->caller, idle_state,
	    now_us(conn->callers));
	if (scan_header(conn))
		update_reading(conn);
	else
		close_conn(conn, GW_CLOSE_HEADER_BYTES);
}

/*
 * Called before the loop waits: takes up the connections that libh2o reads
 * again, and finds responses that are not taken.
 */
static void
on_prepare(uv_prepare_t *prepare)
{
	callers_t *callers = prepare->data;
	GList *link = callers->unread.head;

	while (link != NULL) {
		callers_conn_t *conn = link->data;

		link = link->next;
		if (h2o_socket_is_reading(conn->sock)) {
			g_queue_unlink(&callers->unread, &conn->unread_link);
			conn->is_unread = false;
			watch_reads(conn, GW_CALLER_IDLE);
		} else if (h2o_socket_is_writing(conn->sock) &&
		    conn->caller.state != GW_CALLER_RESPONSE) {
			gw_budget_set_state(&callers->budget, &conn->caller,
			    GW_CALLER_RESPONSE, now_us(callers));
		}
	}
	enforce(callers);
}

/*
 * Logs how many connections were closed since the last line.
 */
static void
log_closed(callers_t *callers)
{
	const uint64_t *closed = callers->budget.closed;
	uint64_t sum = 0;

	for (int i = 0; i < GW_CLOSE_REASONS; i++)
		sum += closed[i];
	if (sum == callers->logged)
		return;
	gw_log(GW_EV_CALLERS_CLOSED,
	    "connections=%" PRIu64 " open=%u held_bytes=%" PRIu64
	    " bytes=%" PRIu64 " too_many=%" PRIu64 " header_bytes=%" PRIu64
	    " header_timeout=%" PRIu64 " idle=%" PRIu64
	    " response_timeout=%" PRIu64,
	    sum - callers->logged, callers->budget.callers.length,
	    gw_budget_held(&callers->budget), closed[GW_CLOSE_BYTES],
	    closed[GW_CLOSE_CONNECTIONS], closed[GW_CLOSE_HEADER_BYTES],
	    closed[GW_CLOSE_HEADER_TIMEOUT], closed[GW_CLOSE_IDLE],
	    closed[GW_CLOSE_RESPONSE_TIMEOUT]);
	callers->logged = sum;
}

static void
on_sweep(gw_timer_t *timer, void *arg)
{
	callers_t *callers = arg;
	gw_close_reason_t reason;
	gw_caller_t *caller;

	while ((caller = gw_budget_next_expired(
		    &callers->budget, now_us(callers), &reason)) != NULL)
		close_conn(conn_of(caller), reason);
	log_closed(callers);
	if (callers->budget.callers.length > 0)
		gw_timer_start(callers->rt, timer, SWEEP_MS * GW_US_PER_MS,
		    on_sweep, callers);
}

/*
 * Called by libh2o when the socket is closed, by whichever side.
 */
static void
on_sock_closed(void *data)
{
	callers_conn_t *conn = data;

	conn->sock = NULL;
	conn->read_cb = NULL;
	if (conn->is_unread)
		g_queue_unlink(&conn->callers->unread, &conn->unread_link);
	conn->is_unread = false;
	gw_budget_remove(&conn->callers->budget, &conn->caller);
}

void
callers_init(callers_t *callers, gw_rt_t *rt)
{
	static const gw_budget_limits_t no_limits = {0};

	memset(callers, 0, sizeof(*callers));
	callers->rt = rt;
	gw_budget_init(&callers->budget, &no_limits);
	g_queue_init(&callers->unread);
	(void)uv_prepare_init(gw_rt_loop(rt), &callers->prepare);
	callers->prepare.data = callers;
	(void)uv_prepare_start(&callers->prepare, on_prepare);
	uv_unref((uv_handle_t *)&callers->prepare);
}

void
callers_dispose(callers_t *callers)
{
	gw_timer_stop(&callers->sweep);
	uv_close((uv_handle_t *)&callers->prepare, NULL);
}

void
callers_add(callers_t *callers, callers_conn_t *conn, h2o_socket_t *sock)
{
	conn->callers = callers;
	conn->sock = sock;
	conn->unread_link.data = conn;
	sock->on_close.cb = on_sock_closed;
	sock->on_close.data = conn;
	gw_budget_add(&callers->budget, &conn->caller, now_us(callers));
	watch_reads(conn, GW_CALLER_NEW);
	enforce(callers);
	if (!gw_timer_armed(&callers->sweep))
		gw_timer_start(callers->rt, &callers->sweep,
		    SWEEP_MS * GW_US_PER_MS, on_sweep, callers);
}

callers_conn_t *
callers_find(h2o_socket_t *sock)
{
	return sock != NULL && sock->on_close.cb == on_sock_closed
	    ? sock->on_close.data
	    : NULL;
}

void
callers_charge_response(callers_conn_t *conn, uint64_t size_bytes)
{
	conn->response_bytes += size_bytes;
	account(conn);
}
