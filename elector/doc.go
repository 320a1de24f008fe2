// Package elector decides which entry VM owns a shard, with terms that only rise.
package elector
