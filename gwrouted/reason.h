#ifndef GWROUTED_REASON_H
#define GWROUTED_REASON_H

/* Why no endpoint answered a request. */
typedef enum {
	REASON_BAD_REQUEST = 0,
	REASON_AMBIGUOUS_FRAMING,
	REASON_METHOD,
	REASON_UNKNOWN_TEAM,
	REASON_BAD_CLASS,
	REASON_BAD_DEADLINE,
	REASON_NO_ROUTE,
	REASON_NO_MANIFEST,
	REASON_NOT_ADMITTED,
	REASON_SHUTTING_DOWN,
	REASON_QUEUE_FULL,
	REASON_OVER_SHARE,
	REASON_DEADLINE_AHEAD,
	REASON_EXPIRED,
	REASON_NO_SPARE,
	REASON_UNREACHABLE,
	REASON_REFUSED,
	REASON_CALLER_GONE,
	/* With this reason and those that follow, the request may have run. */
	REASON_BROKEN,
	REASON_BAD_RESPONSE,
	REASON_DEADLINE,
	REASON_HARD_DEADLINE,
	REASON_COUNT
} reason_t;

typedef struct {
	const char *name;
	int status;
	const char *detail;
} reason_info_t;

const reason_info_t *reason_info(reason_t);

#endif
