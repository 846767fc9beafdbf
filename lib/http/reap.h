#ifndef HTTP_REAP_H
#define HTTP_REAP_H

#include <uv.h>

/* Frees memory with libuv handles in it after they have closed. */
void gw_reap(uv_loop_t *, void *memory);

#endif
