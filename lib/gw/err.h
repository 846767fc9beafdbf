#ifndef GW_ERR_H
#define GW_ERR_H

#include <stdint.h>

/* Kinds of error. Callers decide by the code; the text is only for display. */
typedef enum {
	GW_OK = 0,
	GW_ERR_INVALID,	    /* the input is malformed or out of range */
	GW_ERR_NOT_FOUND,   /* the named object does not exist */
	GW_ERR_CONFLICT,    /* a compare-and-swap failed, or a stale epoch */
	GW_ERR_UNAVAILABLE, /* the peer did not accept the request */
	GW_ERR_UNKNOWN,	    /* outcome unknown; may have taken effect */
	GW_ERR_TIMEOUT,	    /* no response in time; may have taken effect */
	GW_ERR_LIMIT,	    /* a limit on size or count was reached */
	GW_ERR_SYSTEM	    /* a system call or library failed */
} gw_errc_t;

/* An error, the step that failed and the peer it talked to (may be empty). */
typedef struct {
	gw_errc_t code;
	char step[40];
	char peer[64];
	char text[256];
} gw_err_t;

void gw_err_set(gw_err_t *, gw_errc_t, const char *step, const char *peer,
    const char *fmt, ...) __attribute__((format(printf, 5, 6)));
const char *gw_errc_name(gw_errc_t);

#endif
