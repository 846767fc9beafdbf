#include "wire/frame.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes);

/*
 * Decodes a stream of frames, which arrives in two parts. It must be possible
 * to encode each decoded message again.
 */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size_bytes)
{
	gw_frame_reader_t reader;
	Gw__Envelope *envelope;
	GBytes *bytes;
	gw_err_t err;

	gw_frame_reader_init(&reader);
	gw_frame_reader_feed(&reader, data, size_bytes / 2);
	gw_frame_reader_feed(
	    &reader, data + size_bytes / 2, size_bytes - size_bytes / 2);
	while (gw_frame_reader_next(&reader, &envelope, &err) == 1) {
		bytes = gw_frame_encode(envelope, &err);
		g_assert_nonnull(bytes);
		g_bytes_unref(bytes);
		gw__envelope__free_unpacked(envelope, NULL);
	}
	gw_frame_reader_clear(&reader);
	return 0;
}
