// Package claimer keeps an entry VM registered at the platform's store and claims
// the ownership of the fleet for it. The store's leases replace renewal records:
// a key that is bound to a lease goes when its holder does.
//
// The term of an ownership is the store's revision at which the claim was
// written, so it only rises. It is the fence of all orders to workers.
package claimer
