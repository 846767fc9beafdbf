#include <string.h>

#include "wire/frame.h"

/*
 * Guards against frames that are lost or split wrongly when the stream delivers
 * their bytes one at a time.
 */
static void
test_frames_from_single_bytes(void)
{
	Gw__Envelope envelope = GW__ENVELOPE__INIT, *got;
	Gw__Contact contact = GW__CONTACT__INIT;
	gw_frame_reader_t reader;
	gw_err_t err;
	GBytes *bytes;
	const uint8_t *data;
	gsize size_bytes;
	int frames = 0;

	contact.epoch = 7;
	envelope.body_case = GW__ENVELOPE__BODY_CONTACT;
	envelope.contact = &contact;
	bytes = gw_frame_encode(&envelope, &err);
	data = g_bytes_get_data(bytes, &size_bytes);
	gw_frame_reader_init(&reader);
	for (gsize i = 0; i < 2 * size_bytes; i++) {
		gw_frame_reader_feed(&reader, &data[i % size_bytes], 1);
		while (gw_frame_reader_next(&reader, &got, &err) == 1) {
			g_assert_cmpuint(got->contact->epoch, ==, 7);
			gw__envelope__free_unpacked(got, NULL);
			frames++;
		}
	}
	g_assert_cmpint(frames, ==, 2);
	gw_frame_reader_clear(&reader);
	g_bytes_unref(bytes);
}

/*
 * Guards against buffering or accepting an oversized frame, a frame that is not
 * protobuf, or an envelope without a message.
 */
static void
test_bad_frames(void)
{
	static const uint8_t oversized[] = {0xff, 0xff, 0xff, 0xff};
	static const uint8_t garbage[] = {0, 0, 0, 2, 0xff, 0xff};
	static const uint8_t empty[] = {0, 0, 0, 0};
	gw_frame_reader_t reader;
	Gw__Envelope *got;
	gw_err_t err;

	gw_frame_reader_init(&reader);
	gw_frame_reader_feed(&reader, oversized, sizeof(oversized));
	g_assert_cmpint(gw_frame_reader_next(&reader, &got, &err), ==, -1);
	g_assert_cmpint(err.code, ==, GW_ERR_LIMIT);
	gw_frame_reader_clear(&reader);
	gw_frame_reader_init(&reader);
	gw_frame_reader_feed(&reader, garbage, sizeof(garbage));
	g_assert_cmpint(gw_frame_reader_next(&reader, &got, &err), ==, -1);
	gw_frame_reader_clear(&reader);
	gw_frame_reader_init(&reader);
	gw_frame_reader_feed(&reader, empty, sizeof(empty));
	g_assert_cmpint(gw_frame_reader_next(&reader, &got, &err), ==, -1);
	g_assert_cmpint(err.code, ==, GW_ERR_INVALID);
	gw_frame_reader_clear(&reader);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/frame/single-bytes", test_frames_from_single_bytes);
	g_test_add_func("/frame/bad", test_bad_frames);
	return g_test_run();
}
