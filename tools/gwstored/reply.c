#include <stdlib.h>
#include <string.h>

#include "reply.h"

/* A response that has not been sent yet; allocated from the request's pool. */
typedef struct {
	server_t *server;
	gw_timer_t timer;
	GList link; /* in server->pending */
	h2o_req_t *req;
	int status;
	char *body;
} pending_response_t;

static void
on_pending_disposed(void *data)
{
	pending_response_t *pending = data;

	gw_timer_stop(&pending->timer);
	if (pending->link.data != NULL)
		g_queue_unlink(&pending->server->pending, &pending->link);
	free(pending->body);
}

static void
on_delay_end(gw_timer_t *timer, void *arg)
{
	pending_response_t *pending = arg;

	(void)timer;
	g_queue_unlink(&pending->server->pending, &pending->link);
	pending->link.data = NULL;
	gw_http_reply(pending->req, pending->status, "application/json",
	    pending->body, strlen(pending->body));
}

/*
 * Returns a response that is sent when its timer, which the caller may start,
 * expires, else by reply_flush(). Takes ownership of body.
 */
static pending_response_t *
pending_new(server_t *server, h2o_req_t *req, int status, char *body)
{
	pending_response_t *pending;

	pending = h2o_mem_alloc_shared(
	    &req->pool, sizeof(*pending), on_pending_disposed);
	memset(pending, 0, sizeof(*pending));
	pending->server = server;
	pending->req = req;
	pending->status = status;
	pending->body = body;
	pending->link.data = pending;
	g_queue_push_tail_link(&server->pending, &pending->link);
	return pending;
}

/*
 * Withholds the response until reply_flush(). Takes ownership of body.
 */
void
reply_withhold(server_t *server, h2o_req_t *req, char *body)
{
	(void)pending_new(server, req, 200, body);
}

/*
 * Sends all responses that are delayed or withheld.
 */
void
reply_flush(server_t *server)
{
	pending_response_t *pending;

	while ((pending = g_queue_peek_head(&server->pending)) != NULL) {
		gw_timer_stop(&pending->timer);
		on_delay_end(&pending->timer, pending);
	}
}

/*
 * Sends a response, with the faults raw_answer and delay_ms. Takes ownership of
 * body.
 */
static void
reply_body(server_t *server, h2o_req_t *req, int status, char *body)
{
	pending_response_t *pending;

	if (server->faults.raw_answer != NULL) {
		free(body);
		body = strdup(server->faults.raw_answer);
	}
	pending = pending_new(server, req, status, body);
	if (server->faults.delay_ms == 0)
		on_delay_end(&pending->timer, pending);
	else
		gw_timer_start(server->rt, &pending->timer,
		    server->faults.delay_ms * GW_US_PER_MS, on_delay_end,
		    pending);
}

/*
 * Closes the connection after the first byte of a response.
 */
static void
reply_truncated(h2o_req_t *req)
{
	static h2o_generator_t generator = {NULL, NULL};
	h2o_iovec_t first_byte = {H2O_STRLIT("{")};

	req->res.status = 200;
	req->res.reason = "OK";
	req->res.content_length = 2;
	h2o_start_response(req, &generator);
	h2o_send(req, &first_byte, 1, H2O_SEND_STATE_ERROR);
}

/*
 * Sends a JSON object, of which it takes ownership. The response to a write is
 * subject to the faults lose_answers and hang_answers.
 */
void
reply_json(server_t *server, h2o_req_t *req, json_t *body, bool is_write)
{
	char *text;

	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	if (is_write && server->faults.lose_answers > 0) {
		server->faults.lose_answers--;
		server->stats.answers_lost++;
		free(text);
		reply_truncated(req);
		return;
	}
	if (is_write && server->faults.hang_answers > 0) {
		server->faults.hang_answers--;
		server->stats.answers_lost++;
		reply_withhold(server, req, text);
		return;
	}
	reply_body(server, req, 200, text);
}

/*
 * Sends an error in the format of the etcd gateway.
 */
void
reply_error(server_t *server, h2o_req_t *req, int status, int grpc_code,
    const char *text)
{
	json_t *body;

	body = json_pack("{s:s, s:i, s:s}", "error", text, "code", grpc_code,
	    "message", text);
	reply_body(server, req, status, json_dumps(body, JSON_COMPACT));
	json_decref(body);
}
