// Package claimer keeps an entry VM registered in the platform's store and claims the
// ownership of the fleet for it. It relies on the store's leases instead of heartbeat
// records: a key bound to a lease is deleted when its holder stops renewing it.
//
// The term of an ownership is the store's revision at which the claim was written, so
// it only rises. All orders to workers carry it as their fence.
package claimer
