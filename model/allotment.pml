/*
 * Quotas: the division of one team's limit between two shards, in one record that
 * is changed by compare-and-swap. Shard 0 changes owner: its old owner may go on
 * without knowing that it is superseded.
 *
 * The response to a write may be lost after the write has taken effect, and a write
 * may take effect late.
 *
 * Each of these flags removes one guard, and the checker must then find an error:
 *   GROW_FIRST   a larger quota counts before its write is known to have succeeded
 *   NO_MIN       the old quota counts while a write of a smaller one is in flight
 *   NO_FREE      a quota grows beyond what the other shard's quota leaves free
 *   NO_RUNNING   a quota shrinks below what runs
 *   NO_TERM      a new owner starts tasks before its term is in the record
 */

#define SHARDS 2
#ifndef OWNERS
#define OWNERS 3 /* 0: first owner of shard 0; 1: owner of shard 1; 2: second owner of shard 0 */
#endif
#ifndef LIMIT
#define LIMIT 1
#endif
#define NONE 255
#ifndef VERSIONS
#define VERSIONS 5 /* writes until the model ends */
#endif

/* The record in the store. */
byte version = 0;
byte quota[SHARDS];
byte terms[SHARDS] = 1; /* highest term that wrote, by shard */

/* Writes in flight that take effect late, at most one for each owner. */
bool inflight[OWNERS];
byte inflight_expect[OWNERS]; /* version that the write expects */
byte inflight_quota[OWNERS];

/* Tasks that run, and the highest term that the workers have seen, by shard. */
byte running[SHARDS];
byte fence[SHARDS] = 1;

#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* Whether an owner may start tasks. */
#ifdef NO_TERM
#define MAY_START true
#else
#define MAY_START term_written
#endif

/* How many tasks may run, as far as the owner knows. */
#if defined(GROW_FIRST)
#define EFFECTIVE_QUOTA (unknown_quota == NONE -> own_quota : MAX(own_quota, unknown_quota))
#elif defined(NO_MIN)
#define EFFECTIVE_QUOTA own_quota
#else
#define EFFECTIVE_QUOTA (unknown_quota == NONE -> own_quota : MIN(own_quota, unknown_quota))
#endif

inline apply_write(n) {
	quota[shard] = n;
	terms[shard] = term;
	version++;
	assert(quota[0] + quota[1] <= LIMIT) /* quotas within the limit */
}

/* Carries out the write that an owner has in flight, or drops it on a conflict. */
proctype Network(byte owner) {
	byte shard = owner % 2;
	byte term = (owner == 2 -> 2 : 1);
	do
	:: atomic {
		inflight[owner] -> inflight[owner] = false;
		if
		:: inflight_expect[owner] == version -> apply_write(inflight_quota[owner])
		:: else -> skip
		fi;
		inflight_expect[owner] = 0; inflight_quota[owner] = 0
	}
	od
}

proctype Owner(byte owner) {
	byte shard = owner % 2;
	byte term = (owner == 2 -> 2 : 1);
	byte known_version = NONE;   /* of the record as last read */
	byte own_quota, other_quota; /* in the record as last read */
	bool term_written;           /* the record as last read has this owner's term */
	byte unknown_quota = NONE;   /* smallest (with GROW_FIRST: newest) quota in writes of unknown outcome */
	byte next_quota;

	/* A new owner fences the workers before anything else. */
	atomic { fence[shard] < term -> fence[shard] = term };
begin:
	do
	:: atomic { /* read */
		if
		:: terms[shard] > term -> goto stop
		:: else -> skip
		fi;
		if
		:: known_version != version ->
			known_version = version; own_quota = quota[shard]; other_quota = quota[1 - shard];
			term_written = (terms[shard] == term);
			unknown_quota = NONE
		:: else -> skip
		fi
	}
	:: atomic { /* propose */
		known_version != NONE && version < VERSIONS;
		select(next_quota : 0 .. LIMIT);
#ifndef NO_RUNNING
		next_quota >= running[shard] || next_quota >= own_quota;
#endif
#ifndef NO_FREE
		next_quota <= own_quota || next_quota + other_quota <= LIMIT;
#endif
		if
		:: unknown_quota == NONE -> unknown_quota = next_quota
#ifdef GROW_FIRST
		:: unknown_quota != NONE -> unknown_quota = next_quota
#else
		:: unknown_quota != NONE -> unknown_quota = MIN(unknown_quota, next_quota)
#endif
		fi
		/* The owner learns the outcome only from a later read. */
		if
		:: known_version == version -> apply_write(next_quota)
		:: !inflight[owner] -> inflight[owner] = true; inflight_expect[owner] = known_version; inflight_quota[owner] = next_quota
		fi;
		next_quota = 0
	}
	:: atomic { /* start */
		known_version != NONE && term >= fence[shard] && MAY_START && running[shard] < EFFECTIVE_QUOTA;
		running[shard]++;
		assert(running[0] + running[1] <= LIMIT) /* tasks within the limit */
	}
#if OWNERS == 2
	:: atomic { running[shard] > 0 -> running[shard]-- } /* end */
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
