// Package tracker keeps track of the entry VMs, workers and endpoints that run
// and that are about to be removed. It polls the platform's list of VMs, which
// lags, and exchanges heartbeats with the other entry VMs.
package tracker
