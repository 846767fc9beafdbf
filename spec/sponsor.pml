/*
 * A sponsored router T uses slots that an admitted router S lends it, bound to
 * the contact between the two. S answers for T towards the planner.
 */
#include "time.h"

/* The table; bound: 0 no, 1 time-bound, 2 confirmed. */
byte stage = ACTIVE, bound = 0;
/* Planner: time since S was answered, and since S is known to have ended. */
byte silence = 0, ended_age = 0;
bit ended = 0, s_dead = 0;
/* Views as progress: 0 active, 1 bound, 2 leaving or later. */
#define VIEW_NOW (stage >= LEAVING -> 2 : (bound > 0 -> 1 : 0))
byte s_view = 0, s_acked = 0, t_view = 0, t_acked = 0, t_answered = WAIT_DRAIN;
bit t_reported = 0, s_reported = 0;
byte t_contact = 0, request_left = 0, request_view = 0;
bit in_flight = 0;
byte flight_left = 0;

bool sponsored_drained = true, sponsored_not_cut = true;

#define T_WAITED_OUT (t_answered >= WAIT_STOP)
#ifdef MUTANT_SPONSOR_FORGETS_FLIGHT
#define T_IN_FLIGHT (!T_WAITED_OUT && t_reported)
#else
#define T_IN_FLIGHT \
	(t_answered < WAIT_DRAIN && (t_reported || T_WAITED_OUT))
#endif
/* sponsor_ack_version() */
#ifdef MUTANT_SPONSOR_ACKS_EARLY
#define MAY_ACK s_view
#else
#define MAY_ACK \
	((!T_WAITED_OUT && t_acked < s_view) -> t_acked : s_view)
#endif

#ifdef MUTANT_END_AT_ONCE
#define GONE ended
#else
#define GONE (ended && ended_age >= WAIT_DRAIN)
#endif

proctype tick()
{
end:
	do
	:: atomic {
		COUNT_UP(silence, WAIT_DRAIN);
		COUNT_UP(t_answered, WAIT_DRAIN);
		if
		:: ended -> COUNT_UP(ended_age, WAIT_DRAIN)
		:: else
		fi;
		COUNT_DOWN(t_contact);
		COUNT_DOWN(request_left);
		COUNT_DOWN(flight_left);
		if
		:: flight_left == 0 -> in_flight = 0
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
		    && (GONE || (s_acked == 2 && !s_reported)
			|| (bound == 2 && silence >= WAIT_DRAIN))) ->
		stage = DRAINED;
		printf("member_router_gone ended=%d age=%d used=%d\n", ended,
		    ended_age, !(s_acked == 2 && !s_reported)
			&& !(bound == 2 && silence >= WAIT_DRAIN));
		sponsored_not_cut = !in_flight;
		assert(sponsored_not_cut)
	}
	/* A heartbeat of S at the floor is answered. */
	:: atomic { !s_dead && s_view == VIEW_NOW -> silence = 0 }
	:: atomic { s_dead && !ended -> ended = 1 }
	od
}

proctype sponsor()
{
end:
	do
	:: atomic { !s_dead && s_view < VIEW_NOW -> s_view = VIEW_NOW }
	:: atomic {
		(!s_dead && (s_acked < MAY_ACK || s_reported != T_IN_FLIGHT)) ->
		printf("sponsor_ack_version own=%d sponsored=%d answered_age=%d acked=%d\n",
		    s_view, t_acked, t_answered, MAY_ACK);
		printf("sponsor_in_flight reported=%d answered_age=%d count=%d\n",
		    t_reported, t_answered, T_IN_FLIGHT);
		s_acked = MAY_ACK;
		s_reported = T_IN_FLIGHT
	}
	/* T's request is answered; the answer may be lost. */
	:: atomic {
		(!s_dead && request_left > 0
#ifndef MUTANT_SPONSOR_NO_FLOOR
		    && request_view >= s_acked
#endif
		    ) ->
		printf("sponsor_may_answer acked=%d request=%d\n", s_acked,
		    request_view);
		t_answered = 0;
		t_acked = t_view;
		t_reported = in_flight;
		if
		:: t_contact = request_left
		:: true
		fi;
		request_left = 0
	}
	:: atomic { !s_dead -> s_dead = 1 }
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
		flight_left = HARD + 1;
		sponsored_drained = (stage < DRAINED);
		assert(sponsored_drained)
	}
	:: atomic { in_flight -> in_flight = 0; flight_left = 0 }
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
