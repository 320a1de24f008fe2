// Package journaler writes a shard's records to the key-value service in groups,
// and replays them.
//
// The journal is a ring of slots that are overwritten by compare-and-swap and
// never deleted. A new owner's first write is an opening segment in the next
// slot, so that an older owner's next write fails. Snapshots free slots.
package journaler
