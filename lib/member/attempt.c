#include "member/attempt.h"

/*
 * Starts the record of a request. max_tries bounds all tries together.
 */
void
attempt_init(attempt_t *attempt, bool idempotent, uint32_t max_tries)
{
	*attempt = (attempt_t){0};
	attempt->idempotent = idempotent;
	attempt->max_tries = max_tries;
}

/*
 * Tells whether a try may be started: the first one, or one after a failure
 * that left no byte at an endpoint. An idempotent request may also be tried
 * again after that, until a response has begun.
 */
bool
attempt_may_start(const attempt_t *attempt)
{
	if (attempt->number >= attempt->max_tries)
		return false;
	if (attempt->number != 0 && attempt->state != ATTEMPT_FAILED)
		return false;
	if (attempt->responding)
		return false;
	return attempt->idempotent || !attempt->may_have_run;
}

/*
 * Starts a try and returns its number, or 0 when none may be started.
 */
uint32_t
attempt_start(attempt_t *attempt)
{
	if (!attempt_may_start(attempt))
		return 0;
	attempt->state = ATTEMPT_NOT_SENT;
	attempt->number++;
	return attempt->number;
}

/*
 * Tells whether an event belongs to the current try in one of two states. Late
 * events of an earlier try are not of this request any more.
 */
static bool
is_current(const attempt_t *attempt, uint32_t number, attempt_state_t first,
    attempt_state_t last)
{
	return number != 0 && number == attempt->number &&
	    attempt->state >= first && attempt->state <= last;
}

/*
 * Records that bytes are about to be handed to a connection. False when the
 * try is not the current one: nothing may be sent then.
 */
bool
attempt_send(attempt_t *attempt, uint32_t number)
{
	if (!is_current(attempt, number, ATTEMPT_NOT_SENT, ATTEMPT_SENT))
		return false;
	attempt->state = ATTEMPT_SENT;
	attempt->may_have_run = true;
	return true;
}

/*
 * Records the head of a response. False when it is of no current try: the
 * connection is closed and the response dropped.
 */
bool
attempt_response(attempt_t *attempt, uint32_t number)
{
	if (!is_current(attempt, number, ATTEMPT_SENT, ATTEMPT_SENT))
		return false;
	attempt->state = ATTEMPT_RESPONDING;
	attempt->responding = true;
	return true;
}

/*
 * Records that the response is complete.
 */
bool
attempt_done(attempt_t *attempt, uint32_t number)
{
	if (!is_current(
		attempt, number, ATTEMPT_RESPONDING, ATTEMPT_RESPONDING))
		return false;
	attempt->state = ATTEMPT_DONE;
	return true;
}

/*
 * Records that the connection broke, timed out or was not made.
 */
bool
attempt_failed(attempt_t *attempt, uint32_t number)
{
	if (!is_current(attempt, number, ATTEMPT_NOT_SENT, ATTEMPT_RESPONDING))
		return false;
	attempt->state = ATTEMPT_FAILED;
	return true;
}

/*
 * Returns what the caller may be told if the request ends now.
 */
attempt_outcome_t
attempt_outcome(const attempt_t *attempt)
{
	if (attempt->state == ATTEMPT_DONE)
		return ATTEMPT_ANSWERED;
	return attempt->may_have_run ? ATTEMPT_UNKNOWN : ATTEMPT_NOT_RUN;
}

/*
 * Returns the outcome as in the response header Godwit-Outcome.
 */
const char *
attempt_outcome_name(attempt_outcome_t outcome)
{
	static const char *const names[] = {"not-run", "answered", "unknown"};

	return (unsigned)outcome <= ATTEMPT_UNKNOWN ? names[outcome] : "?";
}
