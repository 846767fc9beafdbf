#include <arpa/inet.h>

#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "gw/addr.h"

/*
 * Makes an address from a numeric IPv4 or IPv6 address and a port in host
 * order. Returns 0, or -1 with GW_ERR_INVALID.
 */
int
gw_addr_make(gw_addr_t *addr, const char *ip, uint16_t port, gw_err_t *err)
{
	struct sockaddr_in *v4 = (struct sockaddr_in *)&addr->sa;
	struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)&addr->sa;

	memset(addr, 0, sizeof(*addr));
	if (inet_pton(AF_INET, ip, &v4->sin_addr) == 1) {
		v4->sin_family = AF_INET;
		v4->sin_port = htons(port);
		addr->len_bytes = sizeof(*v4);
		return 0;
	}
	if (inet_pton(AF_INET6, ip, &v6->sin6_addr) == 1) {
		v6->sin6_family = AF_INET6;
		v6->sin6_port = htons(port);
		addr->len_bytes = sizeof(*v6);
		return 0;
	}
	gw_err_set(err, GW_ERR_INVALID, "parse address", "",
	    "'%s' is not an IP number", ip);
	return -1;
}

/*
 * Parses "IPV4:PORT" or "[IPV6]:PORT". Returns 0, or -1 with GW_ERR_INVALID.
 */
int
gw_addr_parse(gw_addr_t *addr, const char *text, gw_err_t *err)
{
	char ip[INET6_ADDRSTRLEN];
	const char *colon, *start = text;
	guint64 port;
	size_t len;

	colon = strrchr(text, ':');
	if (colon == NULL)
		goto invalid;
	len = (size_t)(colon - text);
	if (text[0] == '[') {
		if (len < 2 || text[len - 1] != ']')
			goto invalid;
		start++;
		len -= 2;
	}
	if (len == 0 || len >= sizeof(ip))
		goto invalid;
	memcpy(ip, start, len);
	ip[len] = '\0';
	if (!g_ascii_string_to_unsigned(
		colon + 1, 10, 0, UINT16_MAX, &port, NULL))
		goto invalid;
	return gw_addr_make(addr, ip, (uint16_t)port, err);
invalid:
	gw_err_set(err, GW_ERR_INVALID, "parse address", "",
	    "'%s' is not of the form IP:PORT", text);
	return -1;
}

/*
 * Returns the port in host order.
 */
uint16_t
gw_addr_port(const gw_addr_t *addr)
{
	if (addr->sa.ss_family == AF_INET6)
		return ntohs(
		    ((const struct sockaddr_in6 *)&addr->sa)->sin6_port);
	return ntohs(((const struct sockaddr_in *)&addr->sa)->sin_port);
}

/*
 * Sets the port, given in host order.
 */
void
gw_addr_set_port(gw_addr_t *addr, uint16_t port)
{
	if (addr->sa.ss_family == AF_INET6)
		((struct sockaddr_in6 *)&addr->sa)->sin6_port = htons(port);
	else
		((struct sockaddr_in *)&addr->sa)->sin_port = htons(port);
}

/*
 * Writes the address as IPV4:PORT or [IPV6]:PORT and returns text.
 */
const char *
gw_addr_text(const gw_addr_t *addr, char text[GW_ADDR_TEXT_BYTES])
{
	char ip[INET6_ADDRSTRLEN] = "";

	if (addr->sa.ss_family == AF_INET6) {
		(void)inet_ntop(AF_INET6,
		    &((const struct sockaddr_in6 *)&addr->sa)->sin6_addr, ip,
		    sizeof(ip));
		(void)snprintf(text, GW_ADDR_TEXT_BYTES, "[%s]:%u", ip,
		    gw_addr_port(addr));
	} else {
		(void)inet_ntop(AF_INET,
		    &((const struct sockaddr_in *)&addr->sa)->sin_addr, ip,
		    sizeof(ip));
		(void)snprintf(
		    text, GW_ADDR_TEXT_BYTES, "%s:%u", ip, gw_addr_port(addr));
	}
	return text;
}
