// Package journaler writes a shard's records to the key-value service in groups, and replays them.
package journaler
