/*
 * An HTTP/1.1 client for the scripts, so that they need no other program.
 *
 *	hc [-t ms] [-H "name: value"]... METHOD ip:port /path [body]
 *	hc -p count
 *
 * The first form sends one request on a new connection, and prints the status
 * and the body of the response on one line; the status is 000 if there was no
 * complete response within the time (3000 ms). The second form prints the first
 * of so many consecutive ports of 127.0.0.1 that are free.
 */
#include <sys/socket.h>
#include <sys/time.h>

#include <arpa/inet.h>
#include <err.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>
#include <unistd.h>

#define BUF_BYTES (4 * 1024 * 1024)
#define PORT_FIRST 20000
#define PORT_COUNT 12000
#define MS_PER_S 1000

static char buf[BUF_BYTES];

static int64_t
now_ms(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * MS_PER_S + ts.tv_nsec / 1000000;
}

static int
port_is_free(int port)
{
	struct sockaddr_in sa = {.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int on = 1, fd = socket(AF_INET, SOCK_STREAM, 0), rc;

	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	rc = bind(fd, (struct sockaddr *)&sa, sizeof(sa));
	(void)close(fd);
	return rc == 0;
}

static int
print_free_ports(int count)
{
	int i, port;

	for (int attempt = 0; attempt < 200; attempt++) {
		port = PORT_FIRST +
		    (int)((getpid() * 97 + attempt * 631) % PORT_COUNT);
		for (i = 0; i < count && port_is_free(port + i); i++)
			;
		if (i < count)
			continue;
		printf("%d\n", port);
		return 0;
	}
	return 1;
}

/*
 * Returns the length of the complete response in buf, or 0.
 */
static size_t
complete_bytes(size_t got, int closed)
{
	char *end, *at;
	size_t head;

	buf[got] = '\0';
	end = strstr(buf, "\r\n\r\n");
	if (end == NULL)
		return 0;
	head = (size_t)(end - buf) + 4;
	*end = '\0';
	at = strcasestr(buf, "\r\ncontent-length:");
	*end = '\r';
	if (at == NULL)
		return closed ? got : 0;
	head += strtoul(at + strlen("\r\ncontent-length:"), NULL, 10);
	return got >= head ? head : 0;
}

static int
connect_to(const char *address, int64_t end_ms)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	struct timeval limit = {.tv_sec = (end_ms - now_ms()) / MS_PER_S + 1};
	char ip[64];
	const char *colon = strchr(address, ':');
	int fd, on = 1;

	if (colon == NULL || (size_t)(colon - address) >= sizeof(ip))
		errx(64, "not ip:port: %s", address);
	memcpy(ip, address, (size_t)(colon - address));
	ip[colon - address] = '\0';
	sa.sin_port = htons((uint16_t)atoi(colon + 1));
	if (inet_pton(AF_INET, ip, &sa.sin_addr) != 1)
		errx(64, "not ip:port: %s", address);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	(void)setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0) {
		(void)close(fd);
		return -1;
	}
	return fd;
}

static int
call(const char *header, const char *method, const char *address,
    const char *path, const char *body, int timeout_ms)
{
	int64_t end_ms = now_ms() + timeout_ms;
	int fd = connect_to(address, end_ms), length;
	size_t got = 0, size = 0;
	ssize_t n;
	char *request, *at;

	if (fd < 0)
		goto none;
	length = asprintf(&request,
	    "%s %s HTTP/1.1\r\n%s%scontent-type: application/json\r\n"
	    "content-length: %zu\r\n\r\n%s",
	    method, path,
	    strncasecmp(header, "host:", 5) != 0 ? "Host: standin\r\n" : "",
	    header, body == NULL ? 0 : strlen(body), body == NULL ? "" : body);
	if (length < 0 || write(fd, request, (size_t)length) != length)
		goto none;
	while (size == 0 && got < BUF_BYTES - 1) {
		struct pollfd pfd = {fd, POLLIN, 0};
		int64_t left_ms = end_ms - now_ms();

		if (left_ms <= 0 || poll(&pfd, 1, (int)left_ms) <= 0)
			goto none;
		n = read(fd, buf + got, BUF_BYTES - 1 - got);
		if (n < 0)
			goto none;
		got += (size_t)n;
		size = complete_bytes(got, n == 0);
		if (n == 0 && size == 0)
			goto none;
	}
	buf[size] = '\0';
	at = strstr(buf, "\r\n\r\n") + 4;
	printf("%.3s %s\n", buf + strlen("HTTP/1.1 "), at);
	return 0;
none:
	printf("000\n");
	return 1;
}

int
main(int argc, char **argv)
{
	int timeout_ms = 3000, ch;
	static char header[1024];

	while ((ch = getopt(argc, argv, "t:H:p:")) != -1) {
		if (ch == 't')
			timeout_ms = atoi(optarg);
		else if (ch == 'H')
			(void)snprintf(header + strlen(header),
			    sizeof(header) - strlen(header), "%s\r\n", optarg);
		else if (ch == 'p')
			return print_free_ports(atoi(optarg));
		else
			return 64;
	}
	argc -= optind;
	argv += optind;
	if (argc < 3)
		errx(64,
		    "usage: hc [-t ms] [-H header] METHOD ip:port /path "
		    "[body]");
	return call(header, argv[0], argv[1], argv[2],
	    argc > 3 ? argv[3] : NULL, timeout_ms);
}
