// Package dispatcher delivers orders from the owner of a shard to its workers
// and protects the workers from superseded and delayed owners by terms and
// leases.
//
// A worker refuses a term lower than the highest it has seen. Each response of a
// worker carries a token, which the next batch echoes. A lease runs from the
// time when the worker issued that token, by the worker's own clock, so that an
// owner that pauses between two steps does not extend the lease by the pause.
// Batches are numbered within a term, and a worker refuses one that arrives
// after a later one.
package dispatcher
