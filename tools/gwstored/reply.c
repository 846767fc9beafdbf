#include <stdlib.h>
#include <string.h>

#include "reply.h"

/* An answer that waits; lives in the request's pool. */
typedef struct {
	server_t *server;
	gw_timer_t timer;
	GList link; /* in the server's queue */
	h2o_req_t *req;
	int status;
	char *body;
} delayed_t;

static void
delayed_dispose(void *data)
{
	delayed_t *delayed = data;

	gw_timer_stop(&delayed->timer);
	if (delayed->link.data != NULL)
		g_queue_unlink(&delayed->server->pending, &delayed->link);
	free(delayed->body);
}

static void
on_delay(gw_timer_t *timer, void *arg)
{
	delayed_t *delayed = arg;

	(void)timer;
	g_queue_unlink(&delayed->server->pending, &delayed->link);
	delayed->link.data = NULL;
	gw_http_reply(delayed->req, delayed->status, "application/json",
	    delayed->body, strlen(delayed->body));
}

/*
 * Keeps an answer until its timer, which the caller may start, or the end of
 * the server. Takes the body.
 */
static delayed_t *
delayed_new(server_t *server, h2o_req_t *req, int status, char *body)
{
	delayed_t *delayed;

	delayed =
	    h2o_mem_alloc_shared(&req->pool, sizeof(*delayed), delayed_dispose);
	memset(delayed, 0, sizeof(*delayed));
	delayed->server = server;
	delayed->req = req;
	delayed->status = status;
	delayed->body = body;
	delayed->link.data = delayed;
	g_queue_push_tail_link(&server->pending, &delayed->link);
	return delayed;
}

/*
 * Leaves a request without an answer until the end of the server. Takes the
 * body.
 */
void
reply_withhold(server_t *server, h2o_req_t *req, char *body)
{
	(void)delayed_new(server, req, 200, body);
}

/*
 * Sends all answers that wait.
 */
void
replies_flush(server_t *server)
{
	delayed_t *delayed;

	while ((delayed = g_queue_peek_head(&server->pending)) != NULL) {
		gw_timer_stop(&delayed->timer);
		on_delay(&delayed->timer, delayed);
	}
}

/*
 * Sends a body, which this takes, now or after the delay that is in force.
 */
static void
send_body(server_t *server, h2o_req_t *req, int status, char *body)
{
	delayed_t *delayed;

	if (server->faults.raw_answer != NULL) {
		free(body);
		body = strdup(server->faults.raw_answer);
	}
	delayed = delayed_new(server, req, status, body);
	if (server->faults.delay_ms == 0)
		on_delay(&delayed->timer, delayed);
	else
		gw_timer_start(server->rt, &delayed->timer,
		    server->faults.delay_ms * GW_US_PER_MS, on_delay, delayed);
}

/*
 * Breaks the connection in the middle of an answer.
 */
static void
break_answer(h2o_req_t *req)
{
	static h2o_generator_t generator = {NULL, NULL};
	h2o_iovec_t part = {H2O_STRLIT("{")};

	req->res.status = 200;
	req->res.reason = "OK";
	req->res.content_length = 2;
	h2o_start_response(req, &generator);
	h2o_send(req, &part, 1, H2O_SEND_STATE_ERROR);
}

/*
 * Answers with a JSON object, which this takes. An answer to a write may be
 * lost on demand.
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
		break_answer(req);
		return;
	}
	if (is_write && server->faults.hang_answers > 0) {
		server->faults.hang_answers--;
		server->stats.answers_lost++;
		reply_withhold(server, req, text);
		return;
	}
	send_body(server, req, 200, text);
}

/*
 * Answers with an error object.
 */
void
reply_error(server_t *server, h2o_req_t *req, int status, int grpc_code,
    const char *text)
{
	json_t *body;

	body = json_pack("{s:s, s:i, s:s}", "error", text, "code", grpc_code,
	    "message", text);
	send_body(server, req, status, json_dumps(body, JSON_COMPACT));
	json_decref(body);
}
