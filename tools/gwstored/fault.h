#ifndef GWSTORED_FAULT_H
#define GWSTORED_FAULT_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "gw/err.h"

typedef enum {
	DOWN_NO = 0,
	DOWN_REFUSE, /* every call is answered with 503 */
	DOWN_HANG    /* no call is answered */
} fault_down_t;

/* Faults in force, set through /control. */
typedef struct {
	fault_down_t down;
	uint32_t delay_ms;	/* before each answer */
	uint32_t lose_answers;	/* next writes: done, connection broken */
	uint32_t hang_answers;	/* next writes: done, answer withheld */
	uint32_t stale_reads;	/* next reads: the version before the last */
	bool watch_double;	/* each event is sent twice */
	bool watch_reorder;	/* pairs of events are swapped */
	bool compact;		/* once: drop history, cancel watches */
	bool cut_watches;	/* once: break all watches */
	char *raw_answer;	/* instead of each answer's body, or NULL */
	char *refuse_prefix;	/* keys whose writes are refused, or NULL */
	uint32_t refuse_writes; /* next writes of them: 503, nothing done */
} faults_t;

int faults_update(faults_t *, const char *json, size_t size_bytes, gw_err_t *);

#endif
