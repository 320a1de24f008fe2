// Package dispatcher carries orders from the owner of a shard to its workers,
// under terms and leases.
//
// A worker refuses a term lower than the highest it has seen. Each answer of a
// worker carries a token, and a lease runs from the moment when the worker
// issued the token that the renewal echoes, by the worker's own clock: an owner
// that was paused between two of its steps can't prolong a lease by that pause.
// Batches are numbered within a term, so that a late one is refused.
package dispatcher
