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
 * A fake endpoint with scripted responses. It replies to request n with
 * responses[n], and to later requests with the last of them. In a response, $A
 * stands for the attempt id, $L for the length and $B for the bytes of the
 * request body. "HANG" sends no response, "RESET" resets the connection, and a
 * leading '!' closes the connection after the response.
 */
typedef struct {
	gw_rt_t *rt;
	uv_tcp_t tcp;
	uint16_t port;
	const char *const *responses;
	uint32_t requests;
	uint32_t accepted;
	uint32_t closed;	   /* connections closed by the router */
	uint32_t accepts_to_reset; /* number of connections reset at first */
	/*
	 * Time that each request takes, even if its connection closes. If it is
	 * 0, responses are sent at once.
	 */
	uint64_t work_us;
	uint32_t slots;	  /* used with work_us; more requests are refused */
	uint32_t working; /* number of requests in work now */
	uint32_t refused;
	GString *last_request;
	GPtrArray *conns;
} fake_endpoint_t;

/* A caller that sends raw bytes. */
typedef struct {
	uv_tcp_t tcp;
	uv_connect_t connect;
	GString *unsent;
	GString *received;
	bool connected;
	bool closed;
	bool freed;
} raw_caller_t;

#define RESPONSE_OK                                    \
	"HTTP/1.1 200 OK\r\ngodwit-attempt-id: $A\r\n" \
	"content-length: $L\r\n\r\n$B"

harness_t *harness_new(bool paused);
void harness_free(harness_t *);
void harness_set_instance(harness_t *, const char *id, const char *incarnation,
    uint16_t port, uint32_t granted, bool time_bound);
void harness_send_view(harness_t *);
void harness_settle(harness_t *);
bool harness_wait(harness_t *, bool (*done)(void *), void *arg);

fake_endpoint_t *fake_endpoint_new(gw_rt_t *, const char *const *responses);
void fake_endpoint_free(fake_endpoint_t *);
void fake_endpoint_send_all(fake_endpoint_t *, const char *text);

raw_caller_t *raw_caller_new(harness_t *);
void raw_caller_send(raw_caller_t *, const char *text);
void raw_caller_close(raw_caller_t *);
bool raw_caller_has_response(void *raw);
const char *raw_request(harness_t *, const char *text);

#endif
