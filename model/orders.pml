/*
 * Orders on the users' platform (the process entry): one task, two owners in turn, two
 * workers with room for one run each. An owner writes a start to the journal, orders it,
 * and holds the run on its worker until the run has certainly ended there. Only when it
 * holds no run of the task does it start the next one.
 *
 * Calls to workers may be answered, lost, executed without an answer, or executed late
 * and after newer calls. A worker may restart and then knows nothing. An owner may pause
 * or die between any two steps, and go on after its lease.
 *
 * Each of these flags removes one guard, and the checker must then find an error:
 *   NO_FENCE           workers execute calls of lower terms
 *   NO_RUN_NUMBERS     workers start a run that isn't higher than one stopped or ended
 *   NO_JOURNAL_FIRST   a start is ordered before the journal holds it
 *   NO_INHERIT         a new owner doesn't hold the runs that the journal names
 *   NO_STOP_ANSWER     a start without an answer is given up when its worker doesn't
 *                      list it, without an answered stop
 *   NO_OWNER_CHECK     an owner orders starts without a check of its own lease
 *   NO_HEARTBEAT_CHECK the same for the leases that its heartbeats grant
 *   NO_CLOCK_BOUND     a heartbeat's lease ends later, by the worker's clock, than its owner
 *                      counts; one that is executed late is not shortened by the worker
 *   NO_STORED_ACK      ends are acknowledged before the journal holds them
 *   NO_LATE_DONE       the end "done" of a run that the owner has given up doesn't count
 *                      while it holds another run of the task
 *   BEGUN_BY_ORDER     a task counts as begun once its start is ordered
 *
 * With SAME_ID, a restarted worker executes starts that were sent to its earlier
 * incarnation, and their leases run by the clock of the new one. Then a start that may
 * not have been executed is held until no call sent before can arrive any more. These
 * flags remove that wait, or a part of it:
 *   NO_DELAY           in all cases
 *   NO_INHERITED_DELAY for the starts of an earlier owner
 *   NO_STOPPED_DELAY   after an answered stop
 *   NO_EXPIRED_DELAY   after the lease, unless a restart was noticed
 *   NO_DELAYED_LEASE   for the lease of a start that is executed at the last moment
 *   NO_LISTED          an answered start, whose answer names no incarnation, counts as
 *                      executed by the incarnation that the owner knows
 *   NO_ACK_GAP         heartbeats acknowledge ends of the incarnation that the owner knows
 *                      to a worker that may have restarted
 */

#ifndef RUNS
#define RUNS 2     /* highest run number */
#endif
#ifndef RESTARTS
#define RESTARTS 1 /* restarts of workers, in all */
#endif
#define OWNERS  2  /* with terms 1 and 2 */
#define WORKERS 2

/* Phases of a run that an owner holds on a worker. */
#define NONE          0
#define DECIDED       1
#define JOURNALED     2 /* the journal holds the start */
#define ORDERED       3 /* the order was sent and may still be answered */
#define UNANSWERED    4 /* no answer in time; it may be executed later */
#define RUNNING       5
#define STOP_ANSWERED 6
#define INHERITED     7 /* a start in the journal, of an earlier owner */

/* What a worker's lease rests on. */
#define GRANTED 0 /* a call that the owners count, as usual */
#define STRAY   1 /* a call whose lease no owner counts, or not to its end: most often one sent
                   * by an owner after its successor's claim */
#define DELAYED 2 /* a start sent to the worker's earlier incarnation */

/* The store. An owner takes the journal over together with the claim: it reads all that
 * its predecessor wrote, and nothing that the predecessor writes later counts. How the
 * journal ensures that is in ownership.pml. */
byte claimed = 0;        /* newest term */
byte journal_run = 0;    /* newest start */
byte journal_worker = 0;
bool journal_ended;      /* of that run */
bool journal_done;       /* some run of the task has ended as done */
bool journal_begun;

/* Workers. */
byte fence[WORKERS];
byte current[WORKERS];     /* run; 0: none */
byte refused_to[WORKERS];  /* highest run stopped or ended */
byte incarnation[WORKERS];
byte lease_term[WORKERS];  /* highest term that has granted the lease */
byte lease_kind[WORKERS];
byte serial[WORKERS];      /* of the newest end */
byte forgotten[WORKERS];   /* ends up to this serial are forgotten */
byte end_run[WORKERS * RUNS];  /* by serial */
bool end_done[WORKERS * RUNS];
byte restarts = 0;

/* Owners, by term. */
byte last_run[OWNERS + 1];
bool done[OWNERS + 1];
bool begun[OWNERS + 1];         /* what the owner tells callers */
/* Owners, by term and worker. */
#define PAIRS ((OWNERS + 1) * WORKERS)
byte held[PAIRS];          /* run that may be on the worker; 0: none */
byte phase[PAIRS];
bool answered[PAIRS];      /* the known incarnation has answered this owner */
byte known_inc[PAIRS];
bool listed[PAIRS];        /* the known incarnation has listed the run */
bool restarted[PAIRS];     /* a restart was noticed while the start had no answer */
bool no_calls[PAIRS];      /* no start sent to the worker before can still arrive */
byte listed_serial[PAIRS];
byte stored_serial[PAIRS];
byte unstored_end[PAIRS];  /* highest run whose end was listed and is not in the journal; 0: none */
bool unstored_done[PAIRS]; /* one of these ends is "done" */

/* Starts in flight, by term and run. */
#define CALLS ((OWNERS + 1) * RUNS)
bool start_sent[CALLS];
byte start_worker[CALLS];
byte start_inc[CALLS];     /* incarnation by whose clock its lease ends */
bool start_late[CALLS];    /* that end has passed */
bool start_stray[CALLS];

/* What has happened, for the assertions. */
bool has_begun;            /* a worker has begun a run */
bool acknowledged;         /* a worker was told to forget an end "done" */

#define P(t, w) ((t) * WORKERS + (w))
#define C(t, n) ((t) * RUNS + (n) - 1)
#define E(w, s) ((w) * RUNS + (s) - 1)
#define MAX(a, b) ((a) > (b) -> (a) : (b))

#ifdef NO_FENCE
#define FENCE_OK(t, w) true
#else
#define FENCE_OK(t, w) ((t) >= fence[w])
#endif
#ifdef NO_RUN_NUMBERS
#define NUMBER_OK(n, w) true
#else
#define NUMBER_OK(n, w) ((n) > refused_to[w])
#endif
#ifdef SAME_ID
#define REACHES(inc, w) true
#else
#define REACHES(inc, w) ((inc) == incarnation[w])
#endif

/* The owner's lease certainly runs, so that nobody else can have claimed. */
#define OWNS(t) (claimed == (t))
#ifdef NO_OWNER_CHECK
#define MAY_ORDER(t) (claimed >= (t))
#else
#define MAY_ORDER(t) OWNS(t)
#endif
#ifdef NO_HEARTBEAT_CHECK
#define MAY_GRANT(t) (claimed >= (t))
#else
#define MAY_GRANT(t) OWNS(t)
#endif

/* With SAME_ID, a start that may not have been executed is held until no_calls. */
#if !defined(SAME_ID) || defined(NO_DELAY)
#define EXPIRY_OVER(p) true
#define ANSWER_OVER(p) true
#else
#ifdef NO_EXPIRED_DELAY
#define EXPIRED_NOW(p) ((phase[p] == UNANSWERED || phase[p] == STOP_ANSWERED) && !restarted[p])
#else
#define EXPIRED_NOW(p) false
#endif
#ifdef NO_STOPPED_DELAY
#define STOPPED_NOW(p) (phase[p] == STOP_ANSWERED)
#else
#define STOPPED_NOW(p) false
#endif
#ifdef NO_INHERITED_DELAY
#define INHERITED_NOW(p) (phase[p] == INHERITED)
#else
#define INHERITED_NOW(p) false
#endif
/* Whether a held run may be given up when its lease has expired, and when its worker has
 * answered and doesn't list it. */
#define EXPIRY_OVER(p) (phase[p] == RUNNING || no_calls[p] || EXPIRED_NOW(p) || INHERITED_NOW(p))
#define ANSWER_OVER(p) (phase[p] == RUNNING || no_calls[p] || STOPPED_NOW(p) || INHERITED_NOW(p))
#endif

inline release(p) {
	held[p] = 0; phase[p] = NONE; restarted[p] = false; no_calls[p] = false; listed[p] = false
}

inline drop_start(c) {
	start_sent[c] = false; start_worker[c] = 0; start_inc[c] = 0; start_late[c] = false; start_stray[c] = false
}

/* A run ends at its worker. */
inline end_at_worker(w, is_done) {
	serial[w]++;
	end_run[E(w, serial[w])] = current[w];
	end_done[E(w, serial[w])] = is_done;
	refused_to[w] = MAX(refused_to[w], current[w]);
	current[w] = 0
}

/* An owner learns of a worker's restart. Its runs there have ended, except starts that
 * may still reach the new incarnation. */
inline notice_restart(p, w) {
	known_inc[p] = incarnation[w];
	answered[p] = false;
	listed_serial[p] = 0;
	stored_serial[p] = 0;
	if
	:: held[p] == 0 -> skip
#ifndef NO_DELAY
	:: phase[p] >= DECIDED && phase[p] <= UNANSWERED -> restarted[p] = true
#ifdef SAME_ID
	:: phase[p] >= STOP_ANSWERED && !STOPPED_NOW(p) && !INHERITED_NOW(p) -> skip
#ifndef NO_LISTED
	:: phase[p] == RUNNING && !listed[p] -> skip
#endif
#endif
#endif
	:: else -> release(p)
	fi;
	listed[p] = false
}

/* The owner counts a lease of unknown end from the answer that tells it of the run. */
inline count_lease(t, w) {
	if
	:: lease_kind[w] == DELAYED && lease_term[w] <= t -> lease_kind[w] = GRANTED
	:: else -> skip
	fi
}

/* A worker executes a start. Sets executed if the run is there afterwards. */
inline execute_start(t, n, w) {
	executed = false;
	if
	:: REACHES(start_inc[c], w) && FENCE_OK(t, w) ->
		fence[w] = MAX(fence[w], t);
		other_clock = (start_inc[c] != incarnation[w]);
		if
		:: other_clock || !start_late[c] ->
			lease_term[w] = MAX(lease_term[w], t);
			if
			:: other_clock -> lease_kind[w] = DELAYED
			:: !other_clock && start_stray[c] -> lease_kind[w] = STRAY
			:: else -> skip
			fi;
			if
			:: current[w] != n && NUMBER_OK(n, w) ->
				assert(current[w] == 0);     /* no worker over its capacity */
				assert(current[1 - w] == 0); /* no task in two places */
				current[w] = n;
				has_begun = true
			:: else -> skip
			fi
		:: else -> skip
		fi;
		executed = (current[w] == n);
		other_clock = false
	:: else -> skip
	fi;
	drop_start(c)
}

/* Delivers the starts of an owner under one run number. */
proctype Network(byte t; byte n) {
	byte c = C(t, n);
	byte w;
	bool executed, other_clock;
	do
	:: d_step { start_sent[c] -> /* executed; the answer is lost or too late */
		w = start_worker[c];
		execute_start(t, n, w);
		executed = false; w = 0
	}
	:: d_step { start_sent[c] && OWNS(t) && phase[P(t, start_worker[c])] == ORDERED && held[P(t, start_worker[c])] == n ->
		w = start_worker[c]; /* executed and answered */
		execute_start(t, n, w);
		if
		:: executed ->
			count_lease(t, w);
			phase[P(t, w)] = RUNNING;
			restarted[P(t, w)] = false;
			begun[t] = true;
			assert(has_begun)
		:: else -> release(P(t, w))
		fi;
		executed = false; w = 0
	}
	:: d_step { start_sent[c] -> drop_start(c) } /* lost */
	od
}

proctype Worker(byte w) {
	do
	:: d_step { current[w] != 0 -> end_at_worker(w, true) }
	:: d_step { current[w] != 0 -> end_at_worker(w, false) } /* failed, stopped or lease expired */
	:: d_step { restarts < RESTARTS ->
		restarts++;
		incarnation[w]++;
		current[w] = 0; fence[w] = 0; refused_to[w] = 0; lease_term[w] = 0; lease_kind[w] = GRANTED;
		serial[w] = 0; forgotten[w] = 0;
		end_run[E(w, 1)] = 0; end_done[E(w, 1)] = false;
		end_run[E(w, 2)] = 0; end_done[E(w, 2)] = false
#if RUNS > 2
		; end_run[E(w, 3)] = 0; end_done[E(w, 3)] = false
#endif
	}
	od
}

/* A worker executes a heartbeat: fence, lease, acknowledged ends. Only a worker that has
 * answered the owner is granted a lease, for a run that it may have. */
inline execute_heartbeat(t, w) {
	fence[w] = MAX(fence[w], t);
	if
	:: answered[p] && held[p] != 0 ->
		lease_term[w] = MAX(lease_term[w], t);
		if
		:: !OWNS(t) -> lease_kind[w] = STRAY
		:: else -> skip
		fi
	:: else -> skip
	fi;
	do
#ifdef NO_STORED_ACK
	:: forgotten[w] < serial[w] && forgotten[w] < listed_serial[p] ->
#else
	:: forgotten[w] < serial[w] && forgotten[w] < stored_serial[p] ->
#endif
		forgotten[w]++;
		acknowledged = acknowledged || end_done[E(w, forgotten[w])];
		end_run[E(w, forgotten[w])] = 0; end_done[E(w, forgotten[w])] = false
	:: else -> break
	od
}

/* The owner applies an end that the worker lists. */
inline apply_end(t, w, n, is_done) {
	begun[t] = true;
	assert(has_begun);
	last_run[t] = MAX(last_run[t], n);
	unstored_end[p] = MAX(unstored_end[p], n);
	unstored_done[p] = unstored_done[p] || is_done;
	if
	:: held[p] == n ->
		release(p);
		done[t] = done[t] || is_done
#ifdef NO_LATE_DONE
	:: held[p] != n && (held[p] != 0 || held[P(t, 1 - w)] != 0) -> skip
#endif
	:: else -> done[t] = done[t] || is_done
	fi
}

/* The owner applies a worker's answer to a heartbeat: the ends, then what runs. */
inline apply_answer(t, w) {
	answered[p] = true;
	do
	:: listed_serial[p] < serial[w] ->
		listed_serial[p]++;
		if
		:: listed_serial[p] > forgotten[w] -> apply_end(t, w, end_run[E(w, listed_serial[p])], end_done[E(w, listed_serial[p])])
		:: else -> skip
		fi
	:: else -> break
	od;
	if
	:: current[w] != 0 ->
		count_lease(t, w);
		begun[t] = true;
		assert(has_begun);
		last_run[t] = MAX(last_run[t], current[w])
	:: else -> skip
	fi;
	if
	:: current[w] != 0 && held[p] == 0 -> held[p] = current[w]; phase[p] = RUNNING; listed[p] = true /* given up before, or not known */
	:: current[w] != 0 && held[p] == current[w] && (phase[p] <= ORDERED || phase[p] == INHERITED) -> phase[p] = RUNNING; restarted[p] = false; listed[p] = true
	:: current[w] != 0 && held[p] == current[w] && phase[p] == RUNNING -> listed[p] = true
	:: held[p] != 0 && current[w] != held[p] && phase[p] >= RUNNING && ANSWER_OVER(p) -> release(p)
#ifdef NO_STOP_ANSWER
	:: held[p] != 0 && current[w] != held[p] && phase[p] == UNANSWERED -> release(p)
#endif
	:: else -> skip
	fi
}

/* All leases that the owner knows of have expired at the worker: its own, and those of
 * the owner before it, which sent its last calls before the claim. */
inline expire_leases(t, w) {
	if
	:: current[w] != 0 && lease_term[w] <= t && lease_kind[w] == GRANTED -> end_at_worker(w, false)
	:: else -> skip
	fi;
	i = C(1, 1);
	do
	:: i <= C(t, RUNS) ->
		start_late[i] = start_late[i] || start_sent[i] && start_worker[i] == w && !start_stray[i];
		i++
	:: else -> break
	od;
	i = 0
}

/* No start that the owner knows of can still reach a later incarnation of the worker, and
 * the lease of one that has is counted from now on. */
inline end_delay(t, w) {
	no_calls[p] = true;
#ifndef NO_DELAYED_LEASE
	count_lease(t, w);
#endif
	i = C(1, 1);
	do
	:: i <= C(t, RUNS) ->
		if
		:: start_sent[i] && start_worker[i] == w && !start_stray[i] -> drop_start(i)
		:: else -> skip
		fi;
		i++
	:: else -> break
	od;
	i = 0
}

inline store_start(t, w) {
	journal_run = held[p]; journal_worker = w; journal_ended = false;
	journal_begun = journal_begun || begun[t]
}

/* What an owner does at one worker. */
proctype Owner(byte t; byte w) {
	byte p = P(t, w);
	byte i;
	do
	/* Starts. The first one is at worker 0, since the workers are alike. */
	:: d_step { OWNS(t) && !done[t] && held[P(t, 0)] == 0 && held[P(t, 1)] == 0 && last_run[t] < RUNS && answered[p] && (w == 0 || last_run[t] > 0) ->
		last_run[t]++;
		held[p] = last_run[t];
#ifdef NO_JOURNAL_FIRST
		phase[p] = JOURNALED
#else
		phase[p] = DECIDED
#endif
	}
	:: d_step { OWNS(t) && phase[p] == DECIDED ->
		store_start(t, w);
		phase[p] = JOURNALED
	}
#ifdef NO_JOURNAL_FIRST
	:: d_step { OWNS(t) && held[p] > journal_run -> store_start(t, w) }
#endif
	:: d_step { OWNS(t) && phase[p] == JOURNALED -> release(p) } /* withdrawn */
	:: d_step { phase[p] == JOURNALED && !done[t] && MAY_ORDER(t) ->
		assert(!acknowledged); /* no start after an acknowledged "done" */
		start_sent[C(t, held[p])] = true;
		start_worker[C(t, held[p])] = w;
		start_inc[C(t, held[p])] = known_inc[p];
		start_stray[C(t, held[p])] = !OWNS(t);
#ifdef BEGUN_BY_ORDER
		begun[t] = true;
		assert(has_begun);
#endif
		phase[p] = ORDERED
	}
	:: d_step { OWNS(t) && phase[p] == ORDERED -> phase[p] = UNANSWERED }
	/* A stop that is executed and answered. One that is executed without an answer, or
	 * late, adds nothing: it ends a run that may end at any time, or makes a worker
	 * refuse a start that may be lost. The run ends some time after the answer. */
	:: d_step { OWNS(t) && phase[p] == UNANSWERED && known_inc[p] == incarnation[w] && FENCE_OK(t, w) ->
		fence[w] = MAX(fence[w], t);
		refused_to[w] = MAX(refused_to[w], held[p]);
		phase[p] = STOP_ANSWERED
	}
	/* Heartbeats. One that is executed late adds nothing: its lease has an absolute end,
	 * which the owner counts. */
	:: d_step { MAY_GRANT(t) && known_inc[p] == incarnation[w] && FENCE_OK(t, w) ->
		execute_heartbeat(t, w);
#ifdef NO_CLOCK_BOUND
		if
		:: answered[p] && held[p] != 0 -> lease_kind[w] = STRAY
		:: else -> skip
		fi;
#endif
		skip
	}
	:: d_step { OWNS(t) && known_inc[p] == incarnation[w] && FENCE_OK(t, w) ->
		execute_heartbeat(t, w);
		apply_answer(t, w)
	}
	/* Ends. */
	:: d_step { OWNS(t) && unstored_end[p] != 0 ->
		journal_ended = journal_ended || unstored_end[p] == journal_run;
		journal_done = journal_done || unstored_done[p];
		journal_begun = journal_begun || begun[t];
		unstored_end[p] = 0;
		unstored_done[p] = false;
		stored_serial[p] = listed_serial[p]
	}
	/* Waits. */
	:: d_step { OWNS(t) && held[p] != 0 && phase[p] >= UNANSWERED && EXPIRY_OVER(p) ->
		expire_leases(t, w);
		release(p)
	}
#ifdef SAME_ID
	:: d_step { OWNS(t) && held[p] != 0 && phase[p] >= UNANSWERED && phase[p] != RUNNING && !no_calls[p] -> end_delay(t, w) }
#endif
#ifdef SAME_ID
	/* A heartbeat that the next incarnation answers, whose list names it. */
	:: d_step { OWNS(t) && known_inc[p] != incarnation[w] && FENCE_OK(t, w) ->
#ifndef NO_ACK_GAP
		stored_serial[p] = 0;
#endif
		execute_heartbeat(t, w);
		notice_restart(p, w);
		apply_answer(t, w)
	}
#endif
	/* The store lists a new incarnation. */
	:: d_step { OWNS(t) && known_inc[p] != incarnation[w] -> notice_restart(p, w) }
	od
}

/* Resets what has no effect any more, to save states: only the calls of a superseded
 * owner count. Where a guard is removed, it may go on to make some. */
inline forget_owner(t) {
	last_run[t] = 0; done[t] = false; begun[t] = false;
	forget_pair(P(t, 0));
	forget_pair(P(t, 1))
}

inline forget_pair(p) {
	restarted[p] = false; no_calls[p] = false; listed[p] = false; unstored_end[p] = 0; unstored_done[p] = false;
	listed_serial[p] = 0; stored_serial[p] = 0;
#if !defined(NO_OWNER_CHECK) && !defined(NO_HEARTBEAT_CHECK)
	held[p] = 0; phase[p] = NONE; answered[p] = false; known_inc[p] = 0
#else
	if
	:: phase[p] != JOURNALED && phase[p] != RUNNING -> held[p] = 0; phase[p] = NONE
	:: else -> skip
	fi
#endif
}

/* A claim, once the previous owner's lease has expired, and the replay of the journal. */
proctype Claim(byte t) {
	d_step { claimed == t - 1 ->
		claimed = t;
		last_run[t] = journal_run;
		done[t] = journal_done;
		begun[t] = journal_begun;
		assert(!begun[t] || has_begun); /* what callers are told is true */
#ifndef NO_INHERIT
		if
		:: journal_run != 0 && !journal_ended && !journal_done ->
			held[P(t, journal_worker)] = journal_run;
			phase[P(t, journal_worker)] = INHERITED
		:: else -> skip
		fi;
#endif
		known_inc[P(t, 0)] = incarnation[0];
		known_inc[P(t, 1)] = incarnation[1];
		forget_owner(t - 1)
	}
}

init {
	atomic {
		run Worker(0);
		run Worker(1);
		run Claim(1);
		run Claim(2);
		run Owner(1, 0);
		run Owner(1, 1);
		run Owner(2, 0);
		run Owner(2, 1);
		run Network(1, 1);
		run Network(1, 2);
		run Network(2, 1);
		run Network(2, 2)
#if RUNS > 2
		;
		run Network(1, 3);
		run Network(2, 3)
#endif
	}
}
