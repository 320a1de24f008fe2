// Package server implements an entry VM. It serves callers, operators and other
// entry VMs, and owns the shards that it is elected for.
//
// New opens the listeners and builds the components. Run starts them; once its context is
// done, it hands the shards over, lets requests in flight end and closes the listeners.
//
// Hardest rules:
//   - A shard's owner runs for one term. Before it starts, an owner of an earlier
//     term in the same process is stopped, unless that was deposed before.
//   - The owner of a data centre's first shard also allocates the slots of the data
//     centre's executors, unless it runs elsewhere because the data centre is lost.
//   - A call whose outcome is unknown is repeated only with a request id, since otherwise
//     a job could be accepted twice.
package server
