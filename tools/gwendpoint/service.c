#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "gw/log.h"
#include "service.h"

#define ID_BYTES 80

typedef struct run_ref run_ref_t;

/* One request that holds a slot. */
typedef struct {
	service_t *service;
	h2o_req_t *req; /* NULL once the caller is gone */
	run_ref_t *ref;
	gw_timer_t timer;
	fault_t fault;
	char request_id[ID_BYTES];
	char attempt_id[ID_BYTES];
} run_t;

/*
 * Allocated from the request's pool. Its destructor clears run->req when the
 * caller is gone before the run has ended.
 */
struct run_ref {
	run_t *run; /* NULL once the run has ended */
};

static void
copy_header(h2o_req_t *req, const char *name, char *text, size_t size_bytes)
{
	ssize_t index;
	h2o_iovec_t value;

	text[0] = '\0';
	index =
	    h2o_find_header_by_str(&req->headers, name, strlen(name), SIZE_MAX);
	if (index < 0)
		return;
	value = req->headers.entries[index].value;
	g_strlcpy(text, value.base, MIN(size_bytes, value.len + 1));
}

static void
add_header(h2o_req_t *req, const char *name, const char *value)
{
	h2o_iovec_t copy;

	copy = h2o_strdup(&req->pool, value, SIZE_MAX);
	h2o_add_header_by_str(&req->pool, &req->res.headers, name, strlen(name),
	    0, NULL, copy.base, copy.len);
}

static fault_t
take_fault(service_t *service)
{
	if (service->fault == FAULT_NONE || service->fault_requests_left == 0)
		return FAULT_NONE;
	service->fault_requests_left--;
	return service->fault;
}

static void
send_response(run_t *run)
{
	service_t *service = run->service;
	h2o_req_t *req = run->req;

	service->response_count++;
	if (service->close_after > 0 &&
	    service->response_count % service->close_after == 0)
		req->http1_is_persistent = 0;
	if (run->attempt_id[0] != '\0')
		add_header(req, "godwit-attempt-id", run->attempt_id);
	if (run->fault == FAULT_FAIL)
		gw_http_reply(req, 500, "text/plain", "fault", 5);
	else if (run->fault == FAULT_RESET)
		fault_reset(req);
	else
		gw_http_reply(req, 200, "application/octet-stream",
		    req->entity.base, req->entity.len);
	if (run->fault == FAULT_TWICE)
		fault_second_response(req);
}

static void
on_service_end(gw_timer_t *timer, void *arg)
{
	run_t *run = arg;

	(void)timer;
	runs_count_end(&run->service->runs);
	if (run->req != NULL) {
		run->ref->run = NULL;
		send_response(run);
	}
	g_free(run);
}

static void
on_request_disposed(void *arg)
{
	run_ref_t *ref = arg;

	if (ref->run != NULL)
		ref->run->req = NULL;
}

static uint64_t
service_time_us(service_t *service, h2o_req_t *req)
{
	char text[ID_BYTES];

	copy_header(req, "godwit-service-us", text, sizeof(text));
	return text[0] == '\0' ? service->service_us
			       : (uint64_t)strtoul(text, NULL, 10);
}

static void
run_start(service_t *service, h2o_req_t *req, fault_t fault)
{
	uint64_t delay_us;
	run_t *run;

	run = g_new0(run_t, 1);
	run->service = service;
	run->req = req;
	run->fault = fault;
	copy_header(req, "godwit-request-id", run->request_id, ID_BYTES);
	copy_header(req, "godwit-attempt-id", run->attempt_id, ID_BYTES);
	run->ref = h2o_mem_alloc_shared(
	    &req->pool, sizeof(*run->ref), on_request_disposed);
	run->ref->run = run;
	runs_count_start(&service->runs, run->request_id);
	delay_us = service_time_us(service, req);
	if (fault == FAULT_LATE)
		delay_us += service->late_ms * GW_US_PER_MS;
	if (delay_us == 0)
		on_service_end(&run->timer, run);
	else
		gw_timer_start(
		    service->rt, &run->timer, delay_us, on_service_end, run);
}

static void
refuse(service_t *service, h2o_req_t *req)
{
	char attempt_id[ID_BYTES];

	service->runs.refused++;
	copy_header(req, "godwit-attempt-id", attempt_id, sizeof(attempt_id));
	if (attempt_id[0] != '\0')
		add_header(req, "godwit-attempt-id", attempt_id);
	add_header(req, "godwit-outcome", "not-run");
	gw_http_reply(req, 503, "text/plain", "no free slot", 12);
}

static void
reply_runs(service_t *service, h2o_req_t *req)
{
	char *text;

	text = runs_json(&service->runs);
	gw_http_reply(req, 200, "application/json", text, strlen(text));
	free(text);
}

/*
 * PUT /fault/<name>/<count> injects a fault into the next count requests;
 * without a count, into all further requests.
 */
static void
set_fault(service_t *service, h2o_req_t *req)
{
	char text[ID_BYTES], *count;

	g_strlcpy(text, req->path.base + strlen("/fault/"),
	    MIN(sizeof(text), req->path.len - strlen("/fault/") + 1));
	count = strchr(text, '/');
	service->fault_requests_left = UINT32_MAX;
	if (count != NULL) {
		*count++ = '\0';
		service->fault_requests_left =
		    (uint32_t)strtoul(count, NULL, 10);
	}
	if (!fault_parse(text, &service->fault)) {
		gw_http_reply_error(req, 404, "Not Found", "no such fault");
		return;
	}
	gw_log(GW_EV_ENDPOINT_FAULT, "fault=%s count=%" PRIu32,
	    fault_name(service->fault), service->fault_requests_left);
	gw_http_reply(req, 200, "text/plain", "", 0);
}

/*
 * Handles one request: /runs and /fault/ control the stand-in, any other path
 * is run in a slot.
 */
int
service_handle_request(h2o_req_t *req, void *arg)
{
	service_t *service = arg;
	fault_t fault;

	service->runs.connections_max = MAX(service->runs.connections_max,
	    gw_httpd_connections(service->httpd));
	if (h2o_memis(req->path.base, req->path.len, H2O_STRLIT("/runs"))) {
		reply_runs(service, req);
		return 0;
	}
	if (req->path.len > 7 && memcmp(req->path.base, "/fault/", 7) == 0) {
		set_fault(service, req);
		return 0;
	}
	fault = take_fault(service);
	if (fault == FAULT_RESET_BEFORE)
		fault_reset(req);
	else if (fault == FAULT_REFUSE ||
	    service->runs.in_flight >= service->slots)
		refuse(service, req);
	else
		run_start(service, req, fault);
	return 0;
}
