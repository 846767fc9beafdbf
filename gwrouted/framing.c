#include <ctype.h>
#include <string.h>
#include <strings.h>

#include "framing.h"

/*
 * Counts of the headers that determine where a message ends and for which host
 * it is, and the faults found.
 */
typedef struct {
	unsigned content_length;
	unsigned transfer_encoding;
	unsigned host;
	bool bad_value; /* of Content-Length or Transfer-Encoding */
	bool bad_name;
	bool folded; /* a header continues on a second line */
} header_counts_t;

static bool
is_digits(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (!isdigit((unsigned char)text[i]))
			return false;
	return len > 0;
}

static bool
equals_ignore_case(const char *name, size_t len, const char *want)
{
	return len == strlen(want) && strncasecmp(name, want, len) == 0;
}

static void
count_header(header_counts_t *counts, const char *name, size_t name_len,
    const char *value, size_t value_len)
{
	if (equals_ignore_case(name, name_len, "content-length")) {
		counts->content_length++;
		if (!is_digits(value, value_len))
			counts->bad_value = true;
	} else if (equals_ignore_case(name, name_len, "transfer-encoding")) {
		counts->transfer_encoding++;
		if (!equals_ignore_case(value, value_len, "chunked"))
			counts->bad_value = true;
	} else if (equals_ignore_case(name, name_len, "host"))
		counts->host++;
}

static void
parse_header_line(header_counts_t *counts, const char *line, size_t len)
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
 * Advances *next past the next line and returns the length of the line without
 * the line end, or SIZE_MAX when no line end follows.
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
classify_framing(const header_counts_t *counts, bool is_http_1_0)
{
	if (counts->folded || counts->bad_value || counts->content_length > 1 ||
	    counts->transfer_encoding > 1 ||
	    (counts->content_length > 0 && counts->transfer_encoding > 0) ||
	    (is_http_1_0 && counts->transfer_encoding > 0))
		return FRAMING_AMBIGUOUS;
	if (counts->bad_name || counts->host > 1 ||
	    (!is_http_1_0 && counts->host == 0))
		return FRAMING_MALFORMED;
	return FRAMING_OK;
}

/*
 * Checks a raw head: request line, header lines and empty line; anything after
 * it is ignored. The raw bytes are checked because libh2o removes the framing
 * headers and accepts some ambiguous requests. Another server on the path may
 * find a different end of such a request (request smuggling).
 */
framing_t
framing_check_head(const char *head, size_t size_bytes, bool is_http_1_0)
{
	const char *next = head, *end = head + size_bytes, *line;
	header_counts_t counts = {0};
	size_t len;

	/* An empty line may precede the request line (RFC 9112, 2.2). */
	do
		len = next_line(&next, end);
	while (len == 0);
	while (len != SIZE_MAX) {
		line = next;
		len = next_line(&next, end);
		if (len == 0)
			return classify_framing(&counts, is_http_1_0);
		if (len != SIZE_MAX)
			parse_header_line(&counts, line, len);
	}
	return FRAMING_MALFORMED;
}

/*
 * Checks the framing of a request that libh2o has just parsed. Its head must
 * still be at the start of the input buffer of the connection. HTTP/2 needs no
 * check, since its frames delimit the request.
 */
framing_t
framing_check_request(h2o_req_t *req)
{
	h2o_socket_t *sock;

	if (req->version >= 0x200)
		return FRAMING_OK;
	sock = req->conn->callbacks->get_socket(req->conn);
	return framing_check_head(
	    sock->input->bytes, sock->input->size, req->version < 0x101);
}

/*
 * Returns whether the headers of a response with a body define its length in
 * exactly one way. Without a defined length the body ends with the connection,
 * and truncation could not be detected.
 */
bool
framing_check_response(const h2o_header_t *headers, size_t count)
{
	header_counts_t counts = {0};

	for (size_t i = 0; i < count; i++)
		count_header(&counts, headers[i].name->base,
		    headers[i].name->len, headers[i].value.base,
		    headers[i].value.len);
	return !counts.bad_value &&
	    counts.content_length + counts.transfer_encoding == 1;
}
