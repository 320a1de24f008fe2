// Package placer decides which worker runs which task of the jobs in one shard. It uses
// no clock, network or lock: the caller passes in state and time and carries out the
// decisions.
//
// New returns an empty Placer. The caller adds workers, teams and jobs, or restores those
// of a previous owner. It then calls Decide in a loop, and reports the end of each run with
// Finish and each start that could not be carried out with Unplace. A Placer needs no Close.
//
// The main rules are:
//
//   - Resources are allocated from the Start decision until Finish or Unplace, also when
//     the worker has been removed meanwhile.
//   - Urgent work goes first, then services, then gangs. Deferred and best-effort jobs
//     share the rest by weighted dominant shares; within a team, deferred jobs go by their
//     latest start.
//   - A gang that doesn't fit, and an urgent task that fits nowhere, reserve capacity that
//     running tasks will leave. Tasks may be preempted for it: they are ordered to
//     checkpoint and, if they don't end within the grace time, throttled and then stopped.
package placer
