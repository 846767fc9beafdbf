#include <sys/socket.h>

#include <netinet/in.h>

#include <err.h>
#include <errno.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#define BODY_BYTES 262144
#define SHORT_BYTES 200 /* a body stops that long before its end */
#define CHUNK_BYTES 16384
#define HEADER_BYTES (60 * 1024)
/* libh2o refuses a header of more than 100 lines. */
#define HEADER_LINE_BYTES 2048
#define OVER_BYTES (6 * 1024 * 1024)
#define FRAME_BYTES (1024 * 1024)
#define STREAMS 60
#define PIPELINED 20000
/* A connection that the server closes is opened again so often. */
#define REOPENS 3
/* The crowd has sent what it could after so long without a byte. */
#define CALM_MS 1000
#define SEND_LIMIT_MS 15000
#define TICK_MS 20
#define TRICKLE_MS 1000

#define HOST "Host: jobs.example\r\n"
#define POST "POST /q/00000000000000cc HTTP/1.1\r\n" HOST

/* What each connection sends: bytes at once, then one more each second. */
typedef struct {
	GByteArray *bytes;
	bool trickles;
	bool reads; /* else answers are never read */
} plan_t;

typedef struct {
	int fd; /* -1: closed for good */
	size_t sent_bytes;
	uint32_t opened;
} client_t;

static plan_t plan;
static struct sockaddr_in server;
static gint64 progress_us, trickle_us;

static void
add_text(const char *text)
{
	g_byte_array_append(
	    plan.bytes, (const guint8 *)text, (guint)strlen(text));
}

static void
add_filler(size_t size_bytes)
{
	guint at = plan.bytes->len;

	g_byte_array_set_size(plan.bytes, at + (guint)size_bytes);
	memset(plan.bytes->data + at, 'x', size_bytes);
}

static void
add_chunks(size_t size_bytes)
{
	add_text(POST "Transfer-Encoding: chunked\r\n\r\n");
	for (size_t at = 0; at + CHUNK_BYTES < size_bytes; at += CHUNK_BYTES) {
		add_text("4000\r\n");
		add_filler(CHUNK_BYTES);
		add_text("\r\n");
	}
}

static void
add_body(size_t announced_bytes, size_t sent_bytes)
{
	char text[64];

	(void)snprintf(
	    text, sizeof(text), "Content-Length: %zu\r\n\r\n", announced_bytes);
	add_text(POST);
	add_text(text);
	add_filler(sent_bytes);
}

static void
add_repeated(const char *text, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		add_text(text);
}

static void
add_headers(void)
{
	for (size_t at = 0; at < HEADER_BYTES; at += HEADER_LINE_BYTES) {
		add_text("X-Filler: ");
		add_filler(HEADER_LINE_BYTES);
		add_text("\r\n");
	}
}

static void
add_http2_frame(guint8 type, guint8 flags, guint32 stream, const void *payload,
    guint32 size_bytes)
{
	const guint8 head[9] = {(guint8)(size_bytes >> 16),
	    (guint8)(size_bytes >> 8), (guint8)size_bytes, type, flags, 0, 0,
	    (guint8)(stream >> 8), (guint8)stream};

	g_byte_array_append(plan.bytes, head, sizeof(head));
	g_byte_array_append(plan.bytes, payload, size_bytes);
}

/*
 * Adds streams whose bodies do not end, with the largest window for answers;
 * each fourth stream is reset.
 */
static void
add_http2(void)
{
	static const guint8 settings[] = {0, 4, 0x7f, 0xff, 0xff, 0xff};
	/* POST, http, /, and :authority as a literal. */
	static const guint8 headers[] = "\x83\x86\x84\x41\x0cjobs.example";
	static const guint8 cancel[] = {0, 0, 0, 8};
	static const guint8 data[CHUNK_BYTES];

	add_text("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
	add_http2_frame(4, 0, 0, settings, sizeof(settings));
	for (guint32 i = 0; i < STREAMS; i++) {
		add_http2_frame(1, 4, 2 * i + 1, headers, sizeof(headers) - 1);
		add_http2_frame(0, 0, 2 * i + 1, data, CHUNK_BYTES);
		if (i % 4 == 3)
			add_http2_frame(
			    3, 0, 2 * i + 1, cancel, sizeof(cancel));
	}
}

static void
add_frame(void)
{
	static const guint8 head[4] = {0, FRAME_BYTES >> 16, 0, 0};

	g_byte_array_append(plan.bytes, head, sizeof(head));
	add_filler(FRAME_BYTES - SHORT_BYTES);
}

static void
make_plan(const char *kind)
{
	plan.bytes = g_byte_array_new();
	plan.reads =
	    strcmp(kind, "unread") != 0 && strcmp(kind, "unread-metrics") != 0;
	plan.trickles = strcmp(kind, "slow") == 0;
	if (strcmp(kind, "whole") == 0)
		add_body(BODY_BYTES, BODY_BYTES - SHORT_BYTES);
	else if (strcmp(kind, "chunks") == 0)
		add_chunks(BODY_BYTES);
	else if (strcmp(kind, "slow") == 0)
		add_body(BODY_BYTES, BODY_BYTES / 2);
	else if (strcmp(kind, "announced") == 0)
		add_body(10 * OVER_BYTES, OVER_BYTES);
	else if (strcmp(kind, "sent") == 0)
		add_chunks(OVER_BYTES);
	else if (strcmp(kind, "header") == 0) {
		add_text("GET /q/ HTTP/1.1\r\n" HOST);
		add_headers();
	} else if (strcmp(kind, "pipelined") == 0 ||
	    strcmp(kind, "unread") == 0)
		add_repeated("GET /q/ HTTP/1.1\r\n" HOST "\r\n", PIPELINED);
	else if (strcmp(kind, "unread-metrics") == 0)
		add_repeated(
		    "GET /metrics HTTP/1.1\r\n" HOST "\r\n", PIPELINED);
	else if (strcmp(kind, "http2") == 0)
		add_http2();
	else if (strcmp(kind, "frame") == 0)
		add_frame();
	else if (strcmp(kind, "silent") != 0)
		errx(1, "unknown kind: %s", kind);
}

static void
open_client(client_t *client)
{
	client->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	if (client->fd < 0)
		err(1, "socket");
	client->sent_bytes = 0;
	client->opened++;
	if (connect(client->fd, (struct sockaddr *)&server, sizeof(server)) !=
		0 &&
	    errno != EINPROGRESS)
		err(1, "connect");
	progress_us = g_get_monotonic_time();
}

static void
close_client(client_t *client)
{
	(void)close(client->fd);
	client->fd = -1;
	if (client->opened <= REOPENS)
		open_client(client);
}

static bool
wants_to_send(const client_t *client)
{
	return client->sent_bytes < plan.bytes->len;
}

/*
 * Sends what the socket takes. Returns false if the connection is closed.
 */
static bool
send_some(client_t *client)
{
	ssize_t sent = send(client->fd, plan.bytes->data + client->sent_bytes,
	    plan.bytes->len - client->sent_bytes, MSG_NOSIGNAL);

	if (sent < 0)
		return errno == EAGAIN || errno == EINTR;
	client->sent_bytes += (size_t)sent;
	progress_us = g_get_monotonic_time();
	return true;
}

/*
 * Reads and drops answers. Returns false if the connection is closed.
 */
static bool
read_some(client_t *client)
{
	static char answer[65536];
	ssize_t size_bytes = recv(client->fd, answer, sizeof(answer), 0);

	return size_bytes > 0 ||
	    (size_bytes < 0 && (errno == EAGAIN || errno == EINTR));
}

static void
serve_client(client_t *client, short events)
{
	bool is_open = (events & (POLLERR | POLLHUP)) == 0;

	if (is_open && (events & POLLIN) != 0)
		is_open = read_some(client);
	if (is_open && (events & POLLOUT) != 0)
		is_open = send_some(client);
	if (!is_open)
		close_client(client);
}

static void
trickle(client_t *clients, int count)
{
	if (!plan.trickles ||
	    g_get_monotonic_time() - trickle_us < TRICKLE_MS * 1000)
		return;
	trickle_us = g_get_monotonic_time();
	for (int i = 0; i < count; i++)
		if (clients[i].fd >= 0 && !wants_to_send(&clients[i]))
			(void)send(clients[i].fd, "x", 1, MSG_NOSIGNAL);
}

static void
poll_all(client_t *clients, struct pollfd *fds, int count)
{
	for (int i = 0; i < count; i++) {
		fds[i].fd = clients[i].fd;
		fds[i].events = (short)((plan.reads ? POLLIN : 0) |
		    (wants_to_send(&clients[i]) ? POLLOUT : 0));
		fds[i].revents = 0;
	}
	if (poll(fds, (nfds_t)count, TICK_MS) < 0 && errno != EINTR)
		err(1, "poll");
	for (int i = 0; i < count; i++)
		if (fds[i].revents != 0)
			serve_client(&clients[i], fds[i].revents);
	trickle(clients, count);
}

/*
 * Usage: crowd KIND PORT COUNT. Opens COUNT connections to the port, sends on
 * each what the kind says, prints "sent" once nothing more is taken, and holds
 * the connections until it is ended.
 */
int
main(int argc, char **argv)
{
	gint64 begun_us = g_get_monotonic_time();
	bool told = false;
	struct pollfd *fds;
	client_t *clients;
	int count;

	if (argc != 4)
		errx(1, "usage: crowd KIND PORT COUNT");
	make_plan(argv[1]);
	server.sin_family = AF_INET;
	server.sin_port = htons((uint16_t)atoi(argv[2]));
	server.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	count = atoi(argv[3]);
	clients = g_new0(client_t, count);
	fds = g_new0(struct pollfd, count);
	for (int i = 0; i < count; i++)
		open_client(&clients[i]);
	for (;;) {
		gint64 now_us = g_get_monotonic_time();

		poll_all(clients, fds, count);
		if (told ||
		    (now_us - progress_us < CALM_MS * 1000 &&
			now_us - begun_us < SEND_LIMIT_MS * 1000))
			continue;
		told = true;
		(void)printf("sent\n");
		(void)fflush(stdout);
	}
}
