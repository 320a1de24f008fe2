/*
 * Ownership of one shard: terms, the fence at the workers, the journal's opening
 * segment, reading back what runs, and the wait until leases have expired.
 *
 * An owner may pause or die between any two steps. Orders to workers may be lost,
 * delayed, reordered and duplicated. The response to a write may be lost after the
 * write has taken effect, and a write may take effect after its owner has gone on.
 *
 * Each of these flags removes one guard, and the checker must then find an error:
 *   NO_FENCE          workers carry out orders of lower terms
 *   NO_READBACK       a new owner doesn't read back what workers run
 *   NO_LAPSE          a new owner doesn't wait until an unreachable worker's leases
 *                     have expired before it runs the worker's tasks elsewhere
 *   NO_CONFIRM        a new owner doesn't check after that wait that it still is the
 *                     owner
 *   NO_HORIZON        an owner renews leases even after its ownership has timed out
 *   NO_JOURNAL_FENCE  a new owner writes no opening segment
 */

#ifndef OWNERS
#define OWNERS  3 /* one owner and two successors, with terms 1 to 3 */
#endif
#define WORKERS 2 /* each with capacity for one task */
#ifndef JOBS
#define JOBS    2 /* of one idempotent task each */
#endif
#ifndef SLOTS
#define SLOTS   6 /* of the journal; the model doesn't overwrite slots */
#endif

/* Content of a slot: nothing, or a kind of segment. */
#define EMPTY   0
#define OPENING 1
#define ACCEPT  2
#define START   3

/* States of a job, as an owner knows it. ON_WORKER + W: it runs on worker W. */
#define ABSENT    0
#define PENDING   1
#define ON_WORKER 2

#define TERMS (OWNERS + 1)

/* The key-value store. */
byte recorded_term = 0;  /* term in the shard's record */
byte slot_kind[SLOTS];
byte slot_term[SLOTS];   /* term of the segment */
byte slot_job[SLOTS];    /* job of the segment */
byte slot_worker[SLOTS]; /* worker of the segment */

/* Writes in flight, at most one for each owner. The owner may have gone on. */
byte inflight_kind[TERMS];
byte inflight_slot[TERMS];
byte inflight_job[TERMS];
byte inflight_worker[TERMS];

/* Workers. */
byte seen_term[WORKERS];  /* highest term that the worker has seen */
byte lease_term[WORKERS]; /* term of the owner that last renewed the lease */
bool running[WORKERS * JOBS];
bool order_sent[TERMS * WORKERS * JOBS]; /* orders to start a job, which may arrive at any time */
bool expired[TERMS]; /* no lease given under the term is valid any more */

/* What was acknowledged to callers, and what owners know. */
byte accepted_term[JOBS]; /* term of the owner that acknowledged the job; 0 before */
bool submitted[JOBS];     /* some owner has begun to accept the job */
bool opened[TERMS];       /* the owner has opened the journal */
bool knows[TERMS * JOBS]; /* the owner knows the job */

#define RUNS(w, j)          running[(w) * JOBS + (j)]
#define ORDER_SENT(t, w, j) order_sent[((t) * WORKERS + (w)) * JOBS + (j)]
#define KNOWS(t, j)         knows[(t) * JOBS + (j)]

/* Whether a worker accepts a call under a term. */
#ifdef NO_FENCE
#define ACCEPTS_TERM(t, w) true
#else
#define ACCEPTS_TERM(t, w) ((t) >= seen_term[w])
#endif

/* Whether an owner may not renew leases any more, since it could not prove its
 * ownership for longer than the ownership timeout. */
#ifdef NO_HORIZON
#define OWNERSHIP_TIMED_OUT(t) false
#else
#define OWNERSHIP_TIMED_OUT(t) expired[t]
#endif

/* Writes a segment by compare-and-swap. Network carries out the write at any later
 * time. The outcome is decided by the content of the slot, whether the owner learns
 * it from the response or from a later read. Retries write the same bytes and expect
 * the same version, so that one attempt stands for all. Sets outcome to 1 if the slot
 * holds the owner's segment, and to 2 if it holds that of another owner. */
inline write_segment(k, j, w) {
	d_step {
		inflight_kind[term] = k; inflight_slot[term] = slot; inflight_job[term] = j; inflight_worker[term] = w
	}
	d_step {
		slot_kind[slot] != EMPTY;
		if
		:: slot_term[slot] == term -> outcome = 1
		:: else -> outcome = 2
		fi;
		slot++
	}
}

/* Carries out the write that an owner has in flight, or drops it on a conflict. */
proctype Network(byte t) {
	do
	:: d_step {
		inflight_kind[t] != EMPTY;
		if
		:: slot_kind[inflight_slot[t]] == EMPTY ->
			slot_kind[inflight_slot[t]] = inflight_kind[t];
			slot_term[inflight_slot[t]] = t;
			slot_job[inflight_slot[t]] = inflight_job[t];
			slot_worker[inflight_slot[t]] = inflight_worker[t]
		:: else -> skip
		fi;
		inflight_kind[t] = EMPTY; inflight_slot[t] = 0; inflight_job[t] = 0; inflight_worker[t] = 0
	}
	od
}

/* Expires the leases of a superseded owner. A worker stops what runs under a lease
 * before any owner counts the lease as expired. */
proctype LeaseExpiry(byte t) {
	byte w, j;
	d_step {
		t < recorded_term;
		expired[t] = true;
		do
		:: w < WORKERS ->
			j = 0;
			do
			:: j < JOBS ->
				if
				:: lease_term[w] == t -> RUNS(w, j) = false
				:: else -> skip
				fi;
				ORDER_SENT(t, w, j) = false; /* the worker refuses it from now on */
				j++
			:: else -> break
			od;
			w++
		:: else -> break
		od;
		w = 0; j = 0
	}
}

/* Delivers an order to a worker, at any time and in any sequence. A duplicate has no
 * effect while the task runs, so that an order is dropped once it is delivered. */
#define DELIVER(t, j) :: d_step { ORDER_SENT(t, w, j) && !expired[t] && ACCEPTS_TERM(t, w) -> execute_order(t, j) }

inline execute_order(t, j) {
	ORDER_SENT(t, w, j) = false;
	if
	:: t > seen_term[w] -> seen_term[w] = t; lease_term[w] = t
	:: else -> skip
	fi;
	RUNS(w, j) = true;
	other = 0;
	do
	:: other < WORKERS ->
		assert(other == w || !RUNS(other, j)); /* no task on two workers */
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

/* An owner takes over the shard, recovers its state, then accepts and starts jobs.
 * It may die at any point: the checker also covers the runs in which it takes no
 * further step. */
proctype Owner(byte term) {
	byte slot, outcome, j, w, i;
	byte job_state[JOBS];
	bool fenced[WORKERS];

	/* Compare-and-swap of the shard's record gives each owner a term of its own. */
	atomic { recorded_term == term - 1 -> recorded_term = term };

	/* Read the journal and write the opening segment after the last segment. Written
	 * slots don't change, so that one step may read them all. */
	do
	:: outcome != 1 ->
		d_step {
			outcome = 0;
			do
			:: slot < SLOTS && slot_kind[slot] != EMPTY && slot_term[slot] <= term ->
				if
				:: slot_kind[slot] == ACCEPT && job_state[slot_job[slot]] == ABSENT -> job_state[slot_job[slot]] = PENDING
				:: slot_kind[slot] == START -> job_state[slot_job[slot]] = ON_WORKER + slot_worker[slot]
				:: else -> skip
				fi;
				slot++
			:: else -> break
			od
		}
		if
		:: slot == SLOTS || slot_kind[slot] != EMPTY -> goto stop
		:: else -> skip
		fi;
#ifdef NO_JOURNAL_FENCE
		break
#else
		write_segment(OPENING, 0, 0);
		if
		:: outcome == 2 -> slot-- /* another owner wrote first: read on from its segment */
		:: else -> skip
		fi
#endif
	:: outcome == 1 -> break
	od;
	atomic {
		opened[term] = true;
		outcome = 0;
		do
		:: j < JOBS ->
			KNOWS(term, j) = (job_state[j] != ABSENT);
			assert(accepted_term[j] == 0 || accepted_term[j] > term || job_state[j] != ABSENT); /* no accepted job lost */
			j++
		:: else -> break
		od;
		j = 0
	}

	/* Fence each worker and read back what runs, or wait until its older leases have expired. */
	do
	:: w < WORKERS ->
		if
		:: atomic {
			if
			:: seen_term[w] > term || OWNERSHIP_TIMED_OUT(term) -> goto stop
			:: else -> skip
			fi;
			seen_term[w] = term;
			lease_term[w] = term;
			fenced[w] = true;
#ifndef NO_READBACK
			j = 0;
			do
			:: j < JOBS ->
				if
				:: RUNS(w, j) -> job_state[j] = ON_WORKER + w
				:: !RUNS(w, j) && job_state[j] == ON_WORKER + w -> job_state[j] = PENDING
				:: else -> skip
				fi;
				j++
			:: else -> break
			od;
			j = 0
#endif
		}
		:: atomic {
			i = 1;
#ifndef NO_LAPSE
			do
			:: i < term -> expired[i]; i++
			:: else -> break
			od;
#endif
			i = 0;
#ifndef NO_CONFIRM
			/* A newer owner may have renewed the worker's lease, but only after it
			 * wrote its opening segment. The scheduler relies on a recent proof of
			 * ownership instead: a persisted record, or responses from a majority
			 * of the workers. */
			if
			:: slot < SLOTS && slot_kind[slot] != EMPTY -> goto stop
			:: else -> skip
			fi;
#endif
			j = 0;
			do
			:: j < JOBS ->
				if
				:: job_state[j] == ON_WORKER + w -> job_state[j] = PENDING
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
		slot < SLOTS -> select(j : 0 .. JOBS - 1);
		job_state[j] == ABSENT && !submitted[j] && (j == 0 || submitted[0]);
		submitted[j] = true
	};
		write_segment(ACCEPT, j, 0);
		atomic {
			if
			:: outcome == 2 -> goto stop
			:: else -> outcome = 0
			fi;
			job_state[j] = PENDING;
			KNOWS(term, j) = true;
			accepted_term[j] = term;
			i = term + 1;
			do
			:: i <= OWNERS ->
				assert(!opened[i] || KNOWS(i, j)); /* no accepted job lost */
				i++
			:: else -> break
			od;
			j = 0; i = 0
		}
	:: atomic {
		select(j : 0 .. JOBS - 1);
		select(w : 0 .. WORKERS - 1);
		job_state[j] == PENDING && fenced[w];
		i = 0;
		do
		:: i < JOBS -> job_state[i] != ON_WORKER + w; i++
		:: else -> break
		od;
		i = 0
	};
		if
		:: slot < SLOTS -> /* the start is in the journal before the order is sent */
			write_segment(START, j, w);
			if
			:: outcome == 2 -> goto stop
			:: else -> skip
			fi
		:: skip /* the store is down: an idempotent task starts without a record */
		fi;
		atomic {
			outcome = 0;
			job_state[j] = ON_WORKER + w;
			ORDER_SENT(term, w, j) = true;
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
		run LeaseExpiry(1);
		run Owner(1);
		run Owner(2);
#if OWNERS > 2
		run Network(3);
		run LeaseExpiry(2);
		run Owner(3)
#endif
	}
}
