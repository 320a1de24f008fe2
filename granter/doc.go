// Package granter divides limits between shards, and executors' slots between entry VMs.
package granter
