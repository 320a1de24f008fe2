// Package journaler is the write-ahead journal of a shard. It writes the records of
// the shard's owner in batches to the store (see package keeper) and reads them back
// for the next owner.
//
// A Journaler serves one term of one owner. After New and SetSnapshotter, Open reads
// the journal and starts the writer; then Append and Enqueue take records. The journal
// ends with Close, with Abort, or on an error such as ErrDeposed when another owner has
// taken it over. Done and Err report the end.
//
// The journal is a ring of slots, each holding one segment: a batch of records.
//
//   - Slots are overwritten by compare-and-swap and never deleted. A new owner first
//     writes an opening segment to the next slot, so that an older owner's next write
//     fails.
//   - A write whose outcome is unknown is read back until the outcome is known. Only
//     then is the next segment written.
//   - A snapshot frees the slots of the segments that it covers. It becomes the newest
//     only when all records that its state may hold are in the journal, and is
//     discarded if one of them has failed.
package journaler
