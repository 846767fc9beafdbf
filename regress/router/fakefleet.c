/*
 * The fake fleet daemon as a program, for scripts: fakefleet IP:PORT MANIFEST.
 * Standard input has one instance a line: "ID PORT POOL GRANTED [STATE]". A
 * line "view" sends all of them to the routers. Prints "goodbye" for each
 * Goodbye received.
 */
#include <err.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake_fleet.h"
#include "gw/log.h"

static fake_fleet_t *fleet;
static GString *input;
static char buffer[4096];
static fake_received_t printed;

static void
run_line(const char *line)
{
	fake_instance_t instance = {.state = GW__INSTANCE_STATE__STATE_ACTIVE};
	char state[16] = "active";
	unsigned port;

	if (strcmp(line, "view") == 0) {
		fake_fleet_send_view(fleet);
		return;
	}
	if (sscanf(line, "%31s %u %31s %u %15s", instance.id, &port,
		instance.pool, &instance.granted, state) < 4)
		errx(1, "bad line '%s'", line);
	instance.port = (uint16_t)port;
	g_strlcpy(instance.incarnation, "1", sizeof(instance.incarnation));
	if (strcmp(state, "leaving") == 0)
		instance.state = GW__INSTANCE_STATE__STATE_LEAVING;
	fake_fleet_set(fleet, &instance);
}

static void
on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(buffer, sizeof(buffer));
}

static void
on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
	char *end;

	if (nread < 0) {
		(void)uv_read_stop(stream);
		return;
	}
	g_string_append_len(input, buf->base, nread);
	while ((end = strchr(input->str, '\n')) != NULL) {
		*end = '\0';
		run_line(input->str);
		g_string_erase(input, 0, end - input->str + 1);
	}
}

static void
on_check(gw_timer_t *timer, void *arg)
{
	const fake_received_t *received = fake_fleet_received(fleet);

	if (received->goodbyes > printed.goodbyes)
		printf("goodbye\n");
	(void)fflush(stdout);
	printed = *received;
	gw_timer_start(arg, timer, 10 * GW_US_PER_MS, on_check, arg);
}

int
main(int argc, char **argv)
{
	gw_timer_t timer = {0};
	uv_pipe_t pipe;
	char *json;
	gw_rt_t *rt;

	if (argc != 3 || !g_file_get_contents(argv[2], &json, NULL, NULL))
		errx(1, "usage: fakefleet IP:PORT MANIFEST");
	gw_log_init("fakefleet", LOG_WARNING);
	rt = gw_rt_new();
	fleet = fake_fleet_new(rt, argv[1], json);
	input = g_string_new(NULL);
	(void)uv_pipe_init(gw_rt_loop(rt), &pipe, 0);
	if (uv_pipe_open(&pipe, 0) == 0)
		(void)uv_read_start((uv_stream_t *)&pipe, on_alloc, on_read);
	on_check(&timer, rt);
	gw_rt_run(rt);
	return 0;
}
