// Package dispatcher delivers orders from the owner of a shard to its workers
// and protects the workers from superseded and delayed owners by terms and
// leases.
//
// The owner sends batches of orders through a Dispatcher. At each worker a Guard
// checks the batches, passes their orders to the worker's Agent, and ends all runs
// when the lease expires.
//
// A worker refuses a term lower than the highest it has seen. Each response of a
// worker carries a token, which the next batch echoes. A lease runs from the
// time when the worker issued that token, by the worker's own clock, so that an
// owner that pauses between two steps does not extend the lease by the pause. A
// start also needs a token that is no older than maxStartTokenAge. Batches are
// numbered within a term, and a worker refuses a batch that arrives after a later
// one.
package dispatcher
