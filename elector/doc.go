// Package elector elects the entry VM that owns each shard, under terms that
// only rise.
//
// Each entry VM renews a record of its own. Another VM of the data centre takes
// a shard over when it has seen no renewal by the owner for a whole TTL of its
// own clock, while its connection to the store was unbroken. Two owners at a
// time are therefore rare but possible; workers and the journal refuse the
// older term.
package elector
