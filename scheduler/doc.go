// Package scheduler implements the owner of a shard: it accepts jobs, places their tasks
// on the workers of the shard by a placer's decisions, persists each change in a journal,
// and sends orders to the workers through a dispatcher.
//
// A Scheduler lives for one term. New makes it; Run replays the journal, closes
// the channel Ready, and serves until the context ends, Close has finished or another
// owner has taken over. Close persists everything, so that the next owner knows every
// run.
//
// Its main rules:
//   - A worker is fenced once it has accepted the term and reported its runs. Only a fenced
//     worker gets orders, and only while a recent proof of ownership exists: the journal or
//     a majority of the workers has accepted the term.
//   - A start order is sent once the start record is persisted. While the journal is down,
//     idempotent tasks start before that. A new owner therefore pauses idempotent jobs until
//     all workers are fenced or their leases have expired, unless its predecessor stopped
//     cleanly.
//   - A run counts as lost only when it certainly runs no more: its worker has restarted or
//     reports it no longer, is gone, or its lease has expired. A lost idempotent task runs
//     again, within limits; any other ends as unknown.
package scheduler
