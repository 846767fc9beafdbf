/*
 * Periods in ticks; they stand for those of lib/member/member.h in their
 * order: drift < contact < lease. The hard deadline is the shortest that can
 * be missed, which keeps the models small.
 *
 * A clock that is slow by DRIFT lets its owner act that much longer, and
 * longer includes shorter. So each owner of a limited period has the slowest
 * clock, and each one that waits for the end of such a period adds the drift.
 */
#define CONTACT 2
#define DRIFT 1
#define HARD 1
#define LEASE 4
#define SLOW_CONTACT (CONTACT + DRIFT)
#define WAIT_STOP (CONTACT + DRIFT)
#define WAIT_DRAIN (CONTACT + HARD + DRIFT)

#define COUNT_DOWN(left) \
	if               \
	::left > 0->left = left - 1 ::else fi

#define COUNT_UP(age, limit) \
	if                   \
	::age < limit->age = age + 1 ::else fi

/* Stages of the instance's move from pool A to pool B, in the table. */
#define ACTIVE 0
#define LEAVING 1
#define DRAINED 2
#define JOINED 3
