// Package granter divides teams' limits between shards, and executors' slots
// between entry VMs.
package granter
