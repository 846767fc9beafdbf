#include <string.h>
#include <strings.h>

#include "headers.h"

/* Fields for a single connection (RFC 9110, 7.6.1). */
static const char *const hop_by_hop[] = {"connection", "keep-alive",
    "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
    "http2-settings", "proxy-authenticate", "proxy-authorization"};

/*
 * Request fields that the router sets itself; the caller's values are dropped.
 */
static const char *const router_request_fields[] = {"host", "content-length",
    "expect", "via", "godwit-attempt-id", "godwit-request-id",
    "godwit-deadline-ms", "godwit-hops"};

/*
 * Response fields that the router sets itself; the endpoint's values are
 * dropped.
 */
static const char *const router_response_fields[] = {"content-length", "date",
    "server", "godwit-attempt-id", "godwit-outcome", "godwit-reason"};

static bool
is_one_of(const h2o_iovec_t *name, const char *const *names, size_t count)
{
	for (size_t i = 0; i < count; i++)
		if (strlen(names[i]) == name->len &&
		    strncasecmp(names[i], name->base, name->len) == 0)
			return true;
	return false;
}

/*
 * Returns whether a comma-separated list, such as the value of Connection,
 * contains the name.
 */
static bool
list_contains(const h2o_iovec_t *list, const h2o_iovec_t *name)
{
	const char *at = list->base, *end = list->base + list->len, *stop;
	size_t len;

	while (at < end) {
		stop = memchr(at, ',', (size_t)(end - at));
		if (stop == NULL)
			stop = end;
		while (at < stop && (*at == ' ' || *at == '\t'))
			at++;
		len = (size_t)(stop - at);
		while (len > 0 && (at[len - 1] == ' ' || at[len - 1] == '\t'))
			len--;
		if (len == name->len && strncasecmp(at, name->base, len) == 0)
			return true;
		at = stop + 1;
	}
	return false;
}

/*
 * Returns whether a field is hop-by-hop and must not be forwarded. RFC 9110
 * defines some, and a Connection field can name others.
 */
static bool
is_hop_by_hop(const h2o_iovec_t *name, const h2o_header_t *all, size_t count)
{
	if (is_one_of(name, hop_by_hop, G_N_ELEMENTS(hop_by_hop)))
		return true;
	for (size_t i = 0; i < count; i++)
		if (all[i].name == &H2O_TOKEN_CONNECTION->buf &&
		    list_contains(&all[i].value, name))
			return true;
	return false;
}

static bool
is_token(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (!g_ascii_isalnum(text[i]) &&
		    strchr("!#$%&'*+-.^_`|~", text[i]) == NULL)
			return false;
	return len > 0 && memchr(text, '\0', len) == NULL;
}

static bool
is_safe_text(const char *text, size_t len, bool allow_blanks)
{
	for (size_t i = 0; i < len; i++) {
		unsigned char c = (unsigned char)text[i];

		if (c == 0x7f || (c < ' ' && c != '\t') ||
		    (!allow_blanks && (c == ' ' || c == '\t')))
			return false;
	}
	return true;
}

/*
 * Returns whether method, path, host and all fields can be written to an HTTP/1
 * connection unchanged. libh2o accepts bytes in HTTP/2 requests that would end
 * a line in HTTP/1.
 */
bool
headers_valid(const h2o_req_t *req)
{
	if (!is_token(req->method.base, req->method.len) ||
	    req->path.len == 0 || req->path.base[0] != '/' ||
	    !is_safe_text(req->path.base, req->path.len, false) ||
	    !is_safe_text(req->authority.base, req->authority.len, false))
		return false;
	for (size_t i = 0; i < req->headers.size; i++) {
		const h2o_header_t *h = &req->headers.entries[i];

		if (!is_token(h->name->base, h->name->len) ||
		    !is_safe_text(h->value.base, h->value.len, true))
			return false;
	}
	return true;
}

/*
 * Returns the value of the first field with the name, with base NULL when there
 * is none. The name must be in lower case.
 */
h2o_iovec_t
headers_get(const h2o_headers_t *headers, const char *name)
{
	size_t len = strlen(name);

	for (size_t i = 0; i < headers->size; i++) {
		const h2o_header_t *h = &headers->entries[i];

		if (h->name->len == len &&
		    strncasecmp(h->name->base, name, len) == 0)
			return h->value;
	}
	return h2o_iovec_init(NULL, 0);
}

/*
 * Copies the value of a field to text, or an empty string when there is no such
 * field. Returns false when the value does not fit.
 */
bool
headers_copy_value(const h2o_headers_t *headers, const char *name, char *text,
    size_t size_bytes)
{
	h2o_iovec_t value = headers_get(headers, name);

	text[0] = '\0';
	if (value.base == NULL)
		return true;
	if (value.len >= size_bytes)
		return false;
	memcpy(text, value.base, value.len);
	text[value.len] = '\0';
	return true;
}

static void
append_field(GString *head, const h2o_header_t *h)
{
	g_string_append_len(head, h->name->base, (gssize)h->name->len);
	g_string_append(head, ": ");
	g_string_append_len(head, h->value.base, (gssize)h->value.len);
	g_string_append(head, "\r\n");
}

/*
 * Appends the request line and the fields that are forwarded to an endpoint.
 * The fields of an attempt and the empty line must still be appended.
 */
void
headers_append_request(GString *head, const h2o_req_t *req)
{
	const h2o_headers_t *all = &req->headers;

	g_string_append_len(head, req->method.base, (gssize)req->method.len);
	g_string_append_c(head, ' ');
	g_string_append_len(head, req->path.base, (gssize)req->path.len);
	g_string_append(head, " HTTP/1.1\r\nhost: ");
	g_string_append_len(
	    head, req->authority.base, (gssize)req->authority.len);
	g_string_append(head, "\r\nvia: 1.1 godwitline\r\n");
	for (size_t i = 0; i < all->size; i++) {
		const h2o_header_t *h = &all->entries[i];

		if (!is_one_of(h->name, router_request_fields,
			G_N_ELEMENTS(router_request_fields)) &&
		    !is_hop_by_hop(h->name, all->entries, all->size))
			append_field(head, h);
	}
}

/*
 * Returns whether a response field of an endpoint is forwarded to the caller.
 */
bool
headers_is_forwarded(
    const h2o_header_t *h, const h2o_header_t *all, size_t count)
{
	return !is_one_of(h->name, router_response_fields,
		   G_N_ELEMENTS(router_response_fields)) &&
	    !is_hop_by_hop(h->name, all, count) &&
	    is_safe_text(h->value.base, h->value.len, true);
}
