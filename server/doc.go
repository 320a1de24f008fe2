// Package server implements an entry VM. It serves the callers' and operators' APIs,
// owns the shards that it is elected for, and serves the calls of other entry VMs.
//
// New opens the listeners and builds the components. Run starts them; once its context is
// done, it hands the shards over, lets requests in flight end and closes the listeners.
//
// Hardest rules:
//   - A shard's owner runs for one term. It starts only after this process's owner of an
//     earlier term of the same shard has ended.
//   - The owner of a data centre's first shard also allocates the slots of the data
//     centre's executors.
//   - A call whose outcome is unknown is repeated only with a request id, since otherwise
//     a job could be accepted twice.
package server
