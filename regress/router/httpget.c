/*
 * Prints the body of the response to one GET, for scripts: httpget IP:PORT
 * PATH.
 */
#include <err.h>
#include <stdio.h>

#include "gw/log.h"
#include "http/httpc.h"

static void
on_done(const gw_http_response_t *response, const gw_err_t *error, void *arg)
{
	if (response == NULL)
		errx(1, "%s", error->text);
	printf("%s\n", response->body);
	gw_rt_stop(arg);
}

int
main(int argc, char **argv)
{
	gw_rt_t *rt = gw_rt_new();
	gw_httpc_t *client;
	gw_addr_t addr;
	gw_err_t error;

	gw_log_init("httpget", LOG_WARNING);
	if (argc != 3 || gw_addr_parse(&addr, argv[1], &error) != 0)
		errx(1, "usage: httpget IP:PORT PATH");
	client = gw_httpc_new(rt, &addr);
	(void)gw_httpc_call(client, "GET", argv[2], NULL, 5000, on_done, rt);
	gw_rt_run(rt);
	gw_httpc_free(client);
	gw_rt_free(rt);
	return 0;
}
