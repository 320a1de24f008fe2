// Package planner decides what the fleet runs: which job is admitted, which task
// starts on which worker, and which run is stopped. It does no I/O, takes no lock
// and reads no clock; every call takes the time. The caller carries out the actions
// that Decide returns and reports their outcomes.
//
// A Planner serves one owner of the fleet. A new owner calls New, Restore with what
// the journal holds, and Configure. It then reports submissions, worker entries and
// heartbeats as they come and calls Decide after them. A Planner has no end: the next
// owner restores its own from the journal.
//
// The hardest rules:
//   - The journal comes first. No task of a job starts before the journal holds the
//     job, no task starts on a worker that the journal doesn't name, and callers see
//     the end of a job only once the journal holds it.
//   - A run keeps its capacity, and its task starts nowhere else, until the run has
//     certainly ended: the worker says so, the worker no longer has it, or its lease
//     has expired. This also holds for starts that got no answer. Without a ticket, the
//     worker's next incarnation may carry them out.
//   - After a takeover, runs that an earlier owner may have started stay allocated
//     until their worker answers or all older leases have expired.
//   - What a call shows of a worker holds for the incarnation that has answered it. Only
//     lists of runs name theirs, so a run that was not listed stays over a restart.
//   - A task that may have crashed its worker starts next on a worker of its own, and the
//     journal holds the crash before that.
//
// Times are durations on a monotonic clock that also counts while the VM is
// suspended; its origin doesn't matter. Arguments named wall are Unix milliseconds.
package planner
