#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "table.h"

/*
 * Replaces control characters with '?', so that text received from outside
 * cannot send escape sequences to the terminal.
 */
static char *
sanitize(char *text)
{
	for (char *c = text; *c != '\0'; c++)
		if ((unsigned char)*c < ' ' || *c == 0x7f)
			*c = '?';
	return text;
}

/*
 * Returns a table with a heading.
 */
table_t *
table_new(const char *const *heading, guint columns)
{
	table_t *table;

	table = g_new0(table_t, 1);
	table->columns = columns;
	table->cells = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < columns; i++)
		table_add(table, "%s", heading[i]);
	return table;
}

/*
 * Appends the next cell, row by row. An empty cell is shown as '-'.
 */
void
table_add(table_t *table, const char *fmt, ...)
{
	va_list ap;
	char *text;

	va_start(ap, fmt);
	text = g_strdup_vprintf(fmt, ap);
	va_end(ap);
	if (*text == '\0') {
		g_free(text);
		text = g_strdup("-");
	}
	g_ptr_array_add(table->cells, sanitize(text));
}

static glong
column_width(const table_t *table, guint column)
{
	glong widest = 0, len;

	for (guint i = column; i < table->cells->len; i += table->columns) {
		len = g_utf8_strlen(g_ptr_array_index(table->cells, i), -1);
		widest = MAX(widest, len);
	}
	return widest;
}

/*
 * Prints the table without trailing spaces, and frees it.
 */
void
table_print_and_free(table_t *table)
{
	const char *cell;
	glong pad;

	for (guint i = 0; i < table->cells->len; i++) {
		cell = g_ptr_array_index(table->cells, i);
		(void)fputs(cell, stdout);
		if ((i + 1) % table->columns == 0) {
			(void)putchar('\n');
			continue;
		}
		pad = column_width(table, i % table->columns) + 2 -
		    g_utf8_strlen(cell, -1);
		(void)printf("%*s", (int)pad, "");
	}
	g_ptr_array_free(table->cells, TRUE);
	g_free(table);
}
