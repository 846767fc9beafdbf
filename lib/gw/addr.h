#ifndef GW_ADDR_H
#define GW_ADDR_H

#include <sys/socket.h>
#include <netinet/in.h>

#include <stdint.h>

#include "gw/err.h"

#define GW_ADDR_TEXT_BYTES 64

/* An IP address and port. Names are never resolved. */
typedef struct {
	struct sockaddr_storage sa;
	socklen_t len_bytes;
} gw_addr_t;

int gw_addr_parse(gw_addr_t *, const char *text, gw_err_t *);
int gw_addr_make(gw_addr_t *, const char *ip, uint16_t port, gw_err_t *);
uint16_t gw_addr_port(const gw_addr_t *);
void gw_addr_set_port(gw_addr_t *, uint16_t port);
const char *gw_addr_text(const gw_addr_t *, char text[GW_ADDR_TEXT_BYTES]);

#endif
