#ifndef HTTP_REAP_H
#define HTTP_REAP_H

#include <uv.h>

/* Frees memory that contains libuv handles, once these are closed. */
void gw_reap(uv_loop_t *, void *memory);

#endif
