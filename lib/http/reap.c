#include <glib.h>

#include "http/reap.h"

/* Two handles that close one round of the loop after another. */
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
 * Frees memory (from g_malloc) once the handles in it, whose uv_close() has
 * been called, are closed: the second handle's close callback runs one round
 * of the loop after theirs.
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
