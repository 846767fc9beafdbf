/*
 * Periods in ticks. They stand for those of lib/member/member.h and are in the
 * same order: drift < contact < lease. The hard deadline is the shortest one
 * that can be missed, which keeps the models small.
 *
 * Each process that may act for a limited period has the slowest clock, so that
 * it may act for DRIFT longer; the model then also covers faster clocks, since
 * the process may stop earlier. Each process that waits for the end of such a
 * period adds DRIFT to its wait.
 */
#define CONTACT 2
#define DRIFT 1
#define HARD_DEADLINE 1
#define LEASE 4
#define SLOW_CONTACT (CONTACT + DRIFT)
#define WAIT_STOP (CONTACT + DRIFT)
#define WAIT_DRAIN (CONTACT + HARD_DEADLINE + DRIFT)

#define COUNT_DOWN(left) \
	if               \
	::left > 0->left = left - 1 ::else fi

#define COUNT_UP(age, limit) \
	if                   \
	::age < limit->age = age + 1 ::else fi

/* Stages of the instance's move from pool A to pool B, as in the table. */
#define ACTIVE 0
#define LEAVING 1
#define DRAINED 2
#define JOINED 3
