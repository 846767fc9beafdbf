#include <string.h>

#include <glib.h>

#include "store/base64.h"

/*
 * Decodes base64 and appends a NUL. Returns NULL when the text is not exactly
 * base64. GLib's decoder skips invalid characters, so the result is encoded
 * again and compared. The caller frees the result with g_free().
 */
char *
store_base64_decode(const char *text, size_t *size_bytes)
{
	g_autofree char *again = NULL;
	guchar *data;
	gsize len = 0;
	char *copy;

	data = g_base64_decode(text, &len);
	again = g_base64_encode(data, len);
	if (strcmp(again, text) != 0) {
		g_free(data);
		return NULL;
	}
	copy = g_realloc(data, len + 1);
	copy[len] = '\0';
	*size_bytes = len;
	return copy;
}
