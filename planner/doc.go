// Package planner decides what the fleet runs: which job is admitted, which task
// starts on which worker, and what is stopped. It does no input or output and
// reads no clock; every call takes the time. Its callers carry out the actions
// that Decide returns and tell it what came of them.
//
// Time is a steady clock that counts suspension, from any origin.
package planner
