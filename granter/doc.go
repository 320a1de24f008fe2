// Package granter divides teams' limits between shards, and executors' slots
// between entry VMs.
//
// Each shard's owner has a QuotaAllocator. Run loads the records that all
// shards share in the store and changes the shard's own quotas in them by
// compare-and-swap, until the context ends or a newer owner has written. An
// owner has no quota until its term is in the record. While the outcome of a
// write is unknown, the smaller of the old and the new quota counts. In the
// record, a quota never shrinks below what runs.
//
// The owner of a data centre's first shard has a SlotAllocator, which allocates
// between Begin and End. Each entry VM, called a holder, has a SlotPool, which
// reports to the allocator and applies the grants in the response. The journal
// covers a grant before the holder receives it. Slots of a holder become free
// only when it acknowledges smaller grants or its incarnation has ended.
package granter
