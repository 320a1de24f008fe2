// Package tracker tells which entry VMs, workers and endpoints run or are about
// to be removed. It polls the platform's list of VMs, which lags, and exchanges
// heartbeats with the other entry VMs.
//
// New makes a Tracker; Register accepts heartbeats of peers, and Run polls the
// list and sends heartbeats until its context ends. A failed request leaves the
// copy of the list as it is.
//
// An older incarnation of a VM never replaces a newer one in the list or in
// heartbeats. A peer without heartbeats is suspected to be dead and later counts
// as dead, but only the list or a newer incarnation proves that it has ended.
package tracker
