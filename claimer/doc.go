// Package claimer keeps an entry VM registered in the platform's store and claims the
// ownership of the fleet for it. It relies on the store's leases instead of heartbeat
// records: a key bound to a lease is deleted when its holder stops renewing it.
//
// A Claimer lives as long as its process. New creates it. Run registers the VM and
// claims whenever there is no owner; for each ownership it runs the function set by
// WithOnElected. Resign, ResignVM and ResignCentre end an ownership, after which the VM
// may claim again. Leave ends it for good.
//
// The hardest rules:
//   - A claim writes the owner's key only if the key is absent, and binds it to a lease.
//     So there is at most one owner's record at a time.
//   - The term of an ownership is the store's revision at which the claim was written, so
//     it only rises. All orders to workers carry it as their fence, or a later revision
//     that the owner has seen while it owned the fleet, which is lower than the next term.
//   - An owner counts the time of its lease from before it sent the last successful
//     renewal, by a clock that includes suspended time, and stops acting as the owner
//     leaseMargin early. When the next VM can claim, IsOwner already returns false.
//
// Claimer.mu guards the state of the ownership, and roster.mu the decoded records.
package claimer
