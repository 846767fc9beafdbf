/*
 * A TCP proxy on loopback addresses:
 *
 *	relay listen-port target-port
 *
 * After SIGUSR1 the connections that are open then are silent for good: nothing
 * is forwarded on them any more, in either direction, and they are not closed.
 * Connections that are made later work.
 */
#include <sys/socket.h>

#include <arpa/inet.h>
#include <err.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define PAIRS_MAX 400
#define CHUNK_BYTES 65536

typedef struct {
	int fd[2]; /* of the client and of the server; -1: closed */
	bool silent;
	bool used;
} pair_t;

static pair_t pairs[PAIRS_MAX];
static volatile sig_atomic_t silence_asked;

static void
on_signal(int signum)
{
	(void)signum;
	silence_asked = 1;
}

static struct sockaddr_in
loopback(int port)
{
	return (struct sockaddr_in){.sin_family = AF_INET,
	    .sin_port = htons((uint16_t)port),
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
}

static void
add_pair(int client, int target_port)
{
	struct sockaddr_in sa = loopback(target_port);
	int on = 1, server = socket(AF_INET, SOCK_STREAM, 0), i;

	for (i = 0; i < PAIRS_MAX && pairs[i].used; i++)
		;
	if (i == PAIRS_MAX ||
	    connect(server, (struct sockaddr *)&sa, sizeof(sa)) != 0) {
		(void)close(client);
		(void)close(server);
		return;
	}
	(void)setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	(void)setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	pairs[i] = (pair_t){{client, server}, false, true};
}

static void
close_pair(pair_t *pair)
{
	(void)close(pair->fd[0]);
	(void)close(pair->fd[1]);
	pair->used = false;
}

static void
forward(pair_t *pair, int from)
{
	static char chunk[CHUNK_BYTES];
	ssize_t n = read(pair->fd[from], chunk, sizeof(chunk)), sent = 0, k;

	if (n <= 0) {
		close_pair(pair);
		return;
	}
	while (sent < n) {
		k = write(pair->fd[1 - from], chunk + sent, (size_t)(n - sent));
		if (k <= 0) {
			close_pair(pair);
			return;
		}
		sent += k;
	}
}

/*
 * Waits for bytes on the connections that are not silent, and forwards them.
 */
static void
run_once(int listener, int target_port)
{
	struct pollfd pfds[2 * PAIRS_MAX + 1] = {{listener, POLLIN, 0}};
	int index[2 * PAIRS_MAX + 1], count = 1;

	for (int i = 0; i < PAIRS_MAX; i++)
		for (int side = 0;
		     pairs[i].used && !pairs[i].silent && side < 2; side++) {
			index[count] = 2 * i + side;
			pfds[count++] =
			    (struct pollfd){pairs[i].fd[side], POLLIN, 0};
		}
	if (poll(pfds, (nfds_t)count, 50) <= 0)
		return;
	if (silence_asked)
		return;
	for (int k = 1; k < count; k++)
		if (pfds[k].revents != 0 && pairs[index[k] / 2].used)
			forward(&pairs[index[k] / 2], index[k] % 2);
	if (pfds[0].revents != 0)
		add_pair(accept(listener, NULL, NULL), target_port);
}

int
main(int argc, char **argv)
{
	struct sigaction action = {.sa_handler = on_signal};
	struct sockaddr_in sa;
	int listener = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	if (argc != 3)
		errx(64, "usage: relay listen-port target-port");
	sa = loopback(atoi(argv[1]));
	(void)signal(SIGPIPE, SIG_IGN);
	(void)sigaction(SIGUSR1, &action, NULL);
	(void)setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(listener, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
	    listen(listener, 100) != 0)
		err(71, "listen");
	for (;;) {
		run_once(listener, atoi(argv[2]));
		if (!silence_asked)
			continue;
		silence_asked = 0;
		for (int i = 0; i < PAIRS_MAX; i++)
			pairs[i].silent = pairs[i].used;
	}
}
