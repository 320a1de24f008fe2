// Package tracker knows which entry VMs, workers and endpoints live and which leave.
package tracker
