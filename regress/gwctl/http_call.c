#include <err.h>
#include <stdio.h>
#include <string.h>

#include "http/httpc.h"

static int exit_status = 1;

static void
on_done(const gw_http_response_t *response, const gw_err_t *error, void *arg)
{
	if (response != NULL && response->status == 200)
		exit_status = 0;
	if (response != NULL)
		(void)puts(response->body);
	else
		warnx("%s", error->text);
	gw_rt_stop(arg);
}

/*
 * http_call IP:PORT PATH [BODY]: sends one request for the scripts of this
 * directory, POST with a body and GET without. Prints the response's body;
 * exits with 0 only for status 200.
 */
int
main(int argc, char **argv)
{
	const char *body = argc > 3 ? argv[3] : NULL;
	gw_rt_t *rt = gw_rt_new();
	gw_httpc_t *client;
	gw_addr_t addr;
	gw_err_t error;

	if (argc < 3 || gw_addr_parse(&addr, argv[1], &error) != 0)
		errx(64, "usage: http_call IP:PORT PATH [BODY]");
	client = gw_httpc_new(rt, &addr);
	gw_httpc_call(client, body == NULL ? "GET" : "POST", argv[2], body,
	    2000, on_done, rt);
	gw_rt_run(rt);
	gw_httpc_free(client);
	gw_rt_free(rt);
	return exit_status;
}
