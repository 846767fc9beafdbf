#include "member/attempt.h"

/*
 * Initializes the record of a request. max_tries limits the number of tries,
 * the first one included.
 */
void
attempt_init(attempt_t *attempt, bool idempotent, uint32_t max_tries)
{
	*attempt = (attempt_t){0};
	attempt->idempotent = idempotent;
	attempt->max_tries = max_tries;
}

/*
 * Tells whether a try may be started: the first one, or one after a failed try.
 * After bytes may have reached an endpoint only an idempotent request may be
 * tried again, and none once a response has begun.
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
 * Tells whether an event belongs to the current try and the try is in a state
 * from first to last. Late events of earlier tries are ignored.
 */
static bool
is_current(const attempt_t *attempt, uint32_t number, attempt_state_t first,
    attempt_state_t last)
{
	return number != 0 && number == attempt->number &&
	    attempt->state >= first && attempt->state <= last;
}

/*
 * Records that bytes are about to be handed to a connection. Returns false when
 * the try is not the current one; the caller must then send nothing.
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
 * Records the head of a response. Returns false when it does not belong to the
 * current try; the caller then closes the connection and drops the response.
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
 * Records that the connection broke, timed out or could not be established.
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
 * Returns the outcome to report to the caller if the request ends now.
 */
attempt_outcome_t
attempt_outcome(const attempt_t *attempt)
{
	if (attempt->state == ATTEMPT_DONE)
		return ATTEMPT_ANSWERED;
	return attempt->may_have_run ? ATTEMPT_UNKNOWN : ATTEMPT_NOT_RUN;
}

/*
 * Returns the outcome's text for the response header Godwit-Outcome.
 */
const char *
attempt_outcome_name(attempt_outcome_t outcome)
{
	static const char *const names[] = {"not-run", "answered", "unknown"};

	return (unsigned)outcome <= ATTEMPT_UNKNOWN ? names[outcome] : "?";
}
