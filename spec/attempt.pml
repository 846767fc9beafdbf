/*
 * The tries of one request. Bytes that were handed to a connection may arrive
 * late, even after the connection was closed. A response may be late or lost.
 */
#define TRIES 3

/* The states and fields of attempt_t in lib/member/attempt.h. */
#define NOT_SENT   0
#define SENT	   1
#define RESPONDING 2
#define DONE	   3
#define FAILED	   4
byte state = NOT_SENT, number = 0;
bit may_have_run = 0, responding = 0, idempotent = 0;
/* Per try: bytes on their way, run, response on its way, connection open. */
bit bytes[TRIES + 1], ran[TRIES + 1], response[TRIES + 1], open[TRIES + 1];
byte runs = 0, answered_by = 0;
/* The outcome that the caller is told; 0: none yet. */
#define OUTCOME_NOT_RUN  1
#define OUTCOME_ANSWERED 2
#define OUTCOME_UNKNOWN  3
byte outcome = 0;

bool at_most_once = true, not_run_is_true = true, own_response = true;

#ifdef MUTANT_RETRY_AFTER_SENT
#define MAY_RETRY true
#else
#define MAY_RETRY (idempotent || !may_have_run)
#endif
#ifdef MUTANT_LAST_TRY_ONLY
#define MAY_HAVE_RUN (number > 0 && bytes_sent)
#else
#define MAY_HAVE_RUN may_have_run
#endif
bit bytes_sent = 0; /* in the current try */

inline check()
{
	at_most_once = (idempotent || runs <= 1);
	assert(at_most_once);
	not_run_is_true = !(outcome == OUTCOME_NOT_RUN && runs > 0);
	assert(not_run_is_true)
}

proctype router()
{
	byte n = 0;

	atomic {
		if
		:: idempotent = 0
		:: idempotent = 1
		fi;
		printf("attempt_init idempotent=%d tries=%d\n", idempotent, TRIES)
	}
end:
	do
	:: atomic {
		(outcome == 0 && number < TRIES
		    && (number == 0 || state == FAILED)
		    && !responding && MAY_RETRY) ->
		number++;
		state = NOT_SENT;
		bytes_sent = 0;
		open[number] = 1;
		printf("attempt_start number=%d\n", number)
	}
	:: atomic {
		(outcome == 0 && state == NOT_SENT && number > 0
		    && !bytes_sent) ->
		bytes[number] = 1;
		bytes_sent = 1;
#ifndef MUTANT_RECORD_AFTER_SEND
		state = SENT;
		may_have_run = 1;
#endif
		printf("attempt_send number=%d\n", number)
	}
#ifdef MUTANT_RECORD_AFTER_SEND
	:: atomic {
		outcome == 0 && state == NOT_SENT && bytes_sent ->
		state = SENT;
		may_have_run = 1
	}
#endif
	/* A response arrives, perhaps that of an earlier, failed try. */
	:: atomic {
		(outcome == 0 && (response[1] || response[2] || response[3])) ->
		if
		:: response[1] -> n = 1
		:: response[2] -> n = 2
		:: response[3] -> n = 3
		fi;
		response[n] = 0;
		if
#ifdef MUTANT_LATE_RESPONSE_ACCEPTED
		:: state == SENT ->
#else
		:: state == SENT && n == number ->
#endif
			printf("attempt_response number=%d\n", n);
			state = RESPONDING;
			responding = 1;
			own_response = (n == number && open[n]);
			assert(own_response)
		:: else
		fi;
		n = 0
	}
	:: atomic {
		outcome == 0 && state == RESPONDING ->
		state = DONE;
		printf("attempt_done number=%d\n", number)
	}
	/* The connection breaks, times out or cannot be made. */
	:: atomic {
		outcome == 0 && number > 0 && state <= RESPONDING ->
		state = FAILED;
		open[number] = 0;
		printf("attempt_failed number=%d\n", number)
	}
	:: atomic {
		(outcome == 0
		    && (state == DONE || state == FAILED || number == 0)) ->
		if
		:: state == DONE -> outcome = OUTCOME_ANSWERED
		:: state != DONE && MAY_HAVE_RUN -> outcome = OUTCOME_UNKNOWN
		:: else -> outcome = OUTCOME_NOT_RUN
		fi;
		printf("attempt_outcome told=%d\n", outcome);
		check()
	}
	od
}

proctype endpoint(byte i)
{
end:
	do
	:: atomic { bytes[i] && !ran[i] -> ran[i] = 1; runs++; check() }
	:: atomic { bytes[i] -> bytes[i] = 0 }
	:: atomic { ran[i] && bytes[i] -> bytes[i] = 0; response[i] = 1 }
	od
}

init {
	atomic {
		run router();
		run endpoint(1);
		run endpoint(2);
		run endpoint(3)
	}
}
