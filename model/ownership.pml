/*
 * Ownership of one shard: terms, the fence at the workers, the journal's opening
 * segment, the read-back of what runs, and the wait for leases to lapse.
 *
 * Owners may stop between any two steps (pauses and deaths). Orders to workers may
 * be lost, late, out of order and doubled. The answer to a write may be lost after
 * its effect, and a write may take effect after its owner has gone on.
 *
 * Guards to remove, each of which must make the checker fail:
 *   NO_FENCE          workers take orders of lower terms
 *   NO_READBACK       a new owner doesn't ask workers what runs
 *   NO_LAPSE          a new owner gives up an unreachable worker's tasks at once
 *   NO_CONFIRM        nor makes sure, after the wait, that it still is the owner
 *   NO_HORIZON        an owner without contact renews workers' leases for ever
 *   NO_JOURNAL_FENCE  a new owner writes no opening segment
 */

#ifndef OWNERS
#define OWNERS  3 /* one owner and two takers, with terms 1 to 3 */
#endif
#define WORKERS 2 /* each with room for one task */
#ifndef JOBS
#define JOBS    2 /* of one idempotent task each */
#endif
#ifndef SLOTS
#define SLOTS   6 /* of the journal; the ring's overwriting is not modelled */
#endif

/* Kinds of segments. */
#define EMPTY  0
#define OPEN   1
#define ACCEPT 2
#define START  3

/* Where a job is, in an owner's books. A worker W stands for itself plus BASE. */
#define ABSENT  0
#define PENDING 1
#define BASE    2

#define TERMS (OWNERS + 1)

/* The key-value service. */
byte recorded = 0;      /* term of the shard's record */
byte kind[SLOTS];
byte writer[SLOTS];     /* term of the segment */
byte subject[SLOTS];    /* job of the segment */
byte target[SLOTS];     /* worker of the segment */

/* Writes on their way whose owner may have gone on; at most one for each. */
byte late_kind[TERMS];
byte late_slot[TERMS];
byte late_subject[TERMS];
byte late_target[TERMS];

/* Workers. */
byte seen[WORKERS];     /* highest term */
byte lease[WORKERS];    /* term of the owner that renewed last */
bool running[WORKERS * JOBS];
bool ordered[TERMS * WORKERS * JOBS]; /* orders sent, which may arrive at any time */
bool lapsed[TERMS];     /* no lease of this term can hold any more */

/* What callers were told, and what owners know. */
byte accepted[JOBS];     /* term of the owner that did, or 0 */
bool taken[JOBS];       /* some owner tries to accept the job */
bool opened[TERMS];
bool knows[TERMS * JOBS];

#define RUNS(w, j)       running[(w) * JOBS + (j)]
#define ORDER(t, w, j)   ordered[((t) * WORKERS + (w)) * JOBS + (j)]
#define KNOWS(t, j)      knows[(t) * JOBS + (j)]

/* Whether a worker takes an order of a term. */
#ifdef NO_FENCE
#define MAY(t, w) true
#else
#define MAY(t, w) ((t) >= seen[w])
#endif

/* Whether an owner's leases reach no further, since it has been without contact
 * to the service for too long. */
#ifdef NO_HORIZON
#define SPENT(t) false
#else
#define SPENT(t) lapsed[t]
#endif

/* Writes a segment by compare-and-swap. The network carries the write out when it
 * likes; the answer is what stands in the slot, whether it came back or was read
 * later. Further attempts write the same bytes under the same version, so that one
 * stands for all. done is 1 if the segment holds and 2 if another has the slot. */
inline write(k, j, w) {
	d_step {
		late_kind[term] = k; late_slot[term] = pos; late_subject[term] = j; late_target[term] = w
	}
	d_step {
		kind[pos] != EMPTY;
		if
		:: writer[pos] == term -> done = 1
		:: else -> done = 2
		fi;
		pos++
	}
}

/* Carries out an owner's write when it is on its way, or finds a conflict. */
proctype Network(byte t) {
	do
	:: d_step {
		late_kind[t] != EMPTY;
		if
		:: kind[late_slot[t]] == EMPTY ->
			kind[late_slot[t]] = late_kind[t];
			writer[late_slot[t]] = t;
			subject[late_slot[t]] = late_subject[t];
			target[late_slot[t]] = late_target[t]
		:: else -> skip
		fi;
		late_kind[t] = EMPTY; late_slot[t] = 0; late_subject[t] = 0; late_target[t] = 0
	}
	od
}

/* Lets the leases of an owner lapse that was replaced. A worker stops what runs
 * under a lease before anybody counts it as lapsed. */
proctype Clock(byte t) {
	byte w, j;
	d_step {
		t < recorded;
		lapsed[t] = true;
		do
		:: w < WORKERS ->
			j = 0;
			do
			:: j < JOBS ->
				if
				:: lease[w] == t -> RUNS(w, j) = false
				:: else -> skip
				fi;
				ORDER(t, w, j) = false; /* refused from now on */
				j++
			:: else -> break
			od;
			w++
		:: else -> break
		od;
		w = 0; j = 0
	}
}

/* A worker takes orders that were sent, at any time and in any order. While a
 * task runs its order has no further effect, so that it needn't be kept. */
#define DELIVER(t, j) :: d_step { ORDER(t, w, j) && !lapsed[t] && MAY(t, w) -> take(t, j) }

inline take(t, j) {
	ORDER(t, w, j) = false;
	if
	:: t > seen[w] -> seen[w] = t; lease[w] = t
	:: else -> skip
	fi;
	RUNS(w, j) = true;
	other = 0;
	do
	:: other < WORKERS ->
		assert(other == w || !RUNS(other, j)); /* no task in two places */
		other++
	:: else -> break
	od;
	other = 0;
	do
	:: other < JOBS ->
		assert(other == j || !RUNS(w, other)); /* no overcommit */
		other++
	:: else -> break
	od;
	other = 0
}

proctype Worker(byte w) {
	byte other;
	do
	DELIVER(1, 0)
	DELIVER(2, 0)
#if JOBS > 1
	DELIVER(1, 1)
	DELIVER(2, 1)
#endif
#if OWNERS > 2
	DELIVER(3, 0)
#if JOBS > 1
	DELIVER(3, 1)
#endif
#endif
	od
}

/* An owner takes the shard, recovers, and works. It may die at any point: the
 * checker then never lets it go on. */
proctype Owner(byte term) {
	byte pos, done, j, w, t;
	byte place[JOBS];
	bool usable[WORKERS];

	/* The record's compare-and-swap gives each owner a term of its own. */
	atomic { recorded == term - 1 -> recorded = term };

	/* Read the journal, and write the opening segment behind its end. Slots that
	 * were written don't change, so that they can be read in one step. */
	do
	:: done != 1 ->
		d_step {
			done = 0;
			do
			:: pos < SLOTS && kind[pos] != EMPTY && writer[pos] <= term ->
				if
				:: kind[pos] == ACCEPT && place[subject[pos]] == ABSENT -> place[subject[pos]] = PENDING
				:: kind[pos] == START -> place[subject[pos]] = BASE + target[pos]
				:: else -> skip
				fi;
				pos++
			:: else -> break
			od
		}
		if
		:: pos == SLOTS || kind[pos] != EMPTY -> goto stop
		:: else -> skip
		fi;
#ifdef NO_JOURNAL_FENCE
		break
#else
		write(OPEN, 0, 0);
		if
		:: done == 2 -> pos-- /* another owner got in first: read on */
		:: else -> skip
		fi
#endif
	:: done == 1 -> break
	od;
	atomic {
		opened[term] = true;
		done = 0;
		do
		:: j < JOBS ->
			KNOWS(term, j) = (place[j] != ABSENT);
			assert(accepted[j] == 0 || accepted[j] > term || place[j] != ABSENT); /* no accepted job lost */
			j++
		:: else -> break
		od;
		j = 0
	}

	/* Fence each worker and read back what runs, or wait for the lapse. */
	do
	:: w < WORKERS ->
		if
		:: atomic {
			if
			:: seen[w] > term || SPENT(term) -> goto stop
			:: else -> skip
			fi;
			seen[w] = term;
			lease[w] = term;
			usable[w] = true;
#ifndef NO_READBACK
			j = 0;
			do
			:: j < JOBS ->
				if
				:: RUNS(w, j) -> place[j] = BASE + w
				:: !RUNS(w, j) && place[j] == BASE + w -> place[j] = PENDING
				:: else -> skip
				fi;
				j++
			:: else -> break
			od;
			j = 0
#endif
		}
		:: atomic {
			t = 1;
#ifndef NO_LAPSE
			do
			:: t < term -> lapsed[t]; t++
			:: else -> break
			od;
#endif
			t = 0;
#ifndef NO_CONFIRM
			/* A newer owner may have renewed the worker's lease, but only after its
			 * opening segment. The code's test is a record that holds. */
			if
			:: pos < SLOTS && kind[pos] != EMPTY -> goto stop
			:: else -> skip
			fi;
#endif
			j = 0;
			do
			:: j < JOBS ->
				if
				:: place[j] == BASE + w -> place[j] = PENDING
				:: else -> skip
				fi;
				j++
			:: else -> break
			od;
			j = 0
		}
		fi;
		w++
	:: else -> break
	od;
	w = 0;

	/* Accept and start. */
	do
	:: atomic {
		pos < SLOTS -> select(j : 0 .. JOBS - 1);
		place[j] == ABSENT && !taken[j] && (j == 0 || taken[0]);
		taken[j] = true
	};
		write(ACCEPT, j, 0);
		atomic {
			if
			:: done == 2 -> goto stop
			:: else -> done = 0
			fi;
			place[j] = PENDING;
			KNOWS(term, j) = true;
			accepted[j] = term;
			t = term + 1;
			do
			:: t <= OWNERS ->
				assert(!opened[t] || KNOWS(t, j)); /* no accepted job lost */
				t++
			:: else -> break
			od;
			j = 0; t = 0
		}
	:: atomic {
		select(j : 0 .. JOBS - 1);
		select(w : 0 .. WORKERS - 1);
		place[j] == PENDING && usable[w];
		t = 0;
		do
		:: t < JOBS -> place[t] != BASE + w; t++
		:: else -> break
		od;
		t = 0
	};
		if
		:: pos < SLOTS -> /* in the journal before the order goes out */
			write(START, j, w);
			if
			:: done == 2 -> goto stop
			:: else -> skip
			fi
		:: skip /* the service is down: idempotent tasks start without */
		fi;
		atomic {
			done = 0;
			place[j] = BASE + w;
			ORDER(term, w, j) = true;
			j = 0; w = 0
		}
	od;
stop:
	skip
}

init {
	atomic {
		run Worker(0);
		run Worker(1);
		run Network(1);
		run Network(2);
		run Clock(1);
		run Owner(1);
		run Owner(2);
#if OWNERS > 2
		run Network(3);
		run Clock(2);
		run Owner(3)
#endif
	}
}
