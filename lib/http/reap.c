#include <glib.h>

#include "http/reap.h"

/* The second handle is closed one iteration of the loop after the first. */
typedef struct {
	uv_timer_t first;
	uv_timer_t second;
	void *memory;
} reaper_t;

static void
on_second_closed(uv_handle_t *handle)
{
	reaper_t *reaper = handle->data;

	g_free(reaper->memory);
	g_free(reaper);
}

static void
on_first_closed(uv_handle_t *handle)
{
	reaper_t *reaper = handle->data;

	uv_close((uv_handle_t *)&reaper->second, on_second_closed);
}

/*
 * Frees memory (from g_malloc) that contains libuv handles. uv_close() must
 * have been called for these: memory is freed in the close callback of the
 * second handle, one iteration of the loop after their close callbacks.
 */
void
gw_reap(uv_loop_t *loop, void *memory)
{
	reaper_t *reaper;

	reaper = g_new0(reaper_t, 1);
	reaper->memory = memory;
	(void)uv_timer_init(loop, &reaper->first);
	(void)uv_timer_init(loop, &reaper->second);
	reaper->first.data = reaper;
	reaper->second.data = reaper;
	uv_close((uv_handle_t *)&reaper->first, on_first_closed);
}
