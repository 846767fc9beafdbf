/*
 * Slots of one instance, which a planner grants to two routers. The views to a
 * router arrive in order on one connection, late or not at all. A second
 * planner takes over and learns the grants from the routers.
 */
#define SLOTS 2
#define MAX(a, b) (a > b -> a : b)
#define MIN(a, b) (a < b -> a : b)

/* The current planner: its epoch, and what it knows of each router. */
byte epoch = 1;
byte granted[2], reserved[2], revoked[2], sequence[2];
bit reported[2];
/* Views on their way: per router at most one of each planner. */
bit sent[4];
byte sent_epoch[4], sent_sequence[4], sent_granted[4];
/* The routers: epoch and view in force, grant, slots in use. */
byte router_epoch[2], router_sequence[2], router_granted[2], used[2];

bool within_slots = true;

#define FREE (SLOTS - reserved[0] - reserved[1])
#define HELD(r) MAX(router_granted[r], used[r])
#define SUM(a) (a[0] + a[1])

inline check()
{
	within_slots = (HELD(0) + HELD(1) <= SLOTS);
	assert(within_slots)
}

inline send(r, g)
{
	sequence[r]++;
	granted[r] = g;
	sent[2 * (epoch - 1) + r] = 1;
	sent_epoch[2 * (epoch - 1) + r] = epoch;
	sent_sequence[2 * (epoch - 1) + r] = sequence[r];
	sent_granted[2 * (epoch - 1) + r] = granted[r]
}

#define MAY_SEND(r) \
	(sequence[r] < 4 && !sent[2 * (epoch - 1) + r] && reported[r])
#ifdef MUTANT_GRANT_WITHOUT_REPORTS
#define ALL_REPORTED true
#else
#define ALL_REPORTED (reported[0] && reported[1])
#endif

proctype planner(byte r)
{
end:
	do
	/* Revokes the grant of one slot; the slot stays reserved. */
	:: atomic {
		MAY_SEND(r) && granted[r] > 0 ->
		send(r, granted[r] - 1);
		revoked[r] = sequence[r];
#ifdef MUTANT_REUSE_BEFORE_ACK
		reserved[r] = granted[r];
#endif
		printf("reduce router=%d granted=%d reserved=%d sequence=%d\n",
		    r, granted[r], reserved[r], sequence[r])
	}
	:: atomic {
		(MAY_SEND(r) && ALL_REPORTED && granted[r] < SLOTS
		    && SUM(reserved) <= SLOTS
		    && (FREE > 0 || reserved[r] > granted[r])) ->
		send(r, granted[r] + 1);
		reserved[r] = MAX(reserved[r], granted[r]);
		printf("raise router=%d granted=%d reserved=%d sequence=%d\n",
		    r, granted[r], reserved[r], sequence[r])
	}
	/* member_grants_acked(): an Ack with the view and the slots in use. */
	:: atomic {
		(reported[r] && router_epoch[r] == epoch
#ifndef MUTANT_OLD_ACK
		    && router_sequence[r] >= revoked[r]
#endif
		    && reserved[r]
			!= MAX(granted[r], MIN(reserved[r], used[r]))) ->
		reserved[r] = MAX(granted[r], MIN(reserved[r], used[r]));
		printf("member_grants_acked router=%d held=%d sequence=%d granted=%d reserved=%d\n",
		    r, used[r], router_sequence[r], granted[r], reserved[r])
	}
	/*
	 * The new planner sends its Hello. The router responds with its own,
	 * which the planner uses only if it carries the planner's epoch.
	 */
	:: atomic {
		!reported[r] ->
#ifndef MUTANT_REPORT_OF_OLD_EPOCH
		router_epoch[r] = epoch;
#endif
		router_sequence[r] = 0;
		printf("member_report_counts epoch=%d hello=%d\n", epoch,
		    router_epoch[r]);
		granted[r] = MIN(HELD(r),
		    (SLOTS > SUM(reserved) -> SLOTS - SUM(reserved) : 0));
		reserved[r] = HELD(r);
		reported[r] = 1;
		revoked[r] = 1;
		printf("member_grants_reported router=%d held=%d granted=%d reserved=%d\n",
		    r, HELD(r), granted[r], reserved[r])
	}
	/* The new planner confirms the grant by its first view. */
	:: atomic {
		MAY_SEND(r) && sequence[r] == 0 && epoch == 2 ->
		send(r, granted[r])
	}
	od
}

proctype election()
{
end:
	do
	:: atomic {
		epoch == 1 ->
		epoch = 2;
		granted[0] = 0; granted[1] = 0;
		reserved[0] = 0; reserved[1] = 0;
		revoked[0] = 0; revoked[1] = 0;
		sequence[0] = 0; sequence[1] = 0;
		reported[0] = 0; reported[1] = 0;
		printf("elected epoch=2\n")
	}
	od
}

proctype router(byte r)
{
	byte i;

end:
	do
	:: atomic {
		sent[r] || sent[2 + r] ->
		if
		:: sent[r] -> i = r
		:: sent[2 + r] -> i = 2 + r
		fi;
		if
		:: sent_epoch[i] >= router_epoch[r] ->
			router_epoch[r] = sent_epoch[i];
			router_sequence[r] = sent_sequence[i];
			router_granted[r] = sent_granted[i];
			check()
		:: else
		fi;
		sent[i] = 0;
		sent_epoch[i] = 0;
		sent_sequence[i] = 0;
		sent_granted[i] = 0;
		i = 0
	}
	:: atomic { used[r] < router_granted[r] -> used[r]++; check() }
	:: atomic { used[r] > 0 -> used[r]-- }
	od
}

init {
	atomic {
		reported[0] = 1;
		reported[1] = 1;
		router_epoch[0] = 1;
		router_epoch[1] = 1;
		run planner(0);
		run planner(1);
		run election();
		run router(0);
		run router(1)
	}
}
