#include <string.h>

#include "sync.h"

/* Reads have no effect, so they are retried. */
#define READ_ATTEMPTS 3
#define RETRY_DELAY_MS 100

/* One asynchronous call whose end the caller waits for. */
typedef struct {
	gw_rt_t *rt;
	bool done;
	gw_err_t err; /* code GW_OK on success */
	char *value;  /* NULL when the key is absent */
	size_t size_bytes;
	uint64_t mod_revision;
	uint64_t store_revision;
} pending_t;

static void
finish(pending_t *pending, const gw_err_t *err)
{
	if (err != NULL)
		pending->err = *err;
	pending->done = true;
	gw_rt_stop(pending->rt);
}

static void
on_get(const store_value_t *value, const gw_err_t *err, void *arg)
{
	pending_t *pending = arg;

	if (value != NULL) {
		pending->mod_revision = value->mod_revision;
		pending->store_revision = value->store_revision;
		pending->size_bytes = value->size_bytes;
		if (value->value != NULL)
			pending->value =
			    g_memdup2(value->value, value->size_bytes + 1);
	}
	finish(pending, err);
}

static void
on_put(uint64_t mod_revision, const gw_err_t *err, void *arg)
{
	pending_t *pending = arg;

	pending->mod_revision = mod_revision;
	finish(pending, err);
}

static void
on_sleep(gw_timer_t *timer, void *arg)
{
	(void)timer;
	finish(arg, NULL);
}

static void
run(pending_t *pending)
{
	while (!pending->done)
		gw_rt_run(pending->rt);
}

/*
 * Runs the loop for delay_ms.
 */
void
sync_sleep(ctl_t *ctl, uint64_t delay_ms)
{
	pending_t pending = {.rt = ctl->rt};
	gw_timer_t timer = {0};

	gw_timer_start(
	    ctl->rt, &timer, delay_ms * GW_US_PER_MS, on_sleep, &pending);
	run(&pending);
}

/*
 * Reads a key, with retries while the store is unavailable. The value of an
 * absent key is NULL; the caller frees the value with g_free().
 */
int
sync_get(ctl_t *ctl, const char *key, char **value, size_t *size_bytes,
    uint64_t *mod_revision, uint64_t *store_revision, gw_err_t *err)
{
	pending_t pending;

	for (int attempt = 1;; attempt++) {
		memset(&pending, 0, sizeof(pending));
		pending.rt = ctl->rt;
		store_get(ctl->store, key, on_get, &pending);
		run(&pending);
		if (pending.err.code != GW_ERR_UNAVAILABLE ||
		    attempt == READ_ATTEMPTS)
			break;
		sync_sleep(ctl, RETRY_DELAY_MS);
	}
	*value = pending.value;
	*size_bytes = pending.size_bytes;
	*mod_revision = pending.mod_revision;
	*store_revision = pending.store_revision;
	*err = pending.err;
	return pending.err.code == GW_OK ? 0 : -1;
}

/*
 * Writes a key if its mod_revision is the expected one (0: the key is absent).
 * Does not retry.
 */
int
sync_put_if(ctl_t *ctl, const char *key, uint64_t expected_mod_revision,
    const char *value, size_t size_bytes, gw_err_t *err)
{
	pending_t pending = {.rt = ctl->rt};

	store_put_if(ctl->store, key, expected_mod_revision, value, size_bytes,
	    0, on_put, &pending);
	run(&pending);
	*err = pending.err;
	return pending.err.code == GW_OK ? 0 : -1;
}
