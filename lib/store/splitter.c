#include "store/splitter.h"

/*
 * A message of a watch has little besides one value in base64, which is at most
 * a third longer than GW_STORE_VALUE_MAX_BYTES.
 */
#define OBJECT_MAX_BYTES (4 * 1024 * 1024)

void
store_splitter_init(store_splitter_t *splitter)
{
	*splitter = (store_splitter_t){.buf = g_string_new(NULL)};
}

void
store_splitter_clear(store_splitter_t *splitter)
{
	if (splitter->buf != NULL)
		g_string_free(splitter->buf, TRUE);
	splitter->buf = NULL;
}

/*
 * Appends bytes from the stream.
 */
void
store_splitter_feed(
    store_splitter_t *splitter, const char *data, size_t size_bytes)
{
	g_string_append_len(splitter->buf, data, (gssize)size_bytes);
}

/*
 * Scans one character. Returns true at the end of an object.
 */
static bool
scan_char(store_splitter_t *splitter, char c)
{
	if (splitter->in_string) {
		if (splitter->escaped)
			splitter->escaped = false;
		else if (c == '\\')
			splitter->escaped = true;
		else if (c == '"')
			splitter->in_string = false;
		return false;
	}
	if (c == '"')
		splitter->in_string = true;
	else if (c == '{' || c == '[')
		splitter->depth++;
	else if (c == '}' || c == ']')
		return splitter->depth > 0 && --splitter->depth == 0;
	return false;
}

/*
 * Removes the next complete object from the buffer. Returns 1 with the object,
 * which the caller frees with g_free(), 0 when more bytes are needed, or -1
 * when the object exceeds OBJECT_MAX_BYTES.
 */
int
store_splitter_next(
    store_splitter_t *splitter, char **object, size_t *size_bytes)
{
	while (splitter->scanned_bytes < splitter->buf->len) {
		if (!scan_char(splitter,
			splitter->buf->str[splitter->scanned_bytes++]))
			continue;
		*size_bytes = splitter->scanned_bytes;
		*object = g_strndup(splitter->buf->str, *size_bytes);
		g_string_erase(splitter->buf, 0, (gssize)*size_bytes);
		splitter->scanned_bytes = 0;
		return 1;
	}
	return splitter->buf->len > OBJECT_MAX_BYTES ? -1 : 0;
}
