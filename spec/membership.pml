/*
 * The instance table and the steps of a move, with one instance and one router
 * that may be cut off, slow or restarted.
 *
 * Without ELECTION: one planner that keeps its lease; the instance is made
 * time-bound, and the router may restart once.
 * With ELECTION: planner 0 may be paused, and lose its lease to planner 1; the
 * instance is time-bound from the start.
 * With ELECTION and LATE, for mutants: planner 0 writes once at most, and its
 * lease is nearly over at the start; a part of the behaviours of ELECTION.
 * With LIVE: as without ELECTION, with a bounded number of cuts, for move_ends.
 *
 * A message that is lost or late is one whose receiving transition is not
 * taken, or taken late; a pause is any delay between a decision and its effect.
 */
#include "time.h"

#define RENEWALS 1
#define VERSIONS 9
#define NOBODY	 2

/* The store: the lease, and every version of the table that was written. */
byte holder = 0, lease_left = LEASE, renewals = 0, table = 1;
byte h_epoch[VERSIONS], h_stage[VERSIONS], h_bound[VERSIONS];
bit h_admits2[VERSIONS];

/*
 * The planners: epoch (0 not elected), own lease, the table version and the
 * router's state that each knows, and the time since the router was answered.
 */
byte epoch[2], known[2], acked[2], silence[2];
bit reported_in_flight[2], hello2[2];
/* The lease of planner 0; planner 1 keeps its own. */
byte lease = LEASE;
/* A renewal under way: sent, held by the store; and what it is worth. */
byte renewal = 0, renewal_left = 0;
/* A write under way to the store. */
bit writing[2];
byte w_base[2], w_stage[2], w_bound[2];
bit w_admits2[2];

/* The router: boot, view in force (0 none), contact, request in flight. */
byte boot = 1, view = 1;
byte contact_left = 0, contact_epoch = 0;
byte hb_left = 0, hb_view = 0;
byte reply_left = 0, reply_epoch = 0;
byte in_flight = 0; /* 1: under the hard deadline, 2: begun before the bound */
byte flight_left = 0;

/* The claims; a transition that breaks one sets it false. */
bool one_pool = true, drained_no_work = true, nothing_cut = true;

#define STAGE(p) h_stage[known[p]]
#define BOUND(p) h_bound[known[p]]
#define OWN(p)	 (epoch[p] != 0 && h_epoch[known[p]] == epoch[p])

/* member_lease_valid() */
#if defined(MUTANT_ANSWER_PAST_LEASE) || !defined(ELECTION)
#define LEASE_VALID(p) (epoch[p] != 0)
#else
#define LEASE_VALID(p) (epoch[p] != 0 && (p == 1 || lease > 0))
#endif
/* Worth of a renewal to planner 0, on the slowest clock. */
#define LEASE_WORTH LEASE

#if defined(MUTANT_HARD_LEFT_OUT)
#define WAITED_TICKS WAIT_STOP
#else
#define WAITED_TICKS WAIT_DRAIN
#endif
#ifdef MUTANT_BOUND_UNCONFIRMED
#define BOUND_NEEDED 1
#else
#define BOUND_NEEDED 2
#endif
#ifdef MUTANT_SILENCE_REFUSED
#define WAITED(p) false
#else
#define WAITED(p) (BOUND(p) >= BOUND_NEEDED && silence[p] >= WAITED_TICKS)
#endif
#ifdef MUTANT_IN_FLIGHT_IGNORED
#define ACKED(p) (acked[p] != 0 && h_stage[acked[p]] >= LEAVING)
#else
#define ACKED(p) \
	(acked[p] != 0 && h_stage[acked[p]] >= LEAVING \
	    && !reported_in_flight[p])
#endif
/* member_router_drained() of every admitted boot; a Hello ends boot 1. */
#ifdef MUTANT_ACK_SKIPPED
#define EVERY_ROUTER_DRAINED(p) true
#else
#define EVERY_ROUTER_DRAINED(p) \
	((hello2[p] || ACKED(p) || WAITED(p)) \
	    && (!h_admits2[known[p]] || (hello2[p] && (ACKED(p) || WAITED(p)))))
#endif
#ifdef MUTANT_BOUND_KEEPS_OLD
#define NO_OLD_REQUEST(p) true
#else
#define NO_OLD_REQUEST(p) (!reported_in_flight[p])
#endif
#define BOUND_ACKED(p) \
	(acked[p] != 0 && h_bound[acked[p]] >= 1 && NO_OLD_REQUEST(p))
#define BOUND_EVERYWHERE(p) \
	((hello2[p] || BOUND_ACKED(p)) \
	    && (!h_admits2[known[p]] || (hello2[p] && BOUND_ACKED(p))))

#define WRITE(p, stage, bound, admits2) \
	writing[p] = 1;                 \
	w_base[p] = known[p];           \
	w_stage[p] = stage;             \
	w_bound[p] = bound;             \
	w_admits2[p] = admits2
#ifdef LATE
#define MAY_WRITE(p) \
	(!writing[p] && OWN(p) && LEASE_VALID(p) && (p == 1 || table == 1))
#else
#define MAY_WRITE(p) (!writing[p] && OWN(p) && LEASE_VALID(p))
#endif
#ifdef LIVE
#define MAY_LEAVE(p) (BOUND(p) == 2)
#else
#define MAY_LEAVE(p) true
#endif

/* The passing of time. */
proctype tick()
{
end:
	do
	:: atomic {
		COUNT_UP(silence[0], WAIT_DRAIN);
#ifdef ELECTION
		COUNT_UP(silence[1], WAIT_DRAIN);
		COUNT_DOWN(lease_left);
		COUNT_DOWN(renewal_left);
		COUNT_DOWN(lease);
#ifndef MUTANT_ANSWER_PAST_LEASE
		/* Without a lease the planner's knowledge is not used. */
		if
		:: lease == 0 ->
			silence[0] = 0;
			acked[0] = 0;
			reported_in_flight[0] = 0
		:: else
		fi;
#endif
#endif
		COUNT_DOWN(contact_left);
		COUNT_DOWN(hb_left);
		COUNT_DOWN(reply_left);
		if
		:: hb_left == 0 -> hb_view = 0
		:: else
		fi;
		if
		:: reply_left == 0 -> reply_epoch = 0
		:: else
		fi;
		COUNT_DOWN(flight_left);
		/* The router enforces the hard deadline. */
		if
		:: in_flight == 1 && flight_left == 0 -> in_flight = 0
		:: else
		fi;
		printf("tick\n")
	}
	od
}

#ifdef ELECTION
proctype election()
{
end:
	do
	:: atomic { lease_left == 0 && holder == 0 -> holder = NOBODY }
	:: atomic {
		holder == NOBODY ->
		holder = 1;
		epoch[1] = 2;
		known[1] = table;
		reported_in_flight[1] = 1;
#ifdef MUTANT_SILENCE_AT_ONCE
		silence[1] = WAIT_DRAIN;
#else
		silence[1] = 0;
#endif
		printf("elected planner=1 epoch=2\n")
	}
	:: atomic {
		(renewal == 0 && lease > 0 && lease < LEASE
		    && renewals < RENEWALS) ->
		renewals++;
		renewal = 1;
		renewal_left = LEASE_WORTH
	}
	:: atomic {
		renewal == 1 ->
		if
		:: holder == 0 -> lease_left = LEASE; renewal = 2
		:: else -> renewal = 0; renewal_left = 0
		fi
	}
	:: atomic {
		renewal == 2 ->
#ifdef MUTANT_LEASE_FROM_RESPONSE
		printf("member_lease_valid age=%d\n",
		    LEASE_WORTH - renewal_left);
		lease = LEASE_WORTH;
#else
		if
		:: renewal_left > lease -> lease = renewal_left
		:: else
		fi;
#endif
		renewal = 0;
		renewal_left = 0
	}
	od
}
#endif

/* Writes of a planner, and their arrival at the store. */
proctype planner(byte p)
{
end:
	do
#ifdef ELECTION
	:: atomic {
		!writing[p] && epoch[p] != 0 && !OWN(p) && p == 1 ->
		WRITE(p, STAGE(p), BOUND(p), h_admits2[known[p]]);
		printf("member_take_table epoch=%d\n", epoch[p])
	}
#else
	:: atomic {
		MAY_WRITE(p) && STAGE(p) == ACTIVE && BOUND(p) == 0 ->
		WRITE(p, ACTIVE, 1, h_admits2[known[p]]);
		printf("member_bind_time\n")
	}
	:: atomic {
		(MAY_WRITE(p) && STAGE(p) == ACTIVE && BOUND(p) == 1
		    && BOUND_EVERYWHERE(p)) ->
		WRITE(p, ACTIVE, 2, h_admits2[known[p]]);
		printf("member_bound_everywhere ended=%d acked=%d in_flight=%d\n",
		    hello2[p] && !h_admits2[known[p]],
		    acked[p] != 0 && h_bound[acked[p]] >= 1,
		    reported_in_flight[p])
	}
	:: atomic {
		MAY_WRITE(p) && hello2[p] && !h_admits2[known[p]] ->
		WRITE(p, STAGE(p), BOUND(p), 1);
		printf("member_admit_router boot=2\n")
	}
#endif
	:: atomic {
		MAY_WRITE(p) && STAGE(p) == ACTIVE && MAY_LEAVE(p) ->
		WRITE(p, LEAVING, BOUND(p), h_admits2[known[p]]);
		printf("member_begin_leave\n")
	}
	:: atomic {
		MAY_WRITE(p) && STAGE(p) == LEAVING && EVERY_ROUTER_DRAINED(p) ->
		WRITE(p, DRAINED, BOUND(p), h_admits2[known[p]]);
		printf("member_router_drained ended=%d acked=%d in_flight=%d bound=%d silence=%d\n",
		    hello2[p] && !h_admits2[known[p]],
		    acked[p] != 0 && h_stage[acked[p]] >= LEAVING,
		    reported_in_flight[p], BOUND(p), silence[p])
	}
	:: atomic {
		MAY_WRITE(p) && STAGE(p) == DRAINED ->
		WRITE(p, JOINED, BOUND(p), h_admits2[known[p]]);
		printf("member_step\n")
	}
	/* The write arrives: a compare-and-swap on the table's version. */
	:: atomic {
		writing[p] && table < VERSIONS - 1 ->
		if
#ifdef MUTANT_UNFENCED_WRITE
		:: true ->
#else
		:: w_base[p] == table ->
#endif
			table++;
			h_epoch[table] = epoch[p];
			h_stage[table] = w_stage[p];
			h_bound[table] = w_bound[p];
			h_admits2[table] = w_admits2[p];
			nothing_cut = (in_flight == 0 || w_stage[p] < DRAINED);
			assert(nothing_cut);
#ifndef ELECTION
			known[p] = table
#endif
		:: else
		fi;
		writing[p] = 0;
		w_base[p] = 0;
		w_stage[p] = 0;
		w_bound[p] = 0;
		w_admits2[p] = 0
	}
#ifdef ELECTION
	/*
	 * The answer of the write, or a read after it was lost. A planner
	 * without a lease makes no use of what it reads.
	 */
	:: atomic { LEASE_VALID(p) && known[p] != table -> known[p] = table }
#endif
	od
}

#ifdef LIVE
bit cut = 0, dead = 0;
byte cuts = 0;
#define REACHED (!cut && !dead)
#else
#define REACHED true
#endif

/* member_answer_floor() */
#ifdef MUTANT_NO_FLOOR
#define ABOVE_FLOOR(p, v) true
#else
#define ABOVE_FLOOR(p, v) (h_stage[v] == STAGE(p))
#endif
/* What the router reports as in flight. */
#define REPORT (h_stage[view] >= LEAVING -> in_flight != 0 : in_flight == 2)

inline contact_arrives()
{
	if
	:: reply_epoch >= contact_epoch ->
		contact_epoch = reply_epoch;
#ifdef MUTANT_CONTACT_FROM_ARRIVAL
		contact_left = SLOW_CONTACT;
		printf("member_contact_fresh age=%d\n",
		    SLOW_CONTACT - reply_left);
#else
		if
		:: reply_left > contact_left -> contact_left = reply_left
		:: else
		fi;
#endif
	:: else
	fi;
	reply_left = 0;
	reply_epoch = 0
}

/* Versions that a report does not tell apart. */
#define SAME(a, b) (a != 0 && h_stage[a] == h_stage[b] && h_bound[a] == h_bound[b])

/* The planner answers a heartbeat. */
proctype exchange(byte p)
{
end:
	do
	:: atomic {
		(REACHED && hb_view != 0 && reply_left == 0 && LEASE_VALID(p)
		    && OWN(p) && ABOVE_FLOOR(p, hb_view)
		    && hello2[p] == (boot == 2)) ->
		reply_left = hb_left;
		reply_epoch = epoch[p];
		silence[p] = 0;
		printf("member_may_answer planner=%d lease=%d own=%d above_floor=%d\n",
		    p, (p == 1 -> LEASE : lease), OWN(p),
		    h_stage[hb_view] == STAGE(p));
#if defined(ELECTION) || defined(LIVE)
		/*
		 * At once: contact counts from the heartbeat, so a later
		 * arrival allows less.
		 */
		contact_arrives()
#endif
	}
	od
}

/* The router's Ack or heartbeat with its report, and its Hello. */
proctype report(byte p)
{
end:
	do
	:: atomic {
		(REACHED && epoch[p] != 0 && LEASE_VALID(p) && view != 0
		    && hello2[p] == (boot == 2)
		    && (!SAME(acked[p], view) || reported_in_flight[p] != REPORT)) ->
		acked[p] = view;
		reported_in_flight[p] = REPORT;
		printf("member_contact_acked version=%d\n", view)
	}
	:: atomic {
		REACHED && boot == 2 && !hello2[p] ->
		hello2[p] = 1;
		acked[p] = 0;
		reported_in_flight[p] = 1;
		printf("member_contact_ended boot=1\n")
	}
	od
}

/* member_router_admitted() */
#ifdef MUTANT_UNADMITTED_SENDS
#define ADMITTED true
#else
#define ADMITTED (boot == 1 || h_admits2[view])
#endif
#ifdef MUTANT_BOUND_WITHOUT_CONTACT
#define MAY_SEND (view != 0 && ADMITTED)
#else
#define MAY_SEND \
	(view != 0 && ADMITTED && (h_bound[view] == 0 || contact_left > 0))
#endif

/* The views that the router puts in force. */
proctype router()
{
	byte v = 0;

end:
	do
	/* Any stored version may arrive, however late. */
	:: atomic {
		REACHED && view < table ->
#ifdef LIVE
		v = table;
#else
		select(v : 1 .. table);
#endif
		if
		:: v > view ->
			printf("member_adopt_view held=%d offered=%d\n", view, v);
			view = v
		:: else
		fi;
		v = 0
	}
#ifdef MUTANT_OLD_VIEW
	:: atomic {
		view > 1 ->
		printf("member_adopt_view held=%d offered=%d\n", view, view - 1);
		view = view - 1
	}
#endif
	od
}

/* The router's heartbeats and their answers. */
proctype heartbeats()
{
end:
	do
	:: atomic {
		REACHED && view != 0 && hb_left < SLOW_CONTACT ->
		hb_left = SLOW_CONTACT;
		hb_view = view
	}
#if !defined(ELECTION) && !defined(LIVE)
	:: atomic { reply_left > 0 && REACHED -> contact_arrives() }
#endif
	od
}

/* The counterexample of this mutant needs pool B's requests only. */
#ifdef MUTANT_UNFENCED_WRITE
#define POOL_A_REQUESTS false
#else
#define POOL_A_REQUESTS true
#endif

/* The router's requests on the instance. */
proctype requests()
{
end:
	do
	:: atomic {
		(in_flight == 0 && MAY_SEND && h_stage[view] == ACTIVE
		    && POOL_A_REQUESTS) ->
		printf("member_may_send admitted=%d bound=%d contact=%d\n",
		    boot == 1 || h_admits2[view], h_bound[view] != 0,
		    contact_left);
		one_pool = (h_stage[table] != JOINED);
		assert(one_pool);
		drained_no_work = (h_stage[table] < DRAINED);
		assert(drained_no_work);
		if
		:: h_bound[view] == 0 -> in_flight = 2
		:: else -> in_flight = 1; flight_left = HARD + 1
		fi
	}
	/* A request of pool B after the move. */
	:: atomic {
		(MAY_SEND && h_stage[view] == JOINED
		    && h_stage[table] != JOINED) ->
		one_pool = false;
		assert(one_pool)
	}
	od
}

proctype finish()
{
end:
	do
	:: atomic { in_flight != 0 -> in_flight = 0; flight_left = 0 }
	od
}

/* Faults of the router. */
proctype faults()
{
end:
	do
	:: atomic {
		boot == 1 ->
		boot = 2;
		view = 0;
		contact_left = 0;
		contact_epoch = 0;
		hb_left = 0;
		hb_view = 0;
		reply_left = 0;
		reply_epoch = 0;
		in_flight = 0;
		flight_left = 0;
		printf("restart boot=2\n")
	}
#ifdef LIVE
	:: atomic { cuts < 1 && !cut -> cut = 1; cuts++ }
	:: atomic { cut -> cut = 0 }
	/* It hangs for good after the bound was confirmed. */
	:: atomic { !dead && h_bound[table] == 2 -> dead = 1 }
#endif
	od
}

init {
	atomic {
		h_epoch[1] = 1;
		epoch[0] = 1;
		known[0] = 1;
		acked[0] = 1;
		silence[0] = WAIT_DRAIN;
		run tick();
		run planner(0);
		run exchange(0);
		run report(0);
#ifdef ELECTION
		h_bound[1] = 2;
#ifdef LATE
		lease_left = 2;
		lease = 2;
#endif
		run election();
		run planner(1);
		run exchange(1);
		run report(1);
#else
		run faults();
#endif
		run router();
		run heartbeats();
		run requests();
		run finish()
	}
}

#ifdef LIVE
ltl move_ends { <> (h_stage[table] == JOINED) }
#endif
