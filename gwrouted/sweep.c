#include <poll.h>

#include "http/httpd.h"
#include "router.h"
#include "sweep.h"

/* Queued requests and the sockets of their HTTP/1 callers. */
typedef struct {
	GArray *fds;	     /* struct pollfd */
	GPtrArray *requests; /* request_t, same order */
} queued_callers_t;

static void
collect_queued(queued_callers_t *queued, const router_t *router)
{
	struct pollfd pfd = {.events = POLLRDHUP};

	for (GList *l = router->requests.head; l != NULL; l = l->next) {
		request_t *request = l->data;

		if (!request->item.queued || request->caller == NULL)
			continue;
		pfd.fd = gw_http_caller_fd(request->caller->req);
		g_array_append_val(queued->fds, pfd);
		g_ptr_array_add(queued->requests, request);
	}
}

static void
refuse_gone_callers(const queued_callers_t *queued)
{
	for (guint i = 0; i < queued->fds->len; i++) {
		const struct pollfd *pfd =
		    &g_array_index(queued->fds, struct pollfd, i);
		request_t *request = queued->requests->pdata[i];

		if (pfd->fd < 0 || pfd->revents == 0)
			continue;
		fairq_remove(request->pool->queue, &request->item);
		request_refuse(request, REASON_CALLER_GONE);
	}
}

/*
 * Removes the queued requests whose HTTP/1 callers have closed their
 * connections. One call of poll() checks all of them.
 */
void
sweep_gone_callers(router_t *router)
{
	queued_callers_t queued;

	queued.fds = g_array_new(FALSE, TRUE, sizeof(struct pollfd));
	queued.requests = g_ptr_array_new();
	collect_queued(&queued, router);
	if (queued.fds->len > 0 &&
	    poll((struct pollfd *)(void *)queued.fds->data, queued.fds->len,
		0) > 0)
		refuse_gone_callers(&queued);
	g_array_unref(queued.fds);
	g_ptr_array_unref(queued.requests);
}
