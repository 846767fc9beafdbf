#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "caller.h"
#include "headers.h"
#include "http/httpd.h"

static void flush(caller_t *);

static void
on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
	caller_t *caller = (caller_t *)generator;

	(void)req;
	caller->in_progress = false;
	g_byte_array_set_size(caller->sending, 0);
	flush(caller);
	if (!caller->finished && caller->arg != NULL &&
	    caller->pending->len < CALLER_PENDING_MAX_BYTES / 2)
		caller->ops->on_writable(caller->arg);
}

static void
on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
	(void)req;
	((caller_t *)generator)->finished = true;
}

/*
 * Called when libh2o frees the memory of the request: after the response, or
 * because the caller has closed its connection.
 */
static void
on_disposed(void *arg)
{
	caller_t *caller = arg;

	(*caller->open_count)--;
	if (caller->arg != NULL)
		caller->ops->on_gone(caller->arg);
	g_byte_array_unref(caller->pending);
	g_byte_array_unref(caller->sending);
}

/*
 * Creates the caller's side of req. It is counted in *open_count until libh2o
 * frees it.
 */
caller_t *
caller_new(
    h2o_req_t *req, const caller_ops_t *ops, void *arg, uint32_t *open_count)
{
	caller_t *caller;

	caller = h2o_mem_alloc_shared(&req->pool, sizeof(*caller), on_disposed);
	*caller = (caller_t){.generator = {on_proceed, on_stop},
	    .req = req,
	    .ops = ops,
	    .arg = arg,
	    .open_count = open_count,
	    .content_length = SIZE_MAX};
	caller->pending = g_byte_array_new();
	caller->sending = g_byte_array_new();
	(*open_count)++;
	return caller;
}

/*
 * Stops the callbacks to the request. Pending data is still sent.
 */
void
caller_detach(caller_t *caller)
{
	caller->arg = NULL;
}

/*
 * Adds a header to the response. The name is a constant in lower case; the
 * value is copied.
 */
void
caller_add_header(caller_t *caller, const char *name, const char *value)
{
	h2o_req_t *req = caller->req;
	h2o_iovec_t copy;

	copy = h2o_strdup(&req->pool, value, SIZE_MAX);
	h2o_add_header_by_str(&req->pool, &req->res.headers, name, strlen(name),
	    1, NULL, copy.base, copy.len);
}

static void
copy_header(h2o_req_t *req, const h2o_header_t *h)
{
	h2o_iovec_t name, value;

	name = h2o_strdup(&req->pool, h->name->base, h->name->len);
	value = h2o_strdup(&req->pool, h->value.base, h->value.len);
	h2o_add_header_by_str(&req->pool, &req->res.headers, name.base,
	    name.len, 1, NULL, value.base, value.len);
}

static size_t
parse_content_length(const gw_exchange_head_t *head)
{
	for (size_t i = 0; i < head->header_count; i++)
		if (head->headers[i].name == &H2O_TOKEN_CONTENT_LENGTH->buf)
			return h2o_strtosize(head->headers[i].value.base,
			    head->headers[i].value.len);
	return SIZE_MAX;
}

/*
 * Copies the endpoint's status and headers to the response. Nothing is sent
 * yet.
 */
void
caller_set_head(
    caller_t *caller, const gw_exchange_head_t *head, const char *outcome)
{
	h2o_req_t *req = caller->req;

	req->res.status = head->status;
	req->res.reason = "";
	caller->content_length = parse_content_length(head);
	for (size_t i = 0; i < head->header_count; i++)
		if (headers_is_forwarded(
			&head->headers[i], head->headers, head->header_count))
			copy_header(req, &head->headers[i]);
	caller_add_header(caller, "godwit-outcome", outcome);
}

/*
 * Discards a head that was not sent, before another attempt.
 */
void
caller_reset_head(caller_t *caller)
{
	caller->req->res.headers = (h2o_headers_t){NULL};
	caller->req->res.content_length = SIZE_MAX;
	caller->content_length = SIZE_MAX;
	g_byte_array_set_size(caller->pending, 0);
}

static void
start_response(caller_t *caller)
{
	caller->started = true;
	caller->req->res.content_length = caller->content_length;
	gw_http_start_response(caller->req, &caller->generator);
}

static void
send_chunk(caller_t *caller, h2o_send_state_t state)
{
	GByteArray *chunk = caller->pending;
	h2o_iovec_t buf;

	caller->pending = caller->sending;
	caller->sending = chunk;
	buf = h2o_iovec_init(chunk->data, chunk->len);
	caller->in_progress = true;
	caller->finished = state != H2O_SEND_STATE_IN_PROGRESS;
	h2o_send(caller->req, &buf, chunk->len > 0 ? 1 : 0, state);
}

/*
 * Passes pending data to libh2o, unless it is still sending the last chunk.
 */
static void
flush(caller_t *caller)
{
	if (caller->in_progress || caller->finished || !caller->started)
		return;
	if (caller->aborted)
		send_chunk(caller, H2O_SEND_STATE_ERROR);
	else if (caller->complete)
		send_chunk(caller, H2O_SEND_STATE_FINAL);
	else if (caller->pending->len > 0)
		send_chunk(caller, H2O_SEND_STATE_IN_PROGRESS);
}

/*
 * Appends a chunk to the body. Returns false when the caller reads slowly, so
 * that reading from the endpoint must pause until on_writable() is called.
 */
bool
caller_append_body(caller_t *caller, const char *data, size_t size_bytes)
{
	g_byte_array_append(
	    caller->pending, (const guint8 *)data, (guint)size_bytes);
	if (!caller->started &&
	    caller->pending->len > CALLER_BUFFERED_MAX_BYTES)
		start_response(caller);
	flush(caller);
	return !caller_is_full(caller);
}

/*
 * Returns whether more than CALLER_PENDING_MAX_BYTES are pending.
 */
bool
caller_is_full(const caller_t *caller)
{
	return caller->pending->len > CALLER_PENDING_MAX_BYTES;
}

/*
 * Completes the response after the whole body was appended.
 */
void
caller_complete(caller_t *caller)
{
	if (!caller->started) {
		if (caller->pending->len > 0)
			caller->content_length = caller->pending->len;
		start_response(caller);
	}
	caller->complete = true;
	flush(caller);
}

/*
 * Aborts a response that was partly sent. The connection (HTTP/1) or the stream
 * (HTTP/2) ends with an error, so that the caller sees that the response is
 * truncated.
 */
void
caller_abort(caller_t *caller)
{
	caller->aborted = true;
	caller->req->http1_is_persistent = 0;
	flush(caller);
}

static char *
format_problem(
    const reason_info_t *info, const char *outcome, const char *request_id)
{
	json_t *problem;
	char *text;

	problem =
	    json_pack("{s:s, s:s, s:i, s:s, s:s, s:s}", "type", "about:blank",
		"title", info->name, "status", info->status, "detail",
		info->detail, "outcome", outcome, "request_id", request_id);
	text = problem == NULL ? NULL : json_dumps(problem, JSON_COMPACT);
	json_decref(problem);
	return text;
}

/*
 * Sends problem details (RFC 9457) for a request that was refused or that
 * failed. Retry-After is left out when retry_after_s is 0.
 */
void
caller_reply_error(caller_t *caller, reason_t reason, const char *outcome,
    int status, uint32_t retry_after_s, const char *request_id)
{
	reason_info_t info = *reason_info(reason);
	char seconds[16], *text;

	info.status = status;
	caller_reset_head(caller);
	caller_add_header(caller, "godwit-outcome", outcome);
	caller_add_header(caller, "godwit-reason", info.name);
	if (retry_after_s > 0) {
		(void)snprintf(seconds, sizeof(seconds), "%u", retry_after_s);
		caller_add_header(caller, "retry-after", seconds);
	}
	if (reason == REASON_AMBIGUOUS_FRAMING ||
	    reason == REASON_BAD_REQUEST || reason == REASON_CALLER_GONE)
		caller->req->http1_is_persistent = 0;
	text = format_problem(&info, outcome, request_id);
	caller->finished = true;
	gw_http_reply(caller->req, status, "application/problem+json",
	    text == NULL ? "{}" : text, text == NULL ? 2 : strlen(text));
	free(text);
}
