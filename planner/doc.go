// Package planner decides what the fleet runs: which job is admitted, which task
// starts on which worker, and which run is stopped. It does no I/O and reads no
// clock; every call takes the time. The caller carries out the actions that
// Decide returns and reports their outcomes.
//
// Times are durations on a monotonic clock that also counts while the VM is
// suspended; its origin doesn't matter.
package planner
