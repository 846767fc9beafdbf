#include <sys/socket.h>

#include <netinet/in.h>

#include <signal.h>
#include <unistd.h>

#include "gw/log.h"
#include "http/httpd.h"

#define CONNECTIONS 4
#define HELD_MAX_BYTES (32 * 1024)
/* Requests that are handled are not closed, and responses are charged late. */
#define HELD_OVER_BYTES (32 * 1024)
#define TURNS_MAX 1000

static gw_rt_t *rt;
static gw_httpd_t *httpd;
static gw_addr_t server;
static h2o_req_t *delayed; /* answered a turn of the loop later */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes);

static void
on_disposed(void *arg)
{
	(void)arg;
	delayed = NULL;
}

/*
 * Answers some requests at once and some later.
 */
static int
on_request(h2o_req_t *req, void *arg)
{
	(void)arg;
	if (delayed != NULL || req->entity.len % 2 == 0) {
		gw_http_reply(
		    req, 200, "text/plain", req->entity.base, req->entity.len);
		return 0;
	}
	delayed = req;
	(void)h2o_mem_alloc_shared(&req->pool, 1, on_disposed);
	return 0;
}

static void
set_up(void)
{
	const gw_httpd_limits_t limits = {
	    .body_max_bytes = 4096, .idle_timeout_ms = 1000};
	const gw_httpd_guard_t guard = {.body_max_bytes = 4096,
	    .header_max_bytes = 512,
	    .budget = {.held_max_bytes = HELD_MAX_BYTES,
		.connections_max = CONNECTIONS - 1,
		.header_timeout_ms = 1000,
		.idle_timeout_ms = 1000}};
	gw_addr_t any;
	gw_err_t err;

	(void)signal(SIGPIPE, SIG_IGN);
	gw_log_init("fuzz", LOG_EMERG);
	rt = gw_rt_new();
	httpd = gw_httpd_new(rt, &limits, on_request, NULL);
	gw_httpd_guard(httpd, &guard);
	if (gw_addr_parse(&any, "127.0.0.1:0", &err) != 0 ||
	    gw_httpd_listen(httpd, &any, &server, &err) != 0)
		g_error("%s", err.text);
}

/*
 * Opens a connection from one address of many, since the ports of an address
 * are kept for a while where the server closes first.
 */
static int
open_connection(void)
{
	static uint32_t opened;
	const struct sockaddr_in from = {.sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(0x7f010001 + opened++ / 8192)};
	/* Closed by a reset, so that no port is kept. */
	const struct linger linger = {1, 0};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	g_assert(fd >= 0);
	g_assert(bind(fd, (const struct sockaddr *)&from, sizeof(from)) == 0);
	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	g_assert(connect(fd, (const struct sockaddr *)&server.sa,
		     server.len_bytes) == 0);
	return fd;
}

static void
turn(void)
{
	gw_rt_poll(rt);
	g_assert(gw_budget_held(gw_httpd_budget(httpd)) <=
	    HELD_MAX_BYTES + HELD_OVER_BYTES);
	if (delayed != NULL)
		gw_http_reply(delayed, 200, "text/plain", "x", 1);
	delayed = NULL;
}

/*
 * Sends the data on a few connections. In each step the first byte says on
 * which one and how many of the following bytes.
 */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
	int fds[CONNECTIONS];

	if (rt == NULL)
		set_up();
	for (int i = 0; i < CONNECTIONS; i++)
		fds[i] = open_connection();
	turn();
	while (size_bytes > 1) {
		size_t step_bytes =
		    MIN((size_t)(data[0] >> 2) * 8 + 1, size_bytes - 1);

		(void)send(fds[data[0] % CONNECTIONS], data + 1, step_bytes,
		    MSG_DONTWAIT | MSG_NOSIGNAL);
		data += 1 + step_bytes;
		size_bytes -= 1 + step_bytes;
		turn();
	}
	for (int i = 0; i < CONNECTIONS; i++)
		(void)close(fds[i]);
	for (int i = 0; i < TURNS_MAX && gw_httpd_connections(httpd) > 0; i++)
		turn();
	g_assert(gw_httpd_connections(httpd) == 0);
	g_assert(gw_budget_held(gw_httpd_budget(httpd)) == 0);
	return 0;
}
