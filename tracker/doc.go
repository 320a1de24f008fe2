// Package tracker knows which entry VMs, workers and endpoints live and which
// leave. It reads the platform's list, which lags, and exchanges heartbeats with
// the other entry VMs.
package tracker
