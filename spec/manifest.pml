/*
 * Manifest generations: two operators that change the root, with lost answers
 * and retries; two gwfleetd that read it, stale or not, and take each other's
 * copy; one router.
 */
#define APPLIES 2

/* The root: its generation, and who wrote each (operator + 1). */
byte root = 0;
byte writer[APPLIES + 2];
/* Generation held: gwfleetd 0 and 1, and the router 2. */
byte held[3];
bool no_generation_falls = true, applied_once = true, told_right = true;
byte applied[2];
byte finished = 0;

#ifdef MUTANT_ANY_GENERATION
#define ADOPT(held_now, offered) (offered != held_now)
#else
#define ADOPT(held_now, offered) (offered > held_now)
#endif

inline adopt(who, offered)
{
	if
	:: ADOPT(held[who], offered) ->
		printf("member_adopt_generation held=%d offered=%d\n",
		    held[who], offered);
		no_generation_falls = (offered >= held[who]);
		assert(no_generation_falls);
		held[who] = offered
	:: else
	fi
}

/* Applies one change at the generation that it has read. */
proctype operator(byte o)
{
	byte expected;

	expected = root;
	atomic {
		if
		:: root == expected ->
			root++;
			writer[root] = o + 1;
			applied[o]++
		:: else
		fi
	}
	if
	:: true -> /* the answer arrives */
		atomic {
			told_right = ((expected < root
			    && writer[expected + 1] == o + 1) == (applied[o] == 1));
			assert(told_right)
		}
	:: true -> /* the answer is lost: the root is read again */
		atomic {
#if defined(MUTANT_RETRY_BLINDLY)
			root++;
			writer[root] = o + 1;
			applied[o]++;
#elif defined(MUTANT_LAST_ID_ONLY)
			/* The id of an earlier generation is not found. */
			told_right = ((writer[root] == o + 1) == (applied[o] == 1));
#else
			told_right = ((expected < root
			    && writer[expected + 1] == o + 1) == (applied[o] == 1));
#endif
			assert(told_right)
		}
	fi;
	atomic {
		applied_once = (applied[o] <= 1);
		assert(applied_once);
		finished++
	}
}

proctype fleet(byte f)
{
	byte offered;

end:
	do
	/* A read of the store, which may be answered with an older value. */
	:: atomic {
#ifdef LIVE
		root != held[f] ->
		offered = root;
#else
		true ->
		select(offered : 0 .. root);
#endif
		adopt(f, offered);
		offered = 0
	}
	:: atomic { held[1 - f] != held[f] -> adopt(f, held[1 - f]) }
	od
}

proctype router()
{
end:
	do
	:: atomic { held[0] != held[2] -> adopt(2, held[0]) }
#ifndef MUTANT_ONE_PLANNER_ONLY
	:: atomic { held[1] != held[2] -> adopt(2, held[1]) }
#endif
	od
}

init {
	atomic {
		run operator(0);
		run operator(1);
#ifndef MUTANT_ONE_PLANNER_ONLY
		run fleet(0);
#endif
		run fleet(1);
		run router()
	}
}

#ifdef LIVE
#define IN_FORCE (held[0] == root && held[1] == root && held[2] == root)
ltl change_in_force { <> (finished == 2 && IN_FORCE) }
#endif
