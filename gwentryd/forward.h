#ifndef GWENTRYD_FORWARD_H
#define GWENTRYD_FORWARD_H

#include "dispatch.h"
#include "request.h"
#include "sched/config.h"
#include "sched/lookup.h"

/* What the calls for a request need. Valid during forward_request(). */
typedef struct {
	dispatch_t *dispatch;
	const sched_homes_t *homes;
	const sched_queue_t *queue;
	uint32_t shard_count;
	uint64_t config_version;
} forward_target_t;

/*
 * Makes the calls to owners that the request needs, and replies to the caller
 * from their responses. spec is the job of a submission, which is freed with
 * gw__job_spec__free_unpacked(), else NULL.
 */
void forward_request(request_t *, const forward_target_t *, Gw__JobSpec *spec);

#endif
