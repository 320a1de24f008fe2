// Package scheduler runs a shard as its owner: the queue, the workers and their tasks.
package scheduler
