// Package placer decides which worker runs which task. It uses no clock, network
// or lock: the caller passes in state and time and carries out the decisions.
package placer
