#ifndef STORE_FOLLOW_H
#define STORE_FOLLOW_H

#include "store/store.h"

/*
 * A view of the keys below a prefix that is kept up to date: it lists them,
 * then polls for changes, and lists them again when the history is gone.
 */
typedef struct store_follow store_follow_t;

typedef struct {
	/* A key's newest value, or its removal; revisions of a key rise. */
	void (*on_item)(const store_item_t *, void *arg);
	/* A whole list has been reported. */
	void (*on_listed)(void *arg);
	/* An answer came (err NULL), or a call failed. */
	void (*on_contact)(const gw_err_t *, void *arg);
} store_follow_ops_t;

/* pause_ms: changes are gathered for so long between two reports. */
store_follow_t *store_follow(store_t *, const char *prefix, uint32_t pause_ms,
    const store_follow_ops_t *, void *arg);
void store_follow_free(store_follow_t *);

#endif
