#include "sched/impl.h"

/* Names of why tasks wait. */

static const char *const wait_names[] = {
    [SCHED_WAIT_NONE] = "none",
    [SCHED_WAIT_LEASE] = "lease",
    [SCHED_WAIT_STOP] = "stop",
    [SCHED_WAIT_RECORD] = "record",
    [SCHED_WAIT_START] = "start",
    [SCHED_WAIT_LINK] = "link",
    [SCHED_WAIT_OWNER] = "owner",
    [SCHED_WAIT_ASIDE] = "aside",
    [SCHED_WAIT_HOME] = "home",
    [SCHED_WAIT_STEP] = "step",
    [SCHED_WAIT_NOT_BEFORE] = "not-before",
    [SCHED_WAIT_ADVICE] = "advice",
    [SCHED_WAIT_MEMBERS] = "members",
    [SCHED_WAIT_NO_INSTANCE] = "no-instance",
    [SCHED_WAIT_QUOTA] = "quota",
    [SCHED_WAIT_TRIAL] = "trial",
    [SCHED_WAIT_GANG] = "gang",
    [SCHED_WAIT_ROUND] = "round",
    [SCHED_WAIT_NEXT_ROUND] = "next-round",
};

/* Keys in log lines. */
static const char *const exclusion_names[] = {
    [SCHED_EXCLUDED_NOT] = "with_room",
    [SCHED_EXCLUDED_NOT_LISTED] = "not_listed",
    [SCHED_EXCLUDED_NOT_CONTACTED] = "not_contacted",
    [SCHED_EXCLUDED_UNREACHABLE] = "unreachable",
    [SCHED_EXCLUDED_LEAVING] = "leaving",
    [SCHED_EXCLUDED_RUNS_UNKNOWN] = "runs_unknown",
    [SCHED_EXCLUDED_AVOIDED] = "avoided",
    [SCHED_EXCLUDED_DRAINING] = "draining",
    [SCHED_EXCLUDED_STRAYS] = "strays",
    [SCHED_EXCLUDED_LAPSING] = "lapsing",
    [SCHED_EXCLUDED_FAILING] = "failing",
    [SCHED_EXCLUDED_FULL] = "full",
    [SCHED_EXCLUDED_LABEL] = "label",
    [SCHED_EXCLUDED_CRASH] = "crash_apart",
    [SCHED_EXCLUDED_TICKET] = "ticket",
    [SCHED_EXCLUDED_APART] = "apart",
    [SCHED_EXCLUDED_WITHHELD] = "withheld",
};

static const char *const state_names[] = {[SCHED_TASK_WAITING] = "waiting",
    [SCHED_TASK_RESERVED] = "reserved",
    [SCHED_TASK_STARTING] = "starting",
    [SCHED_TASK_RUNNING] = "running",
    [SCHED_TASK_STOPPING] = "stopping",
    [SCHED_TASK_DONE] = "done",
    [SCHED_TASK_AWAY] = "away"};

/*
 * Returns the name of a reason, for logs, labels and operators' requests.
 */
const char *
sched_wait_name(sched_wait_t reason)
{
	return wait_names[reason];
}

/*
 * Returns the name of a reason why an instance gets no start, for the same.
 */
const char *
sched_exclusion_name(sched_exclusion_t exclusion)
{
	return exclusion_names[exclusion];
}

/*
 * Returns the name of a task's state, for the same.
 */
const char *
sched_task_state_name(sched_task_state_t state)
{
	return state_names[state];
}
