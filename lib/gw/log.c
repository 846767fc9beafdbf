#include <sys/types.h>

#include <errno.h>
#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "gw/log.h"

/* A pipe that poll() reports as writable takes this much without blocking. */
#define CHUNK_BYTES 4096
#define BUFFER_BYTES (256 * 1024)
#define LINE_BYTES 2048

typedef struct {
	gw_event_t event;
	const char *name;
	int priority;
} event_info_t;

static const event_info_t events[] = {
#define GW_EVENT(number, name, priority, meaning) {name, #name, priority},
#include "gw/events.def"
#undef GW_EVENT
};

/* Lines not yet written to standard error; one buffer per process. */
static struct {
	char program[32];
	int max_priority;
	int fd;
	char buf[BUFFER_BYTES];
	size_t used_bytes;
	uint64_t dropped;	   /* lines since the start */
	uint64_t dropped_reported; /* of these, logged as LOG_DROPPED */
} log_state = {.program = "gw", .max_priority = LOG_INFO, .fd = STDERR_FILENO};

/*
 * Sets the program's name and the least urgent priority that is logged.
 */
void
gw_log_init(const char *program, int max_priority)
{
	g_strlcpy(log_state.program, program, sizeof(log_state.program));
	log_state.max_priority = max_priority;
}

/*
 * Sends the lines to fd instead of standard error. For tests.
 */
void
gw_log_set_fd(int fd)
{
	log_state.fd = fd;
}

static const char *
priority_name(int priority)
{
	static const char *const names[] = {"emerg", "alert", "crit", "err",
	    "warning", "notice", "info", "debug"};

	return names[priority & LOG_PRIMASK];
}

static const event_info_t *
lookup_event(gw_event_t event)
{
	for (size_t i = 0; i < G_N_ELEMENTS(events); i++)
		if (events[i].event == event)
			return &events[i];
	return NULL;
}

/*
 * Appends a line to the buffer, or counts it as dropped when it does not fit.
 */
static void
append_line(const event_info_t *info, const char *fields)
{
	char line[LINE_BYTES];
	int len;

	len = snprintf(line, sizeof(line), "%s[%d]: %s %d %s %s\n",
	    log_state.program, (int)getpid(), priority_name(info->priority),
	    (int)info->event, info->name + strlen("GW_EV_"), fields);
	if (len >= (int)sizeof(line)) {
		len = (int)sizeof(line) - 1;
		line[len - 1] = '\n';
	}
	if (log_state.used_bytes + (size_t)len > sizeof(log_state.buf)) {
		log_state.dropped++;
		return;
	}
	memcpy(log_state.buf + log_state.used_bytes, line, (size_t)len);
	log_state.used_bytes += (size_t)len;
}

/*
 * Replaces control characters with '?', so that a value received from outside
 * cannot forge a log line.
 */
static void
sanitize(char *text)
{
	for (; *text != '\0'; text++)
		if ((unsigned char)*text < ' ' || *text == 0x7f)
			*text = '?';
}

/*
 * Buffers one event with its key=value fields. Never blocks: when standard
 * error is not read, lines are dropped and counted.
 */
void
gw_log(gw_event_t event, const char *fmt, ...)
{
	char fields[LINE_BYTES];
	const event_info_t *info;
	va_list ap;

	info = lookup_event(event);
	if (info == NULL || info->priority > log_state.max_priority)
		return;
	va_start(ap, fmt);
	(void)vsnprintf(fields, sizeof(fields), fmt, ap);
	va_end(ap);
	sanitize(fields);
	append_line(info, fields);
}

/*
 * Returns whether CHUNK_BYTES can be written to fd without blocking.
 */
static bool
fd_writable(int fd)
{
	struct pollfd pfd = {.fd = fd, .events = POLLOUT};

	return poll(&pfd, 1, 0) == 1 && (pfd.revents & POLLOUT) != 0;
}

/*
 * Logs the number of dropped lines once the buffer is at most half full.
 */
static void
report_dropped(void)
{
	char fields[64];

	if (log_state.dropped == log_state.dropped_reported ||
	    log_state.used_bytes > sizeof(log_state.buf) / 2)
		return;
	(void)snprintf(fields, sizeof(fields), "lines=%" PRIu64,
	    log_state.dropped - log_state.dropped_reported);
	log_state.dropped_reported = log_state.dropped;
	append_line(lookup_event(GW_EV_LOG_DROPPED), fields);
}

/*
 * Writes as many buffered lines as standard error accepts without blocking.
 */
void
gw_log_flush(void)
{
	size_t done_bytes = 0, chunk_bytes;
	ssize_t n;

	report_dropped();
	while (done_bytes < log_state.used_bytes && fd_writable(log_state.fd)) {
		chunk_bytes =
		    MIN(log_state.used_bytes - done_bytes, CHUNK_BYTES);
		n = write(
		    log_state.fd, log_state.buf + done_bytes, chunk_bytes);
		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			break;
		done_bytes += (size_t)n;
	}
	if (done_bytes == 0)
		return;
	log_state.used_bytes -= done_bytes;
	memmove(
	    log_state.buf, log_state.buf + done_bytes, log_state.used_bytes);
}

/*
 * Returns how many lines were dropped since the start.
 */
uint64_t
gw_log_dropped(void)
{
	return log_state.dropped;
}
