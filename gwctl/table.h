#ifndef GWCTL_TABLE_H
#define GWCTL_TABLE_H

#include <glib.h>

/* Rows of text in aligned columns. */
typedef struct {
	guint columns;
	GPtrArray *cells; /* char *, row by row, the heading first */
} table_t;

table_t *table_new(const char *const *heading, guint columns);
void table_add(table_t *, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void table_print_and_free(table_t *);

#endif
