#include "reason.h"

static const reason_info_t infos[REASON_COUNT] = {
    [REASON_BAD_REQUEST] = {"bad-request", 400,
	"the request line or a header is malformed"},
    [REASON_AMBIGUOUS_FRAMING] = {"ambiguous-framing", 400,
	"the length of the body is stated in more than one way"},
    [REASON_METHOD] = {"method", 405, "the method is not supported"},
    [REASON_UNKNOWN_TEAM] = {"unknown-team", 400,
	"Godwit-Team is not a team of the manifest"},
    [REASON_BAD_CLASS] = {"bad-class", 400,
	"Godwit-Class is not quick, settlement or archive"},
    [REASON_BAD_DEADLINE] = {"bad-deadline", 400,
	"Godwit-Deadline-Ms is not a whole number from 1 to 3600000"},
    [REASON_NO_ROUTE] = {"no-route", 404,
	"no route of the manifest matches the host and path"},
    [REASON_NO_MANIFEST] = {"no-manifest", 503,
	"the router has no manifest yet"},
    [REASON_NOT_ADMITTED] = {"not-admitted", 503,
	"the planner has not admitted the router yet"},
    [REASON_SHUTTING_DOWN] = {"shutting-down", 503,
	"the router is about to exit"},
    [REASON_QUEUE_FULL] = {"queue-full", 503, "the pool's queue is full"},
    [REASON_OVER_SHARE] = {"over-share", 429,
	"the team is beyond its share of the pool's queue"},
    [REASON_DEADLINE_AHEAD] = {"deadline-ahead", 503,
	"the request cannot start before its deadline"},
    [REASON_EXPIRED] = {"expired", 503,
	"the deadline passed while the request was queued"},
    [REASON_NO_SPARE] = {"no-spare", 503,
	"this data centre has no free slot for others"},
    [REASON_UNREACHABLE] = {"unreachable", 503,
	"no connection to an endpoint could be made"},
    [REASON_REFUSED] = {"refused", 503, "the endpoint refused to run it"},
    [REASON_CALLER_GONE] = {"caller-gone", 503,
	"the caller closed its connection"},
    [REASON_BROKEN] = {"broken", 502,
	"the connection to the endpoint broke before the whole response"},
    [REASON_BAD_RESPONSE] = {"bad-response", 502,
	"the endpoint's response is malformed or not for this request"},
    [REASON_DEADLINE] = {"deadline", 504,
	"the deadline passed before the endpoint answered"},
    [REASON_HARD_DEADLINE] = {"hard-deadline", 504,
	"the time limit of the instance passed before it answered"},
};

/*
 * Returns the name (for Godwit-Reason and the log), the status and the text of
 * a reason.
 */
const reason_info_t *
reason_info(reason_t reason)
{
	return &infos[reason];
}
