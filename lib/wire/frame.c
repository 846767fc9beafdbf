#include <arpa/inet.h>

#include <string.h>

#include "wire/frame.h"

/* The buffer of a smaller frame is kept for the next one. */
#define KEPT_BYTES (64 * 1024)

/*
 * Initializes a reader with an empty buffer.
 */
void
gw_frame_reader_init(gw_frame_reader_t *reader)
{
	reader->buf = g_byte_array_new();
}

/*
 * Frees the reader's buffer, with any incomplete frame in it.
 */
void
gw_frame_reader_clear(gw_frame_reader_t *reader)
{
	if (reader->buf != NULL)
		g_byte_array_unref(reader->buf);
	reader->buf = NULL;
}

/*
 * Appends received bytes.
 */
void
gw_frame_reader_feed(
    gw_frame_reader_t *reader, const void *data, size_t size_bytes)
{
	g_byte_array_append(reader->buf, data, (guint)size_bytes);
}

/*
 * Removes a frame from the buffer, which does not shrink by itself: a large one
 * is freed once it is empty.
 */
static void
remove_frame(gw_frame_reader_t *reader, uint32_t size_bytes)
{
	if (reader->buf->len > size_bytes || size_bytes < KEPT_BYTES) {
		g_byte_array_remove_range(reader->buf, 0, size_bytes);
		return;
	}
	g_byte_array_unref(reader->buf);
	reader->buf = g_byte_array_new();
}

/*
 * Decodes the next frame. Returns 1 with an envelope that the caller frees with
 * gw__envelope__free_unpacked(), or 0 when more bytes are needed. Returns -1
 * when the frame is too large or malformed; the connection must then be closed,
 * since the frame stays in the buffer.
 */
int
gw_frame_reader_next(
    gw_frame_reader_t *reader, Gw__Envelope **envelope, gw_err_t *err)
{
	uint32_t size_bytes;

	if (reader->buf->len < GW_FRAME_HEADER_BYTES)
		return 0;
	memcpy(&size_bytes, reader->buf->data, sizeof(size_bytes));
	size_bytes = ntohl(size_bytes);
	if (size_bytes > GW_FRAME_MAX_BYTES) {
		gw_err_set(err, GW_ERR_LIMIT, "read frame", "",
		    "frame of %u bytes exceeds the limit of %u", size_bytes,
		    GW_FRAME_MAX_BYTES);
		return -1;
	}
	if (reader->buf->len - GW_FRAME_HEADER_BYTES < size_bytes)
		return 0;
	*envelope = gw__envelope__unpack(
	    NULL, size_bytes, reader->buf->data + GW_FRAME_HEADER_BYTES);
	if (*envelope == NULL ||
	    (*envelope)->body_case == GW__ENVELOPE__BODY__NOT_SET) {
		if (*envelope != NULL)
			gw__envelope__free_unpacked(*envelope, NULL);
		*envelope = NULL;
		gw_err_set(err, GW_ERR_INVALID, "read frame", "",
		    "frame of %u bytes is not a known message", size_bytes);
		return -1;
	}
	remove_frame(reader, GW_FRAME_HEADER_BYTES + size_bytes);
	return 1;
}

/*
 * Returns one encoded frame, or NULL when it would exceed GW_FRAME_MAX_BYTES.
 */
GBytes *
gw_frame_encode(const Gw__Envelope *envelope, gw_err_t *err)
{
	size_t size_bytes;
	uint32_t header;
	uint8_t *data;

	size_bytes = gw__envelope__get_packed_size(envelope);
	if (size_bytes > GW_FRAME_MAX_BYTES) {
		gw_err_set(err, GW_ERR_LIMIT, "encode frame", "",
		    "message of %zu bytes exceeds the limit of %u", size_bytes,
		    GW_FRAME_MAX_BYTES);
		return NULL;
	}
	data = g_malloc(GW_FRAME_HEADER_BYTES + size_bytes);
	header = htonl((uint32_t)size_bytes);
	memcpy(data, &header, sizeof(header));
	gw__envelope__pack(envelope, data + GW_FRAME_HEADER_BYTES);
	return g_bytes_new_take(data, GW_FRAME_HEADER_BYTES + size_bytes);
}
