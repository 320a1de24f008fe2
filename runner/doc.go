// Package runner runs one entry VM: it serves callers' requests, requests advice for
// the owner, and runs the fleet while this VM is the owner.
//
// New connects the parts of an entry VM, and Run serves until its context ends. The
// claimer calls runFleet at each election, with a context that ends with the ownership.
// Runner itself has no lock: its fields are set in New, and its parts are safe for
// concurrent use.
//
// A VM on which the fleet fails gives up the ownership, and all VMs of its data centre are
// deprioritized for a while. A VM that stops gives up the ownership first and keeps
// serving for the drain time, so that the load balancer can move callers without a
// failed request.
package runner
