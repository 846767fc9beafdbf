#ifndef HTTP_REAP_H
#define HTTP_REAP_H

#include <uv.h>

/* Frees memory that contains closing libuv handles, once they are closed. */
void gw_reap(uv_loop_t *, void *memory);

#endif
