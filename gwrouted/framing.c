#include <ctype.h>
#include <string.h>
#include <strings.h>

#include "framing.h"

/* Counts of the headers that decide where a request ends. */
typedef struct {
	unsigned content_length;
	unsigned transfer_encoding;
	unsigned host;
	bool bad_value;
	bool bad_name;
	bool folded;
} counts_t;

static bool
is_digits(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (!isdigit((unsigned char)text[i]))
			return false;
	return len > 0;
}

static bool
name_is(const char *name, size_t len, const char *want)
{
	return len == strlen(want) && strncasecmp(name, want, len) == 0;
}

static void
count_header(counts_t *counts, const char *name, size_t name_len,
    const char *value, size_t value_len)
{
	if (name_is(name, name_len, "content-length")) {
		counts->content_length++;
		if (!is_digits(value, value_len))
			counts->bad_value = true;
	} else if (name_is(name, name_len, "transfer-encoding")) {
		counts->transfer_encoding++;
		if (!name_is(value, value_len, "chunked"))
			counts->bad_value = true;
	} else if (name_is(name, name_len, "host"))
		counts->host++;
}

static void
read_line(counts_t *counts, const char *line, size_t len)
{
	const char *colon, *value;
	size_t value_len;

	if (line[0] == ' ' || line[0] == '\t') {
		counts->folded = true;
		return;
	}
	colon = memchr(line, ':', len);
	if (colon == NULL || colon == line || isspace(colon[-1])) {
		counts->bad_name = true;
		return;
	}
	value = colon + 1;
	value_len = len - (size_t)(value - line);
	while (value_len > 0 && (*value == ' ' || *value == '\t')) {
		value++;
		value_len--;
	}
	while (value_len > 0 &&
	    (value[value_len - 1] == ' ' || value[value_len - 1] == '\t'))
		value_len--;
	count_header(counts, line, (size_t)(colon - line), value, value_len);
}

/*
 * Finds the next line; returns its length without the line end, and moves
 * *next behind it. Returns SIZE_MAX at the end of the text.
 */
static size_t
next_line(const char **next, const char *end)
{
	const char *line = *next, *newline;
	size_t len;

	newline = memchr(line, '\n', (size_t)(end - line));
	if (newline == NULL)
		return SIZE_MAX;
	*next = newline + 1;
	len = (size_t)(newline - line);
	return len > 0 && line[len - 1] == '\r' ? len - 1 : len;
}

static framing_t
judge(const counts_t *counts, bool is_http_1_0)
{
	if (counts->folded || counts->bad_value || counts->content_length > 1 ||
	    counts->transfer_encoding > 1 ||
	    (counts->content_length > 0 && counts->transfer_encoding > 0) ||
	    (is_http_1_0 && counts->transfer_encoding > 0))
		return FRAMING_AMBIGUOUS;
	if (counts->bad_name || counts->host > 1 ||
	    (!is_http_1_0 && counts->host == 0))
		return FRAMING_MALFORMED;
	return FRAMING_GOOD;
}

/*
 * Checks a raw head: request line, header lines, empty line; what follows is
 * ignored. libh2o hides the framing headers and takes some ambiguous requests,
 * which another server on the way may read differently.
 */
framing_t
framing_check_head(const char *head, size_t size_bytes, bool is_http_1_0)
{
	const char *next = head, *end = head + size_bytes, *line;
	counts_t counts = {0};
	size_t len;

	/* An empty line may precede the request line (RFC 9112, 2.2). */
	do
		len = next_line(&next, end);
	while (len == 0);
	while (len != SIZE_MAX) {
		line = next;
		len = next_line(&next, end);
		if (len == 0)
			return judge(&counts, is_http_1_0);
		if (len != SIZE_MAX)
			read_line(&counts, line, len);
	}
	return FRAMING_MALFORMED;
}

/*
 * Checks the framing of a request that libh2o has parsed. The head is still at
 * the start of the connection's buffer then. HTTP/2 has its own framing.
 */
framing_t
framing_check_request(h2o_req_t *req)
{
	h2o_socket_t *sock;

	if (req->version >= 0x200)
		return FRAMING_GOOD;
	sock = req->conn->callbacks->get_socket(req->conn);
	return framing_check_head(
	    sock->input->bytes, sock->input->size, req->version < 0x101);
}

/*
 * Tells whether an endpoint's response with a body states its length in
 * exactly one way. One that ends with the connection could be cut unnoticed.
 */
bool
framing_check_response(const h2o_header_t *headers, size_t count)
{
	counts_t counts = {0};

	for (size_t i = 0; i < count; i++)
		count_header(&counts, headers[i].name->base,
		    headers[i].name->len, headers[i].value.base,
		    headers[i].value.len);
	return !counts.bad_value &&
	    counts.content_length + counts.transfer_encoding == 1;
}
