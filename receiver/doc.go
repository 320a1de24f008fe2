// Package receiver accepts callers' requests on every entry VM and forwards them to
// the owner of the fleet. It stores nothing, so that any VM may stop at any time.
//
// A Receiver is made once with New and lives as long as its VM. SetConductor tells it
// when the VM becomes the owner or ceases to be, Drain that the VM is about to stop.
//
//   - A request is repeated while no owner serves it, for ownerWait at most.
//   - If an attempt may have run the request and no attempt got a final response, the
//     caller gets status 504 and is not told that the request was not run.
//   - While an owner does not serve yet, a circuit breaker lets one request pass per
//     probeInterval.
package receiver
