#ifndef GW_ID_H
#define GW_ID_H

#include <inttypes.h>

#define GW_ID_TEXT_BYTES 33

/* Random and content-derived identifiers. */
void gw_id_random(char text[GW_ID_TEXT_BYTES]);
uint64_t gw_id_random_u64(void);
void gw_id_content(
    const void *data, uint64_t size_bytes, char text[GW_ID_TEXT_BYTES]);

#endif
