// Package scheduler implements the owner of a shard. It keeps the jobs and the workers of
// the shard, carries out the decisions of a placer, writes durable changes to a
// journal before they take effect, and sends orders to workers through a dispatcher.
package scheduler
