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

// Sizes of the fleet in two years.
const (
	manyTeams   = 590
	keysPerTeam = 3
	manyCentres = 7
	entryVMs    = 9
)

// manyText returns the declarations of the fleet in two years.
func manyText() string {
	var blocks []loader.Block
	for i := range manyCentres {
		blocks = append(blocks, loader.NewBlock("centre", fmt.Sprintf("centre-%d", i), loader.NewPair("shards", "4")))
	}
	for i := range manyTeams {
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

// BenchmarkDecodeRevision is what each entry VM spends on a change.
func BenchmarkDecodeRevision(b *testing.B) {
	c := qt.New(b)
	w := NewWriter(emulator.NewStore().KV(), NewCopy())
	_, err := w.Apply(b.Context(), 0, parseText(c, manyText()), "ada", "all teams")
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

// BenchmarkResolver is what an admission asks.
func BenchmarkResolver(b *testing.B) {
	document := parseText(qt.New(b), manyText())
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		r := document.At(now)
		if r.Limit("team-500")+r.Slots("team-500") == 0 {
			b.Fatal("no limit")
		}
	}
}

// BenchmarkSpread is the time from a change's arrival until it is in force on nine entry VMs.
func BenchmarkSpread(b *testing.B) {
	c := qt.New(b)
	m, err := messenger.New()
	c.Assert(err, qt.IsNil)
	store := emulator.NewStore()
	var peers []Peer
	for i := range entryVMs - 1 {
		id, vm := fmt.Sprintf("entry-%d", i+2), newVM(c, m)
		peers = append(peers, NewPeer(id, vm.address))
		mirror := keeper.NewMirror(store.Client(id).KV(), "live/")
		mirror.Subscribe(LiveKey, vm.copied.Observe)
		go func() { _ = mirror.Run(b.Context()) }()
	}
	copied := NewCopy()
	w := NewWriter(store.KV(), copied)
	spreader := NewReplicator("entry-1", copied, m, func() []Peer { return peers })
	_, err = w.Apply(b.Context(), 0, parseText(c, manyText()), "ada", "all teams")
	c.Assert(err, qt.IsNil)
	var took []time.Duration
	for b.Loop() {
		start := time.Now()
		_, err := w.Change(b.Context(), "ada", "power", func(d *Document) (*Document, error) { return d.withVM("w", "power") })
		c.Assert(err, qt.IsNil)
		for _, holding := range spreader.Replicate(b.Context()) {
			c.Assert(holding.Revision(), qt.Equals, copied.Revision())
		}
		took = append(took, time.Since(start))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)*99/100].Milliseconds()), "p99-ms")
}
