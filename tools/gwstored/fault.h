#ifndef GWSTORED_FAULT_H
#define GWSTORED_FAULT_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "gw/err.h"

typedef enum {
	DOWN_NO = 0,
	DOWN_REFUSE, /* the response to every request is 503 */
	DOWN_HANG    /* no request gets a response */
} fault_down_t;

/*
 * The faults to inject, set through POST /control. lose_answers, hang_answers,
 * stale_reads and refuse_writes count the next requests that are affected. A
 * fault marked etcd or platform affects only the gateway (api.h) or only the
 * platform's protocol (platform_kv.h); delay_ms and raw_answer also affect the
 * response of DOWN_REFUSE.
 */
typedef struct {
	fault_down_t down;
	uint32_t delay_ms; /* before each response; etcd */
	/* writes take effect; etcd: connection closed, platform: no response */
	uint32_t lose_answers;
	uint32_t hang_answers;	/* writes take effect, no response; etcd */
	uint32_t stale_reads;	/* reads get the previous version; etcd */
	bool watch_double;	/* each event is sent twice; etcd */
	bool watch_reorder;	/* pairs of events are swapped; etcd */
	bool compact;		/* once: drop the history, end watches */
	bool cut_watches;	/* once: end all watches; etcd */
	char *raw_answer;	/* body of every response, or NULL; etcd */
	char *refuse_prefix;	/* keys of refuse_writes, or NULL */
	uint32_t refuse_writes; /* writes get 503, no effect; platform */
	/* writes of larger values get 400; 0: no limit; platform */
	uint32_t value_max_bytes;
} faults_t;

int faults_update(faults_t *, const char *json, size_t size_bytes, gw_err_t *);

#endif
