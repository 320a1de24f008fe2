// Package elector elects the entry VM that owns each shard, under terms that
// only rise.
//
// Each entry VM runs an Elector. New makes it; Run renews the VM's record and
// acquires shards until the context ends or a newer process of the VM has
// registered. Callbacks report each shard gained or lost. A planned stop calls
// Leave, then Resign for each shard once its journal is closed.
//
// A VM of the data centre takes a shard over when it has seen no renewal by the
// owner for a whole TTL of its own clock, while its connection to the store was
// unbroken. Two owners at a time are therefore rare but possible; workers and
// the journal refuse the older term. The shard's record in the store says who
// owns it, so a write whose response is lost counts if it shows there.
package elector
