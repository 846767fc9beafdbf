/*
 * Manifest generations. Two operators change the root; responses to them may be
 * lost, and they retry. Two gwfleetd read the root, perhaps an older value, and
 * adopt each other's generation. One router adopts the generations of both.
 */
#define APPLIES 2

/* The root: its generation, and which operator (plus 1) wrote each one. */
byte root_generation = 0;
byte writer[APPLIES + 2];
/* Generation held by gwfleetd 0, gwfleetd 1 and the router. */
byte held[3];
bool generation_never_decreases = true, applied_once = true;
bool result_correct = true;
byte applied[2];
byte finished = 0;

#ifdef MUTANT_OLDER_GENERATION_ADOPTED
#define MAY_ADOPT(held_now, offered) (offered != held_now)
#else
#define MAY_ADOPT(held_now, offered) (offered > held_now)
#endif

inline adopt(who, offered)
{
	if
	:: MAY_ADOPT(held[who], offered) ->
		printf("member_adopt_generation held=%d offered=%d\n",
		    held[who], offered);
		generation_never_decreases = (offered >= held[who]);
		assert(generation_never_decreases);
		held[who] = offered
	:: else
	fi
}

/* Applies one change, if the generation is still the one that it has read. */
proctype operator(byte o)
{
	byte expected;

	expected = root_generation;
	atomic {
		if
		:: root_generation == expected ->
			root_generation++;
			writer[root_generation] = o + 1;
			applied[o]++
		:: else
		fi
	}
	if
	:: true -> /* the response arrives */
		atomic {
			result_correct = ((expected < root_generation
			    && writer[expected + 1] == o + 1)
			    == (applied[o] == 1));
			assert(result_correct)
		}
	:: true -> /* the response is lost: the root is read again */
		atomic {
#if defined(MUTANT_RETRY_WITHOUT_CHECK)
			root_generation++;
			writer[root_generation] = o + 1;
			applied[o]++;
#elif defined(MUTANT_LAST_ID_ONLY)
			/* Misses the own write when another one followed. */
			result_correct = ((writer[root_generation] == o + 1)
			    == (applied[o] == 1));
#else
			result_correct = ((expected < root_generation
			    && writer[expected + 1] == o + 1)
			    == (applied[o] == 1));
#endif
			assert(result_correct)
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
	/* A read of the store, which may return an older value. */
	:: atomic {
#ifdef LIVENESS
		root_generation != held[f] ->
		offered = root_generation;
#else
		true ->
		select(offered : 0 .. root_generation);
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
#ifndef MUTANT_ONE_GWFLEETD_ONLY
	:: atomic { held[1] != held[2] -> adopt(2, held[1]) }
#endif
	od
}

init {
	atomic {
		run operator(0);
		run operator(1);
#ifndef MUTANT_ONE_GWFLEETD_ONLY
		run fleet(0);
#endif
		run fleet(1);
		run router()
	}
}

#ifdef LIVENESS
#define IN_FORCE \
	(held[0] == root_generation && held[1] == root_generation \
	    && held[2] == root_generation)
ltl change_in_force { <> (finished == 2 && IN_FORCE) }
#endif
