#include <stdarg.h>
#include <stdio.h>

#include <glib.h>

#include "gw/err.h"

/*
 * Fills in err unless it is NULL. An unknown peer is given as the empty string.
 */
void
gw_err_set(gw_err_t *err, gw_errc_t code, const char *step, const char *peer,
    const char *fmt, ...)
{
	va_list ap;

	if (err == NULL)
		return;
	err->code = code;
	g_strlcpy(err->step, step, sizeof(err->step));
	g_strlcpy(err->peer, peer, sizeof(err->peer));
	va_start(ap, fmt);
	(void)vsnprintf(err->text, sizeof(err->text), fmt, ap);
	va_end(ap);
}

/*
 * Returns the short name of an error code, as it appears in log lines.
 */
const char *
gw_errc_name(gw_errc_t code)
{
	static const char *const names[] = {"ok", "invalid", "not-found",
	    "conflict", "unavailable", "unknown", "timeout", "limit", "system"};

	if ((size_t)code >= G_N_ELEMENTS(names))
		return "?";
	return names[code];
}
