// Package scheduler runs a shard as its owner: it keeps the jobs and the workers
// of the shard, drives the decisions of a placer, writes what must last to a
// journal before it takes effect, and orders workers through a dispatcher.
package scheduler
