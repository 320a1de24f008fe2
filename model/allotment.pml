/*
 * Allotments of one team's limit to two shards, in one record changed by
 * compare-and-swap. Shard 0 changes owner: the old one may go on without knowing.
 *
 * Answers may be lost after the effect, and writes may take effect late.
 *
 * Guards to remove, each of which must make the checker fail:
 *   GROW_FIRST   a larger allotment counts before its write is known to hold
 *   NO_MIN       the old allotment counts while a smaller one is under way
 *   NO_FREE      growth doesn't look at what is free
 *   NO_RUNNING   an allotment shrinks below what runs
 *   NO_TERM      a new owner starts tasks before its term is in the record
 */

#define SHARDS 2
#ifndef OWNERS
#define OWNERS 3 /* 0: the first of shard 0, 1: of shard 1, 2: the next of shard 0 */
#endif
#ifndef LIMIT
#define LIMIT 1
#endif
#define NONE 255
#ifndef VERSIONS
#define VERSIONS 5 /* writes until the model ends */
#endif

/* The record in the service. */
byte version = 0;
byte have[SHARDS];
byte terms[SHARDS] = 1;

/* Writes on their way, at most one for each owner. */
bool late[OWNERS];
byte late_version[OWNERS];
byte late_have[OWNERS];

/* What really runs, and the fence of each shard's workers. */
byte running[SHARDS];
byte fence[SHARDS] = 1;

#define SMALLER(a, b) ((a) < (b) -> (a) : (b))
#define LARGER(a, b)  ((a) > (b) -> (a) : (b))

/* What an owner needs before it starts anything. */
#ifdef NO_TERM
#define READY true
#else
#define READY fenced
#endif

/* How much may run. */
#if defined(GROW_FIRST)
#define EFFECTIVE (under == NONE -> mine : LARGER(mine, under))
#elif defined(NO_MIN)
#define EFFECTIVE mine
#else
#define EFFECTIVE (under == NONE -> mine : SMALLER(mine, under))
#endif

inline commit(n) {
	have[s] = n;
	terms[s] = term;
	version++;
	assert(have[0] + have[1] <= LIMIT) /* allotments within the limit */
}

/* Carries out an owner's write when it is on its way, or finds a conflict. */
proctype Network(byte o) {
	byte s = o % 2;
	byte term = (o == 2 -> 2 : 1);
	do
	:: atomic {
		late[o] -> late[o] = false;
		if
		:: late_version[o] == version -> commit(late_have[o])
		:: else -> skip
		fi;
		late_version[o] = 0; late_have[o] = 0
	}
	od
}

proctype Owner(byte o) {
	byte s = o % 2;
	byte term = (o == 2 -> 2 : 1);
	byte known = NONE;   /* version of the copy */
	byte mine, other;    /* the copy's allotments */
	bool fenced;         /* whether the copy holds this owner's term */
	byte under = NONE;   /* smallest (with GROW_FIRST: newest) allotment under way */
	byte next;

	/* A new owner fences the workers before anything else. */
	atomic { fence[s] < term -> fence[s] = term };
begin:
	do
	:: atomic { /* read */
		if
		:: terms[s] > term -> goto stop
		:: else -> skip
		fi;
		if
		:: known != version ->
			known = version; mine = have[s]; other = have[1 - s];
			fenced = (terms[s] == term);
			under = NONE
		:: else -> skip
		fi
	}
	:: atomic { /* propose */
		known != NONE && version < VERSIONS;
		select(next : 0 .. LIMIT);
#ifndef NO_RUNNING
		next >= running[s] || next >= mine;
#endif
#ifndef NO_FREE
		next <= mine || next + other <= LIMIT;
#endif
		if
		:: under == NONE -> under = next
#ifdef GROW_FIRST
		:: under != NONE -> under = next
#else
		:: under != NONE -> under = SMALLER(under, next)
#endif
		fi
		/* The answer is what is read later. */
		if
		:: known == version -> commit(next)
		:: !late[o] -> late[o] = true; late_version[o] = known; late_have[o] = next
		fi;
		next = 0
	}
	:: atomic { /* start */
		known != NONE && term >= fence[s] && READY && running[s] < EFFECTIVE;
		running[s]++;
		assert(running[0] + running[1] <= LIMIT) /* no limit passed */
	}
#if OWNERS == 2
	:: atomic { running[s] > 0 -> running[s]-- } /* end */
#endif
	:: goto stop
	od;
stop:
	skip
}

init {
	atomic {
		fence[0] = 0;
		fence[1] = 0;
		run Network(0);
		run Network(1);
#if OWNERS > 2
		run Network(2);
#endif
		run Owner(0);
		run Owner(1);
#if OWNERS > 2
		run Owner(2)
#endif
	}
}
