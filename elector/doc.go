// Package elector decides which entry VM owns a shard, with terms that only rise.
//
// Each entry VM renews one record of its own. Another VM of the data centre takes
// a shard over when it has seen no renewal for a whole TTL by its own clock, in
// unbroken contact with the service. This makes two owners rare, not impossible:
// the workers and the journal refuse the older term.
package elector
