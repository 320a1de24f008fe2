// Package journaler writes a shard's records in batches to the store (see package
// keeper) and reads them back for a new owner.
//
// The journal is a ring of slots, each holding one segment: a batch of records.
// Slots are overwritten by compare-and-swap and never deleted. A new owner first
// writes an opening segment to the next slot, so that an older owner's next write
// fails. A snapshot frees the slots of the segments that it covers.
package journaler
