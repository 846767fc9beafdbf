#ifndef GWENTRYD_LAYOUT_H
#define GWENTRYD_LAYOUT_H

#include "gw/runtime.h"
#include "store/store.h"

/*
 * The number of parts in which each pool is owned. The first process of a
 * system writes it, by the size of the pools; it never changes afterwards.
 */
typedef struct layout layout_t;

typedef struct {
	/* The most instances that a pool has, or 0 while that is not known. */
	uint32_t (*largest_pool)(void *arg);
	void (*on_known)(uint32_t parts, void *arg);
} layout_ops_t;

layout_t *layout_new(gw_rt_t *, store_t *, const layout_ops_t *, void *arg);
/* 0 before it is known. */
uint32_t layout_parts(const layout_t *);

#endif
