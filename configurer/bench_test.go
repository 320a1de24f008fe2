package configurer

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/keeper"
	"filberthaven.example/loader"
	"filberthaven.example/messenger"
	qt "github.com/frankban/quicktest"
)

// Expected size of the fleet in two years.
const (
	teamCount    = 590
	keysPerTeam  = 3
	centreCount  = 7
	entryVMCount = 9
)

// largeFleetText returns the declarations of the fleet of the expected size.
func largeFleetText() string {
	var blocks []loader.Block
	for i := range centreCount {
		blocks = append(blocks, loader.NewBlock("centre", fmt.Sprintf("centre-%d", i), loader.NewPair("shards", "4")))
	}
	for i := range teamCount {
		team := fmt.Sprintf("team-%03d", i)
		blocks = append(blocks, loader.NewBlock("team", team,
			loader.NewPair("share", "2.5"), loader.NewPair("limit", "400"), loader.NewPair("slots", "80")))
		for j := range keysPerTeam {
			blocks = append(blocks, loader.NewBlock("key", fmt.Sprintf("%012x", i*keysPerTeam+j),
				loader.NewPair("hash", fmt.Sprintf("%x", sha256.Sum256([]byte{byte(i), byte(i >> 8), byte(j)}))), loader.NewPair("team", team),
				loader.NewPair("note", "the office of the team, second shift")))
		}
	}
	return string(loader.Encode(blocks))
}

// BenchmarkDecodeRevision measures the decoding of a revision, which each entry VM does for
// each change.
func BenchmarkDecodeRevision(b *testing.B) {
	c := qt.New(b)
	w := NewWriter(emulator.NewStore().KV(), NewCopy())
	_, err := w.Apply(b.Context(), 0, parseText(c, largeFleetText()), "ada", "all teams")
	c.Assert(err, qt.IsNil)
	data := w.copy.Latest().Data()
	b.ReportAllocs()
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if _, err := DecodeRevision(data); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkResolver measures the look-up of a team's limit and slots, as for an admission.
func BenchmarkResolver(b *testing.B) {
	document := parseText(qt.New(b), largeFleetText())
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		r := document.At(now)
		if r.Limit("team-500")+r.Slots("team-500") == 0 {
			b.Fatal("no limit")
		}
	}
}

// BenchmarkSpread measures the time from a change until it is in force on nine entry VMs.
func BenchmarkSpread(b *testing.B) {
	c := qt.New(b)
	m, err := messenger.New()
	c.Assert(err, qt.IsNil)
	store := emulator.NewStore()
	var peers []Peer
	for i := range entryVMCount - 1 {
		id, peer := fmt.Sprintf("entry-%d", i+2), newVM(c, m)
		peers = append(peers, NewPeer(id, peer.address))
		mirror := keeper.NewMirror(store.Client(id).KV(), "live/")
		mirror.Subscribe(LiveKey, peer.configCopy.Observe)
		go func() { _ = mirror.Run(b.Context()) }()
	}
	configCopy := NewCopy()
	w := NewWriter(store.KV(), configCopy)
	replicator := NewReplicator("entry-1", configCopy, m, func() []Peer { return peers })
	_, err = w.Apply(b.Context(), 0, parseText(c, largeFleetText()), "ada", "all teams")
	c.Assert(err, qt.IsNil)
	var durations []time.Duration
	for b.Loop() {
		start := time.Now()
		_, err := w.Change(b.Context(), "ada", "power", func(d *Document) (*Document, error) { return d.withVM("w", "power") })
		c.Assert(err, qt.IsNil)
		for _, vmRevision := range replicator.Replicate(b.Context()) {
			c.Assert(vmRevision.Revision(), qt.Equals, configCopy.Revision())
		}
		durations = append(durations, time.Since(start))
	}
	slices.Sort(durations)
	b.ReportMetric(float64(durations[len(durations)*99/100].Milliseconds()), "p99-ms")
}
