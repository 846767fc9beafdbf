#include <sys/socket.h>

#include <string.h>
#include <unistd.h>

#include "faults.h"
#include "http/httpd.h"

static const char *const names[FAULT_COUNT] = {
    "none", "fail", "late", "twice", "reset", "reset-before", "refuse"};

/*
 * Sets *fault to the fault of this name. Returns false when there is none.
 */
bool
fault_parse(const char *text, fault_t *fault)
{
	for (int i = 0; i < FAULT_COUNT; i++)
		if (strcmp(text, names[i]) == 0) {
			*fault = (fault_t)i;
			return true;
		}
	return false;
}

const char *
fault_name(fault_t fault)
{
	return names[fault];
}

/*
 * Resets the caller's connection and ends the request. On Linux, connect() to
 * an address of family AF_UNSPEC sends a reset at once.
 */
void
fault_reset(h2o_req_t *req)
{
	struct sockaddr none = {.sa_family = AF_UNSPEC};

	(void)connect(gw_http_caller_fd(req), &none, sizeof(none));
	req->http1_is_persistent = 0;
	gw_http_reply(req, 500, "text/plain", "", 0);
}

/*
 * Writes a surplus response after the one just sent, without a request for it.
 */
void
fault_second_response(h2o_req_t *req)
{
	static const char text[] = "HTTP/1.1 200 OK\r\n"
				   "content-length: 7\r\n\r\n"
				   "surplus";

	if (write(gw_http_caller_fd(req), text, sizeof(text) - 1) < 0)
		req->http1_is_persistent = 0;
}
