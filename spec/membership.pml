/*
 * The instance table and the steps of a move, with one instance and one router
 * that may be disconnected, slow or restarted.
 *
 * Without ELECTION: one planner, which keeps its lease. The planner makes the
 * instance time-bound, and the router may restart once.
 * With ELECTION: planner 0 may be paused and lose its lease to planner 1. The
 * instance is time-bound from the start.
 * With ELECTION and LEASE_ENDING: planner 0 writes at most once, and its lease
 * is nearly over at the start. Used for mutants; the behaviours are a subset of
 * those with ELECTION alone.
 * With LIVENESS: as without ELECTION, but the router is disconnected a bounded
 * number of times, so that move_ends can hold.
 *
 * Lost and late messages have no transitions of their own: the transition that
 * receives the message is not taken, or is taken late. A pause is any delay
 * between a decision and its effect.
 */
#include "time.h"

#define RENEWALS 1
#define VERSIONS 9
#define NO_HOLDER 2

/* The store: the lease, and every written version of the table. */
byte holder = 0, lease_left = LEASE, renewals = 0, table_version = 1;
byte table_epoch[VERSIONS], table_stage[VERSIONS], table_bound[VERSIONS];
bit table_admits_boot2[VERSIONS];

/*
 * What each planner knows: its epoch (0: not elected), the table's version, the
 * version that the router acknowledged, the time since the router's heartbeat
 * was answered, whether the router reported a request in flight, and whether
 * boot 2 of the router has sent its Hello.
 */
byte epoch[2], known[2], acked[2], silence[2];
bit reported_in_flight[2], hello_boot2[2];
/* Rest of planner 0's lease, by its own clock. Planner 1 keeps its lease. */
byte own_lease_left = LEASE;
/*
 * Planner 0's renewal: 0 none, 1 sent, 2 stored with the response pending. Once
 * the response arrives, the lease lasts for renewal_left.
 */
byte renewal = 0, renewal_left = 0;
/* A write that has not reached the store yet. */
bit writing[2];
byte write_base[2], write_stage[2], write_bound[2];
bit write_admits_boot2[2];

/* The router: boot, view in force (0: none), contact, request in flight. */
byte boot = 1, view = 1;
byte contact_left = 0, contact_epoch = 0;
byte heartbeat_left = 0, heartbeat_view = 0;
byte response_left = 0, response_epoch = 0;
byte in_flight = 0; /* 1: has a hard deadline, 2: began before the bound */
byte deadline_left = 0;

/* The claims. A transition that violates a claim sets it to false. */
bool one_pool = true, no_start_when_drained = true, idle_when_drained = true;

#define STAGE(p)	 table_stage[known[p]]
#define BOUND(p)	 table_bound[known[p]]
#define TABLE_CLAIMED(p) (epoch[p] != 0 && table_epoch[known[p]] == epoch[p])

/* member_lease_valid() */
#if defined(MUTANT_ANSWER_PAST_LEASE) || !defined(ELECTION)
#define LEASE_VALID(p) (epoch[p] != 0)
#else
#define LEASE_VALID(p) (epoch[p] != 0 && (p == 1 || own_lease_left > 0))
#endif
/* Planner 0's lease after a renewal, on the slowest clock. */
#define RENEWED_LEASE LEASE

#if defined(MUTANT_HARD_DEADLINE_IGNORED)
#define DRAIN_WAIT WAIT_STOP
#else
#define DRAIN_WAIT WAIT_DRAIN
#endif
#ifdef MUTANT_BOUND_UNCONFIRMED
#define BOUND_NEEDED 1
#else
#define BOUND_NEEDED 2
#endif
#ifdef MUTANT_SILENCE_IGNORED
#define DRAIN_WAIT_OVER(p) false
#else
#define DRAIN_WAIT_OVER(p) \
	(BOUND(p) >= BOUND_NEEDED && silence[p] >= DRAIN_WAIT)
#endif
#ifdef MUTANT_IN_FLIGHT_IGNORED
#define LEAVE_ACKED(p) (acked[p] != 0 && table_stage[acked[p]] >= LEAVING)
#else
#define LEAVE_ACKED(p) \
	(acked[p] != 0 && table_stage[acked[p]] >= LEAVING \
	    && !reported_in_flight[p])
#endif
/*
 * member_router_drained() of every admitted boot. The Hello of boot 2 means
 * that boot 1 has ended.
 */
#ifdef MUTANT_ACK_SKIPPED
#define EVERY_ROUTER_DRAINED(p) true
#else
#define EVERY_ROUTER_DRAINED(p) \
	((hello_boot2[p] || LEAVE_ACKED(p) || DRAIN_WAIT_OVER(p)) \
	    && (!table_admits_boot2[known[p]] \
		|| (hello_boot2[p] \
		    && (LEAVE_ACKED(p) || DRAIN_WAIT_OVER(p)))))
#endif
#ifdef MUTANT_BOUND_IGNORES_IN_FLIGHT
#define NO_REQUEST_BEFORE_BOUND(p) true
#else
#define NO_REQUEST_BEFORE_BOUND(p) (!reported_in_flight[p])
#endif
#define BOUND_ACKED(p) \
	(acked[p] != 0 && table_bound[acked[p]] >= 1 \
	    && NO_REQUEST_BEFORE_BOUND(p))
#define BOUND_EVERYWHERE(p) \
	((hello_boot2[p] || BOUND_ACKED(p)) \
	    && (!table_admits_boot2[known[p]] \
		|| (hello_boot2[p] && BOUND_ACKED(p))))

#define WRITE(p, stage, bound, admits_boot2) \
	writing[p] = 1;                      \
	write_base[p] = known[p];            \
	write_stage[p] = stage;              \
	write_bound[p] = bound;              \
	write_admits_boot2[p] = admits_boot2
#ifdef LEASE_ENDING
#define MAY_WRITE(p) \
	(!writing[p] && TABLE_CLAIMED(p) && LEASE_VALID(p) \
	    && (p == 1 || table_version == 1))
#else
#define MAY_WRITE(p) (!writing[p] && TABLE_CLAIMED(p) && LEASE_VALID(p))
#endif
#ifdef LIVENESS
#define MAY_LEAVE(p) (BOUND(p) == 2)
#else
#define MAY_LEAVE(p) true
#endif

/* Passing of time. */
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
		COUNT_DOWN(own_lease_left);
#ifndef MUTANT_ANSWER_PAST_LEASE
		/* A planner without a lease does not use what it knows. */
		if
		:: own_lease_left == 0 ->
			silence[0] = 0;
			acked[0] = 0;
			reported_in_flight[0] = 0
		:: else
		fi;
#endif
#endif
		COUNT_DOWN(contact_left);
		COUNT_DOWN(heartbeat_left);
		COUNT_DOWN(response_left);
		if
		:: heartbeat_left == 0 -> heartbeat_view = 0
		:: else
		fi;
		if
		:: response_left == 0 -> response_epoch = 0
		:: else
		fi;
		COUNT_DOWN(deadline_left);
		/* The router enforces the hard deadline. */
		if
		:: in_flight == 1 && deadline_left == 0 -> in_flight = 0
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
	:: atomic { lease_left == 0 && holder == 0 -> holder = NO_HOLDER }
	:: atomic {
		holder == NO_HOLDER ->
		holder = 1;
		epoch[1] = 2;
		known[1] = table_version;
		reported_in_flight[1] = 1;
#ifdef MUTANT_NO_WAIT_AFTER_ELECTION
		silence[1] = WAIT_DRAIN;
#else
		silence[1] = 0;
#endif
		printf("elected planner=1 epoch=2\n")
	}
	:: atomic {
		(renewal == 0 && own_lease_left > 0 && own_lease_left < LEASE
		    && renewals < RENEWALS) ->
		renewals++;
		renewal = 1;
		renewal_left = RENEWED_LEASE
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
		    RENEWED_LEASE - renewal_left);
		own_lease_left = RENEWED_LEASE;
#else
		if
		:: renewal_left > own_lease_left ->
			own_lease_left = renewal_left
		:: else
		fi;
#endif
		renewal = 0;
		renewal_left = 0
	}
	od
}
#endif

/* A planner's writes of the table, and their arrival at the store. */
proctype planner(byte p)
{
end:
	do
#ifdef ELECTION
	:: atomic {
		!writing[p] && epoch[p] != 0 && !TABLE_CLAIMED(p) && p == 1 ->
		WRITE(p, STAGE(p), BOUND(p), table_admits_boot2[known[p]]);
		printf("member_take_table epoch=%d\n", epoch[p])
	}
#else
	:: atomic {
		MAY_WRITE(p) && STAGE(p) == ACTIVE && BOUND(p) == 0 ->
		WRITE(p, ACTIVE, 1, table_admits_boot2[known[p]]);
		printf("member_bind_time\n")
	}
	:: atomic {
		(MAY_WRITE(p) && STAGE(p) == ACTIVE && BOUND(p) == 1
		    && BOUND_EVERYWHERE(p)) ->
		WRITE(p, ACTIVE, 2, table_admits_boot2[known[p]]);
		printf("member_bound_everywhere ended=%d acked=%d in_flight=%d\n",
		    hello_boot2[p] && !table_admits_boot2[known[p]],
		    acked[p] != 0 && table_bound[acked[p]] >= 1,
		    reported_in_flight[p])
	}
	:: atomic {
		(MAY_WRITE(p) && hello_boot2[p]
		    && !table_admits_boot2[known[p]]) ->
		WRITE(p, STAGE(p), BOUND(p), 1);
		printf("member_admit_router boot=2\n")
	}
#endif
	:: atomic {
		MAY_WRITE(p) && STAGE(p) == ACTIVE && MAY_LEAVE(p) ->
		WRITE(p, LEAVING, BOUND(p), table_admits_boot2[known[p]]);
		printf("member_begin_leave\n")
	}
	:: atomic {
		(MAY_WRITE(p) && STAGE(p) == LEAVING
		    && EVERY_ROUTER_DRAINED(p)) ->
		WRITE(p, DRAINED, BOUND(p), table_admits_boot2[known[p]]);
		printf("member_router_drained ended=%d acked=%d in_flight=%d bound=%d silence=%d\n",
		    hello_boot2[p] && !table_admits_boot2[known[p]],
		    acked[p] != 0 && table_stage[acked[p]] >= LEAVING,
		    reported_in_flight[p], BOUND(p), silence[p])
	}
	:: atomic {
		MAY_WRITE(p) && STAGE(p) == DRAINED ->
		WRITE(p, JOINED, BOUND(p), table_admits_boot2[known[p]]);
		printf("member_step\n")
	}
	/* The write arrives: a compare-and-swap of the table's version. */
	:: atomic {
		writing[p] && table_version < VERSIONS - 1 ->
		if
#ifdef MUTANT_UNFENCED_WRITE
		:: true ->
#else
		:: write_base[p] == table_version ->
#endif
			table_version++;
			table_epoch[table_version] = epoch[p];
			table_stage[table_version] = write_stage[p];
			table_bound[table_version] = write_bound[p];
			table_admits_boot2[table_version] =
			    write_admits_boot2[p];
			idle_when_drained =
			    (in_flight == 0 || write_stage[p] < DRAINED);
			assert(idle_when_drained);
#ifndef ELECTION
			known[p] = table_version
#endif
		:: else
		fi;
		writing[p] = 0;
		write_base[p] = 0;
		write_stage[p] = 0;
		write_bound[p] = 0;
		write_admits_boot2[p] = 0
	}
#ifdef ELECTION
	/*
	 * The response to the write arrives, or is lost and the planner reads
	 * the table. A planner without a lease does not use what it reads.
	 */
	:: atomic {
		LEASE_VALID(p) && known[p] != table_version ->
		known[p] = table_version
	}
#endif
	od
}

#ifdef LIVENESS
bit disconnected = 0, hung = 0;
byte disconnects = 0;
#define CONNECTED (!disconnected && !hung)
#else
#define CONNECTED true
#endif

/* member_answer_floor() */
#ifdef MUTANT_NO_FLOOR
#define ABOVE_FLOOR(p, v) true
#else
#define ABOVE_FLOOR(p, v) (table_stage[v] == STAGE(p))
#endif
/* Whether the router reports a request in flight. */
#define ROUTER_IN_FLIGHT \
	(table_stage[view] >= LEAVING -> in_flight != 0 : in_flight == 2)

inline contact_arrives()
{
	if
	:: response_epoch >= contact_epoch ->
		contact_epoch = response_epoch;
#ifdef MUTANT_CONTACT_FROM_ARRIVAL
		contact_left = SLOW_CONTACT;
		printf("member_contact_fresh age=%d\n",
		    SLOW_CONTACT - response_left);
#else
		if
		:: response_left > contact_left -> contact_left = response_left
		:: else
		fi;
#endif
	:: else
	fi;
	response_left = 0;
	response_epoch = 0
}

/* Acknowledging version a or version b tells the planner the same. */
#define SAME_REPORT(a, b) \
	(a != 0 && table_stage[a] == table_stage[b] \
	    && table_bound[a] == table_bound[b])

/* The planner responds to a heartbeat. */
proctype respond(byte p)
{
end:
	do
	:: atomic {
		(CONNECTED && heartbeat_view != 0 && response_left == 0
		    && LEASE_VALID(p) && TABLE_CLAIMED(p)
		    && ABOVE_FLOOR(p, heartbeat_view)
		    && hello_boot2[p] == (boot == 2)) ->
		response_left = heartbeat_left;
		response_epoch = epoch[p];
		silence[p] = 0;
		printf("member_may_answer planner=%d lease=%d own=%d above_floor=%d\n",
		    p, (p == 1 -> LEASE : own_lease_left), TABLE_CLAIMED(p),
		    table_stage[heartbeat_view] == STAGE(p));
#if defined(ELECTION) || defined(LIVENESS)
		/*
		 * The response arrives at once: contact counts from the sending
		 * of the heartbeat, so a later arrival allows less.
		 */
		contact_arrives()
#endif
	}
	od
}

/* The router's Ack, or heartbeat with the same report, and its Hello. */
proctype report(byte p)
{
end:
	do
	:: atomic {
		(CONNECTED && epoch[p] != 0 && LEASE_VALID(p) && view != 0
		    && hello_boot2[p] == (boot == 2)
		    && (!SAME_REPORT(acked[p], view)
			|| reported_in_flight[p] != ROUTER_IN_FLIGHT)) ->
		acked[p] = view;
		reported_in_flight[p] = ROUTER_IN_FLIGHT;
		printf("member_contact_acked version=%d\n", view)
	}
	:: atomic {
		CONNECTED && boot == 2 && !hello_boot2[p] ->
		hello_boot2[p] = 1;
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
#define ADMITTED (boot == 1 || table_admits_boot2[view])
#endif
#ifdef MUTANT_BOUND_WITHOUT_CONTACT
#define MAY_SEND (view != 0 && ADMITTED)
#else
#define MAY_SEND \
	(view != 0 && ADMITTED && (table_bound[view] == 0 || contact_left > 0))
#endif

/* The views that the router adopts. */
proctype router()
{
	byte v = 0;

end:
	do
	/* Any stored version may arrive, however late it is. */
	:: atomic {
		CONNECTED && view < table_version ->
#ifdef LIVENESS
		v = table_version;
#else
		select(v : 1 .. table_version);
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

/* The router's heartbeats, and the arrival of the responses. */
proctype heartbeats()
{
end:
	do
	:: atomic {
		CONNECTED && view != 0 && heartbeat_left < SLOW_CONTACT ->
		heartbeat_left = SLOW_CONTACT;
		heartbeat_view = view
	}
#if !defined(ELECTION) && !defined(LIVENESS)
	:: atomic { response_left > 0 && CONNECTED -> contact_arrives() }
#endif
	od
}

/* The counterexample for this mutant needs only pool B's requests. */
#ifdef MUTANT_UNFENCED_WRITE
#define POOL_A_REQUESTS false
#else
#define POOL_A_REQUESTS true
#endif

/* Requests that the router sends to the instance. */
proctype requests()
{
end:
	do
	:: atomic {
		(in_flight == 0 && MAY_SEND && table_stage[view] == ACTIVE
		    && POOL_A_REQUESTS) ->
		printf("member_may_send admitted=%d bound=%d contact=%d\n",
		    boot == 1 || table_admits_boot2[view],
		    table_bound[view] != 0, contact_left);
		one_pool = (table_stage[table_version] != JOINED);
		assert(one_pool);
		no_start_when_drained = (table_stage[table_version] < DRAINED);
		assert(no_start_when_drained);
		if
		:: table_bound[view] == 0 -> in_flight = 2
		:: else -> in_flight = 1; deadline_left = HARD_DEADLINE + 1
		fi
	}
	/* A request of pool B, which the instance joins by the move. */
	:: atomic {
		(MAY_SEND && table_stage[view] == JOINED
		    && table_stage[table_version] != JOINED) ->
		one_pool = false;
		assert(one_pool)
	}
	od
}

proctype completions()
{
end:
	do
	:: atomic { in_flight != 0 -> in_flight = 0; deadline_left = 0 }
	od
}

/* Faults of the router, and of its connection to the planner. */
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
		heartbeat_left = 0;
		heartbeat_view = 0;
		response_left = 0;
		response_epoch = 0;
		in_flight = 0;
		deadline_left = 0;
		printf("restart boot=2\n")
	}
#ifdef LIVENESS
	:: atomic {
		disconnects < 1 && !disconnected ->
		disconnected = 1;
		disconnects++
	}
	:: atomic { disconnected -> disconnected = 0 }
	/* The router hangs for good, once the bound is confirmed. */
	:: atomic { !hung && table_bound[table_version] == 2 -> hung = 1 }
#endif
	od
}

init {
	atomic {
		table_epoch[1] = 1;
		epoch[0] = 1;
		known[0] = 1;
		acked[0] = 1;
		silence[0] = WAIT_DRAIN;
		run tick();
		run planner(0);
		run respond(0);
		run report(0);
#ifdef ELECTION
		table_bound[1] = 2;
#ifdef LEASE_ENDING
		lease_left = 2;
		own_lease_left = 2;
#endif
		run election();
		run planner(1);
		run respond(1);
		run report(1);
#else
		run faults();
#endif
		run router();
		run heartbeats();
		run requests();
		run completions()
	}
}

#ifdef LIVENESS
ltl move_ends { <> (table_stage[table_version] == JOINED) }
#endif
