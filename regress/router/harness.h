#ifndef ROUTER_HARNESS_H
#define ROUTER_HARNESS_H

#include <stdbool.h>
#include <stdint.h>

#include "fake_fleet.h"
#include "../../gwrouted/router.h"

/* A router in the process of the test, with a fake fleet daemon. */
typedef struct {
	gw_rt_t *rt;
	settings_t settings;
	fake_fleet_t *fleet;
	router_t *router;
	uint16_t port; /* for callers */
} harness_t;

/*
 * A scripted endpoint. It answers request n with texts[n], and later requests
 * with the last text. In a text, $A stands for the attempt id, $L for the
 * length and $B for the bytes of the request body. "HANG" sends no answer,
 * "RESET" resets the connection, and a leading '!' closes the connection after
 * the text.
 */
typedef struct {
	gw_rt_t *rt;
	uv_tcp_t tcp;
	uint16_t port;
	const char *const *texts;
	uint32_t requests;
	uint32_t accepted;
	uint32_t closed;	   /* connections closed by the router */
	uint32_t accepts_to_reset; /* first connections, reset on accept */
	/* Time per request, even if the connection closes; 0: send texts. */
	uint64_t work_us;
	uint32_t slots; /* requests at a time, used with work_us */
	uint32_t working;
	uint32_t refused;
	GString *last; /* bytes of the last request */
	GPtrArray *conns;
} script_t;

/* A caller that writes raw bytes. */
typedef struct {
	uv_tcp_t tcp;
	uv_connect_t connect;
	GString *unsent;
	GString *received;
	bool connected;
	bool closed;
	bool freed;
} raw_t;

#define SCRIPT_OK                                      \
	"HTTP/1.1 200 OK\r\ngodwit-attempt-id: $A\r\n" \
	"content-length: $L\r\n\r\n$B"

harness_t *harness_new(bool paused);
void harness_free(harness_t *);
void harness_add(harness_t *, const char *id, const char *incarnation,
    uint16_t port, uint32_t granted, bool time_bound);
void harness_view(harness_t *);
void harness_settle(harness_t *);
bool harness_wait(harness_t *, bool (*done)(void *), void *arg);

script_t *script_new(gw_rt_t *, const char *const *texts);
void script_free(script_t *);
void script_send_all(script_t *, const char *text);

raw_t *raw_new(harness_t *);
void raw_send(raw_t *, const char *text);
void raw_close(raw_t *);
bool raw_has_response(void *raw);
const char *raw_request(harness_t *, const char *text);

#endif
