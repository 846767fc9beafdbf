/*
 * The parts of a team's quota, which the owners of two shards hold by a row of
 * the store; docs/design/team-quotas.md. An owner may be lost, frozen or cut off
 * at any time; the next one knows the runs from their records, but not the
 * starts without a response. A write is carried out at any later time, or never,
 * and its response may be lost. The configuration lowers the quota. The faults
 * happen to shard 0; the owner of shard 1 gets each response, one write at a time.
 */
#define HIGH   2 /* the quota by version 1 */
#define LOW    1 /* by version 2 */
#define MAX(a, b) (a > b -> a : b)
#define MIN(a, b) (a < b -> a : b)
#define QUOTA(version) (version == 2 -> LOW : HIGH)
#define OTHER(s) (1 - s)

/* The store: the parts in the row, the fences of the roles, the version. */
byte part[2], revision = 0, role[2], version = 1;

/* The owners: the row as read, what they hold and know of the other part. */
byte fence[2], version_read[2], revision_read[2], held[2], others[2];
bit known[2];	  /* the parts have been read since the quota was lowered */
bit uncertain[2]; /* a write on condition of revision_read may take effect */
/* Runs by their records, and starts without a response of runs that are over. */
byte runs[2], strays[2];

/* Writes on their way: two of shard 0, one of shard 1; awaits: the owner waits for one, plus 1. */
bit sent[3];
byte sent_part[3], sent_other[3], sent_revision[3], sent_fence[3],
    sent_version[3];
byte awaits[2];

/* Bounds of the state space. */
byte lost = 0;

bool enlarged_within_quota = true, runs_within_part = true,
    given_back_unused = true, started_within_quota = true;

#define PARTS	    (part[0] + part[1])
#define MAY_RUN(s)  (runs[s] + strays[s])
#define AVAILABLE(s) \
	(QUOTA(version_read[s]) > others[s] -> \
	    QUOTA(version_read[s]) - others[s] : 0)
#ifdef MUTANT_STRAYS_IGNORED
#define USED(s) runs[s]
#else
#define USED(s) MAY_RUN(s)
#endif
#ifdef MUTANT_OTHERS_IGNORED
#define USABLE(s) held[s]
#else
#define USABLE(s) MIN(held[s], AVAILABLE(s))
#endif
/* The highest quota that may be in force. */
#define IN_FORCE \
	MAX(QUOTA(version), \
	    MAX(QUOTA(version_read[0]), QUOTA(version_read[1])))

inline check_runs(s)
{
	runs_within_part = (MAY_RUN(s) <= part[s]);
	assert(runs_within_part)
}

/* apply_row(): takes the row as it stands. */
inline apply(s)
{
	if
	:: revision != revision_read[s] -> uncertain[s] = 0
	:: else
	fi;
	revision_read[s] = revision;
	others[s] = part[OTHER(s)];
	if
	:: !uncertain[s] -> held[s] = part[s]; known[s] = 1
	:: else
	fi
}

/* sched_quota_set_limit() */
inline take_version(s, v)
{
	if
	:: version_read[s] != v ->
		if
		:: v == 2 ->
#ifndef MUTANT_LOWERED_WITHOUT_READ
			known[s] = 0;
#endif
			skip
		:: else
		fi;
		version_read[s] = v
	:: else
	fi
}

/* write_parts(): any part from what is used to what is available. */
inline send(s, i, p)
{
	sent[i] = 1;
	sent_part[i] = p;
	sent_other[i] = others[s];
	sent_revision[i] = revision_read[s];
	sent_fence[i] = fence[s];
	sent_version[i] = version_read[s];
	awaits[s] = i + 1;
#ifndef MUTANT_HELD_REDUCED_AFTER_WRITE
	held[s] = MIN(held[s], p);
#endif
	printf("write shard=%d part=%d revision=%d\n", s, p, revision_read[s])
}

inline forget_write(i)
{
	sent[i] = 0;
	sent_part[i] = 0;
	sent_other[i] = 0;
	sent_revision[i] = 0;
	sent_fence[i] = 0;
	sent_version[i] = 0
}

#ifdef MUTANT_ROLE_IGNORED
#define ROLE_HOLDS(s, i) true
#else
#define ROLE_HOLDS(s, i) (sent_fence[i] == role[s])
#endif
#ifdef MUTANT_REVISION_IGNORED
#define ROW_HOLDS(i) true
#else
#define ROW_HOLDS(i) (sent_revision[i] == revision)
#endif
#ifdef MUTANT_VERSION_IGNORED
#define VERSION_HOLDS(i) true
#else
#define VERSION_HOLDS(i) (sent_version[i] == version)
#endif
#define HOLDS(s, i) (ROLE_HOLDS(s, i) && ROW_HOLDS(i) && VERSION_HOLDS(i))

/* The store carries the write out, or refuses it. */
proctype store(byte s; byte i)
{
	bit done;

end:
	do
	:: atomic {
		sent[i] ->
		done = HOLDS(s, i) && revision < 3;
		if
		:: done ->
			enlarged_within_quota = (sent_part[i] <= part[s]
			    || sent_part[i] + sent_other[i] <= QUOTA(version)
			    || sent_part[i] <= MAY_RUN(s));
			assert(enlarged_within_quota);
			given_back_unused = (sent_part[i] >= MAY_RUN(s)
			    && sent_other[i] >= MAY_RUN(OTHER(s)));
			assert(given_back_unused);
			part[s] = sent_part[i];
			part[OTHER(s)] = sent_other[i];
			revision++;
			printf("carried_out shard=%d part=%d\n", s, part[s])
		:: else
		fi;
		if
		:: awaits[s] == i + 1 ->
			/* The response arrives, or is lost. */
			if
			:: true ->
				awaits[s] = 0;
				apply(s);
				take_version(s, version)
			:: s == 0 -> skip
			fi
		:: else
		fi;
		done = 0;
		forget_write(i)
	}
	od
}

proctype owner(byte s)
{
	byte i, p;

end:
	do
	/* quota_update() */
	:: atomic { awaits[s] == 0 -> apply(s) }
	:: atomic {
		(awaits[s] == 0 && (known[s] || uncertain[s])
		    && !(s == 0 && sent[0] && sent[1])) ->
		if
		:: p = USED(s)
		:: p = MAX(USED(s), AVAILABLE(s))
		fi;
		if
		:: s == 0 && !sent[0] -> i = 0
		:: s == 0 && sent[0] -> i = 1
		:: s == 1 -> i = 2
		fi;
		send(s, i, p);
		p = 0;
		i = 0
	}
	/* mark_uncertain(): no response in time. */
	:: atomic {
		s == 0 && awaits[s] != 0 ->
		awaits[s] = 0;
		uncertain[s] = 1;
#ifdef MUTANT_UNCERTAIN_IGNORED
		uncertain[s] = 0;
#endif
		printf("uncertain shard=%d\n", s)
	}
	:: atomic {
		version_read[s] != version ->
		take_version(s, version)
	}
	/* sched_quota_allows(); the record is written by the owner only. */
	:: atomic {
		known[s] && USED(s) < USABLE(s) ->
		runs[s]++;
		printf("start shard=%d runs=%d\n", s, runs[s]);
		started_within_quota =
		    (MAY_RUN(0) + MAY_RUN(1) <= IN_FORCE);
		assert(started_within_quota);
		check_runs(s)
	}
	/* The run has ended; its start may have had no response. */
	:: atomic { runs[s] > 0 -> runs[s]-- }
	:: atomic { s == 0 && runs[s] > 0 && strays[s] == 0 -> runs[s]--; strays[s]++ }
	:: atomic { strays[s] > 0 -> strays[s]-- }
	/* The owner is lost. */
	:: atomic {
		s == 0 && lost < 1 ->
		lost++;
		role[s]++;
		fence[s] = role[s];
		held[s] = 0;
		known[s] = 0;
		uncertain[s] = 0;
		revision_read[s] = 0;
		awaits[s] = 0;
		strays[s] = 0;
#ifdef MUTANT_PART_DROPPED
		part[s] = 0;
		revision++;
#endif
		check_runs(s);
		printf("lost shard=%d\n", s)
	}
	od
}

proctype operators()
{
end:
	do
	:: atomic { version < 2 -> version++ }
	od
}

init {
	atomic {
		run store(0, 0);
		run store(0, 1);
		run store(1, 2);
		run owner(0);
		run owner(1);
		run operators()
	}
}
