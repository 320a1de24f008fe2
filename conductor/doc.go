// Package conductor runs the fleet while its entry VM is the owner. It passes the
// updates of callers, operators and workers to the planner, writes the planner's
// state changes to the journal, and carries out the planner's actions.
//
// A Conductor lives for one ownership. New creates it. Run reads the journal, restores
// the planner, starts the watches of the store and decides until its context ends; then
// it closes the journal. Serve may be called at any time and refuses requests until the
// configuration is known. The next owner starts from the journal and from the runs that
// the workers report.
//
// The hardest rules:
//   - The journal comes first. A start is ordered only once the journal holds it. A
//     worker may forget the end of a run only once the journal holds that end. A
//     submission or cancellation is acknowledged only once the journal holds it.
//   - Nothing is decided, started or served while the ownership is in doubt or the
//     watches of the store get no answers.
//   - The planner knows when a lease expires before the worker gets the lease. After a
//     worker missed a call, its lease is not renewed before it has answered again.
//
// The planner takes no lock. Conductor.mu guards it and is not held during calls to
// workers.
package conductor
