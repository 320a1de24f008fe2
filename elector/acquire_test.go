package elector

import (
	"encoding/json"
	"testing"

	"filberthaven.example/emulator"
	"filberthaven.example/keeper"
	qt "github.com/frankban/quicktest"
)

// TestAcquireVacantRecordOnly guards against an acquisition of a shard that another VM
// has acquired since it was found vacant. A record that could not be read has a version
// and no owner.
func TestAcquireVacantRecordOnly(t *testing.T) {
	c := qt.New(t)
	kv := emulator.NewStore().KV()
	mirror := keeper.NewMirror(kv, "live/")
	e, err := New(kv, mirror, NewVM("a", 1, "a:1", "pianura-a"))
	c.Assert(err, qt.IsNil)
	const key = shardPrefix + "pianura-a.0"
	put := func(record shardRecord, expect uint64) uint64 {
		value, err := json.Marshal(record)
		c.Assert(err, qt.IsNil)
		version, err := kv.Put(t.Context(), key, value, expect, 0)
		c.Assert(err, qt.IsNil)
		mirror.Merge(keeper.NewEntry(key, value, version, false))
		return version
	}
	first := put(shardRecord{Owner: "dead", Incarnation: 1, Term: 1}, 0)
	vacant, version, _ := e.record("pianura-a.0")
	c.Assert(version, qt.Equals, first)
	put(shardRecord{Owner: "b", Incarnation: 1, Term: 2}, first)

	e.acquire(t.Context(), "pianura-a.0", vacant, version)

	entry, err := kv.Get(t.Context(), key)
	c.Assert(err, qt.IsNil)
	stored, _ := decodeRecord[shardRecord](entry)
	c.Assert(stored.Owner, qt.Equals, "b")
	c.Assert(stored.Term, qt.Equals, uint64(2))
}
