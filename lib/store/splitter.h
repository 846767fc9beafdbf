#ifndef STORE_SPLITTER_H
#define STORE_SPLITTER_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

/* Finds the ends of the JSON objects in a stream of them. */
typedef struct {
	GString *buf;
	size_t scanned_bytes;
	unsigned depth;
	bool in_string;
	bool escaped;
} store_splitter_t;

void store_splitter_init(store_splitter_t *);
void store_splitter_clear(store_splitter_t *);
void store_splitter_feed(store_splitter_t *, const char *, size_t size_bytes);
int store_splitter_next(store_splitter_t *, char **object, size_t *size_bytes);

#endif
