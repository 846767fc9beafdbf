#ifndef STORE_SPLITTER_H
#define STORE_SPLITTER_H

#include <stdbool.h>
#include <stddef.h>

#include <glib.h>

/* Splits a stream into its JSON objects. */
typedef struct {
	GString *buf;	      /* from the start of the next object */
	size_t scanned_bytes; /* of buf */
	unsigned depth;	      /* open braces and brackets at that point */
	bool in_string;
	bool escaped; /* the last character was a backslash in a string */
} store_splitter_t;

void store_splitter_init(store_splitter_t *);
void store_splitter_clear(store_splitter_t *);
void store_splitter_feed(store_splitter_t *, const char *, size_t size_bytes);
int store_splitter_next(store_splitter_t *, char **object, size_t *size_bytes);

#endif
