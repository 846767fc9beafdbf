/*
 * The platform's service that lists machines and takes orders to them:
 *
 *	cloud listen-port workers-control-port answer-ms
 *
 * The machines are those of gwworkerd, which carries the orders out at once.
 *The response to an order follows answer-ms later. An upkeep that is already
 *done in its wave is answered with 200 and has no effect. Prints a line for
 *each order.
 */
#include <sys/socket.h>

#include <arpa/inet.h>
#include <err.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#define BUF_BYTES (1024 * 1024)
#define DONE_MAX 1000
#define NAME_BYTES 128

static int control_port, answer_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char done[DONE_MAX][2 * NAME_BYTES]; /* wave and machine */
static int done_count;

static struct sockaddr_in
loopback(int port)
{
	return (struct sockaddr_in){.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
}

/*
 * Reads one message from the connection into buf, which has got bytes already.
 * Returns its length, or 0 if the connection ends before.
 */
static size_t
read_message(int fd, char *buf, size_t *got)
{
	for (;;) {
		char *end, *at;
		ssize_t n;

		buf[*got] = '\0';
		end = strstr(buf, "\r\n\r\n");
		if (end != NULL) {
			size_t length = (size_t)(end - buf) + 4;

			at = strcasestr(buf, "\r\ncontent-length:");
			if (at != NULL && at < end)
				length +=
				    strtoul(at + strlen("\r\ncontent-length:"),
					NULL, 10);
			if (*got >= length)
				return length;
		}
		n = *got < BUF_BYTES - 1
		    ? read(fd, buf + *got, BUF_BYTES - 1 - *got)
		    : -1;
		if (n <= 0)
			return 0;
		*got += (size_t)n;
	}
}

/*
 * Sends the request to gwworkerd. Returns the status, with the body in out.
 */
static int
ask_workers(const char *method, const char *path, const char *body, char *out)
{
	struct sockaddr_in sa = loopback(control_port);
	int fd = socket(AF_INET, SOCK_STREAM, 0), status = 503;
	char *buf = malloc(BUF_BYTES);
	size_t got = 0, length = 0;

	out[0] = '\0';
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) == 0 &&
	    dprintf(fd,
		"%s %s HTTP/1.1\r\nHost: cloud\r\nContent-Type: "
		"application/json\r\nContent-Length: %zu\r\n\r\n%s",
		method, path, strlen(body), body) > 0)
		length = read_message(fd, buf, &got);
	if (length > 0) {
		buf[length] = '\0';
		status = atoi(buf + strlen("HTTP/1.1 "));
		(void)snprintf(
		    out, BUF_BYTES, "%s", strstr(buf, "\r\n\r\n") + 4);
	}
	(void)close(fd);
	free(buf);
	return status;
}

/*
 * Copies the text or number that the JSON object has under this name.
 */
static void
get_member(const char *json, const char *name, char out[NAME_BYTES])
{
	char quoted[NAME_BYTES];
	const char *at;
	size_t n;

	(void)snprintf(quoted, sizeof(quoted), "\"%s\":", name);
	at = strstr(json, quoted);
	out[0] = '\0';
	if (at == NULL)
		return;
	at += strlen(quoted);
	at += strspn(at, " \"");
	n = strcspn(at, "\",}");
	(void)snprintf(out, NAME_BYTES, "%.*s", (int)n, at);
}

/*
 * Carries out an upkeep unless it is already done. Returns the status.
 */
static int
handle_upkeep(const char *body, char *out)
{
	char machine[NAME_BYTES], wave[NAME_BYTES], key[2 * NAME_BYTES];
	bool is_done = false;
	int status = 200;

	get_member(body, "machine", machine);
	get_member(body, "wave", wave);
	(void)snprintf(key, sizeof(key), "%s %s", wave, machine);
	(void)pthread_mutex_lock(&lock);
	for (int i = 0; i < done_count; i++)
		is_done |= strcmp(done[i], key) == 0;
	(void)snprintf(out, BUF_BYTES, "{}");
	if (!is_done)
		status = ask_workers("POST", "/machine-upkeep", body, out);
	if (!is_done && status == 200 && done_count < DONE_MAX)
		(void)snprintf(done[done_count++], sizeof(done[0]), "%s", key);
	printf("upkeep machine=%s wave=%s status=%d%s\n", machine, wave, status,
	    is_done ? " already-done" : "");
	(void)fflush(stdout);
	(void)pthread_mutex_unlock(&lock);
	return status;
}

static void *
serve(void *arg)
{
	int fd = (int)(intptr_t)arg, status;
	char *buf = malloc(BUF_BYTES), *out = malloc(BUF_BYTES);
	size_t got = 0, length;

	while ((length = read_message(fd, buf, &got)) > 0) {
		char kept = buf[length];
		const char *body;

		buf[length] = '\0';
		body = strstr(buf, "\r\n\r\n") + 4;
		if (strncmp(buf, "POST /machine-upkeep ", 21) == 0) {
			status = handle_upkeep(body, out);
			(void)usleep((useconds_t)answer_ms * 1000);
		} else if (strncmp(buf, "POST /machine-move ", 19) == 0) {
			status =
			    ask_workers("POST", "/machine-move", body, out);
		} else {
			status = ask_workers("GET", "/machines", "", out);
		}
		if (dprintf(fd,
			"HTTP/1.1 %d \r\nContent-Type: application/json\r\n"
			"Content-Length: %zu\r\n\r\n%s",
			status, strlen(out), out) < 0)
			break;
		buf[length] = kept;
		got -= length;
		memmove(buf, buf + length, got);
	}
	(void)close(fd);
	free(buf);
	free(out);
	return NULL;
}

int
main(int argc, char **argv)
{
	int listener = socket(AF_INET, SOCK_STREAM, 0), on = 1;
	struct sockaddr_in sa;

	if (argc != 4)
		errx(64, "usage: cloud listen-port control-port answer-ms");
	sa = loopback(atoi(argv[1]));
	control_port = atoi(argv[2]);
	answer_ms = atoi(argv[3]);
	(void)signal(SIGPIPE, SIG_IGN);
	(void)setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(listener, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
	    listen(listener, 100) != 0)
		err(71, "listen");
	for (;;) {
		int fd = accept(listener, NULL, NULL);
		pthread_t thread;

		if (fd >= 0 &&
		    pthread_create(
			&thread, NULL, serve, (void *)(intptr_t)fd) == 0)
			(void)pthread_detach(thread);
	}
}
