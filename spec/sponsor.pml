/*
 * A sponsored router T uses slots that an admitted router S, its sponsor, lends
 * it, for as long as the contact between the two lasts. S includes T in its own
 * acknowledgements and reports to the planner.
 */
#include "time.h"

/* The table; bound: 0 not time-bound, 1 time-bound, 2 confirmed. */
byte stage = ACTIVE, bound = 0;
/*
 * What the planner knows: the time since it responded to a heartbeat of S, and
 * the time since it learnt that S has ended.
 */
byte silence = 0, ended_age = 0;
bit ended = 0, s_crashed = 0;
/* Views: 0 active, 1 active and time-bound, 2 leaving or later. */
#define CURRENT_VIEW (stage >= LEAVING -> 2 : (bound > 0 -> 1 : 0))
byte s_view = 0, s_acked = 0, t_view = 0, t_acked = 0;
/* Time since S answered a request of T. */
byte t_answered_age = WAIT_DRAIN;
bit t_reported = 0, s_reported = 0;
byte t_contact = 0, request_left = 0, request_view = 0;
bit in_flight = 0;
byte deadline_left = 0;

bool sponsored_no_start_when_drained = true, sponsored_idle_when_drained = true;

#define T_CONTACT_EXPIRED (t_answered_age >= WAIT_STOP)
#ifdef MUTANT_SPONSOR_IGNORES_IN_FLIGHT
#define T_IN_FLIGHT (!T_CONTACT_EXPIRED && t_reported)
#else
#define T_IN_FLIGHT \
	(t_answered_age < WAIT_DRAIN && (t_reported || T_CONTACT_EXPIRED))
#endif
/* sponsor_ack_version() */
#ifdef MUTANT_SPONSOR_ACKS_EARLY
#define ACK_VIEW s_view
#else
#define ACK_VIEW \
	((!T_CONTACT_EXPIRED && t_acked < s_view) -> t_acked : s_view)
#endif

#ifdef MUTANT_NO_WAIT_AFTER_END
#define S_GONE ended
#else
#define S_GONE (ended && ended_age >= WAIT_DRAIN)
#endif

proctype tick()
{
end:
	do
	:: atomic {
		COUNT_UP(silence, WAIT_DRAIN);
		COUNT_UP(t_answered_age, WAIT_DRAIN);
		if
		:: ended -> COUNT_UP(ended_age, WAIT_DRAIN)
		:: else
		fi;
		COUNT_DOWN(t_contact);
		COUNT_DOWN(request_left);
		COUNT_DOWN(deadline_left);
		if
		:: deadline_left == 0 -> in_flight = 0
		:: else
		fi
	}
	od
}

proctype planner()
{
end:
	do
	:: atomic { bound == 0 && stage == ACTIVE && s_acked == 0 -> bound = 1 }
	:: atomic {
		bound == 1 && stage == ACTIVE && s_acked == 1 && !s_reported ->
		bound = 2
	}
	:: atomic { stage == ACTIVE -> stage = LEAVING }
	:: atomic {
		(stage == LEAVING
		    && (S_GONE || (s_acked == 2 && !s_reported)
			|| (bound == 2 && silence >= WAIT_DRAIN))) ->
		stage = DRAINED;
		printf("member_router_gone ended=%d age=%d used=%d\n", ended,
		    ended_age, !(s_acked == 2 && !s_reported)
			&& !(bound == 2 && silence >= WAIT_DRAIN));
		sponsored_idle_when_drained = !in_flight;
		assert(sponsored_idle_when_drained)
	}
	/* The planner responds to a heartbeat of S that is at the floor. */
	:: atomic { !s_crashed && s_view == CURRENT_VIEW -> silence = 0 }
	:: atomic { s_crashed && !ended -> ended = 1 }
	od
}

proctype sponsor()
{
end:
	do
	:: atomic {
		!s_crashed && s_view < CURRENT_VIEW ->
		s_view = CURRENT_VIEW
	}
	:: atomic {
		(!s_crashed
		    && (s_acked < ACK_VIEW || s_reported != T_IN_FLIGHT)) ->
		printf("sponsor_ack_version own=%d sponsored=%d answered_age=%d acked=%d\n",
		    s_view, t_acked, t_answered_age, ACK_VIEW);
		printf("sponsor_in_flight reported=%d answered_age=%d count=%d\n",
		    t_reported, t_answered_age, T_IN_FLIGHT);
		s_acked = ACK_VIEW;
		s_reported = T_IN_FLIGHT
	}
	/* S responds to T's request; the response may be lost. */
	:: atomic {
		(!s_crashed && request_left > 0
#ifndef MUTANT_SPONSOR_NO_FLOOR
		    && request_view >= s_acked
#endif
		    ) ->
		printf("sponsor_may_answer acked=%d request=%d\n", s_acked,
		    request_view);
		t_answered_age = 0;
		t_acked = t_view;
		t_reported = in_flight;
		if
		:: t_contact = request_left
		:: true
		fi;
		request_left = 0
	}
	:: atomic { !s_crashed -> s_crashed = 1 }
	od
}

proctype sponsored()
{
end:
	do
	:: atomic { t_view < s_view -> t_view = s_view }
	:: atomic {
		request_left == 0 ->
		request_left = SLOW_CONTACT;
		request_view = t_view
	}
	:: atomic {
		(!in_flight && t_contact > 0
#ifdef MUTANT_LEND_TIME_BOUND
		    && t_view < 2
#else
		    && t_view == 0
#endif
		    ) ->
		printf("sponsored_may_send bound=%d contact=%d\n", t_view == 1,
		    t_contact);
		in_flight = 1;
		deadline_left = HARD_DEADLINE + 1;
		sponsored_no_start_when_drained = (stage < DRAINED);
		assert(sponsored_no_start_when_drained)
	}
	:: atomic { in_flight -> in_flight = 0; deadline_left = 0 }
	od
}

init {
	atomic {
		run tick();
		run planner();
		run sponsor();
		run sponsored()
	}
}
