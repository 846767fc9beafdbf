/*
 * A small HTTP client for the scripts of this review.
 *
 *     call METHOD PORT PATH HOST [BODY]
 *
 * Sends one request to a port of 127.0.0.1 and prints the status, a space and
 * the body of the response on one line; "000" if there is no response within 3
 * s. Exits with 0 if there is a response, else with 1.
 */
#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define RESPONSE_MAX_BYTES (1 << 20)

static int
fail(void)
{
	puts("000");
	return 1;
}

static size_t
body_bytes_of(const char *head)
{
	const char *line = strstr(head, "\r\n");

	for (; line != NULL; line = strstr(line + 2, "\r\n"))
		if (strncasecmp(line + 2, "content-length:", 15) == 0)
			return strtoul(line + 17, NULL, 10);
	return (size_t)-1;
}

int
main(int argc, char **argv)
{
	static char response[RESPONSE_MAX_BYTES + 1], request[65536];
	struct sockaddr_in to = {.sin_family = AF_INET};
	struct timeval limit = {.tv_sec = 3};
	const char *body = argc > 5 ? argv[5] : "";
	size_t used = 0, wanted = (size_t)-1;
	char *text = NULL;
	ssize_t count;
	int fd, size;

	if (argc < 5) {
		fputs("usage: call METHOD PORT PATH HOST [BODY]\n", stderr);
		return 2;
	}
	to.sin_port = htons((uint16_t)atoi(argv[2]));
	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	fd = socket(AF_INET, SOCK_STREAM, 0);
	(void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	(void)setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0)
		return fail();
	size = snprintf(request, sizeof(request),
	    "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
	    argv[1], argv[3], argv[4], strlen(body), body);
	if (size < 0 || (size_t)size >= sizeof(request) ||
	    send(fd, request, (size_t)size, MSG_NOSIGNAL) != size)
		return fail();
	while (used < RESPONSE_MAX_BYTES &&
	    (text == NULL || (size_t)(response + used - text) < wanted)) {
		count = recv(fd, response + used, RESPONSE_MAX_BYTES - used, 0);
		if (count <= 0)
			break;
		used += (size_t)count;
		response[used] = '\0';
		if (text == NULL &&
		    (text = strstr(response, "\r\n\r\n")) != NULL) {
			text += 4;
			wanted = body_bytes_of(response);
		}
	}
	close(fd);
	if (text == NULL || strlen(response) < 12)
		return fail();
	printf("%.3s %s\n", response + 9, text);
	return 0;
}
