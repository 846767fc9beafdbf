#ifndef WIRE_FRAME_H
#define WIRE_FRAME_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "gw/err.h"
#include "wire/gw.pb-c.h"

/* Maximum size of the protobuf message, without the frame header. */
#define GW_FRAME_MAX_BYTES (1024 * 1024)
#define GW_FRAME_HEADER_BYTES 4
#define GW_PROTOCOL_VERSION 1

/*
 * Reads frames from a byte stream: a 4-byte big-endian length, then one
 * protobuf gw.Envelope.
 */
typedef struct {
	GByteArray *buf;
} gw_frame_reader_t;

void gw_frame_reader_init(gw_frame_reader_t *);
void gw_frame_reader_clear(gw_frame_reader_t *);
void gw_frame_reader_feed(gw_frame_reader_t *, const void *, size_t size_bytes);
int gw_frame_reader_next(gw_frame_reader_t *, Gw__Envelope **, gw_err_t *);
GBytes *gw_frame_encode(const Gw__Envelope *, gw_err_t *);

#endif
