#ifndef GW_ERR_H
#define GW_ERR_H

#include <stdint.h>

/* Kinds of error, for the caller's decision; the text is for people. */
typedef enum {
	GW_OK = 0,
	GW_ERR_INVALID,	    /* the input is malformed or out of range */
	GW_ERR_NOT_FOUND,   /* the named object does not exist */
	GW_ERR_CONFLICT,    /* a compare-and-swap lost, or a stale epoch */
	GW_ERR_UNAVAILABLE, /* the peer did not take the request */
	GW_ERR_UNKNOWN,	    /* the request may have taken effect */
	GW_ERR_TIMEOUT,	    /* no answer in time; may have taken effect */
	GW_ERR_LIMIT,	    /* a bound on size or count was reached */
	GW_ERR_SYSTEM	    /* a system call or library failed */
} gw_errc_t;

/* An error with the step and the peer at which it arose. */
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
