package configurer

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"filberthaven.example/keeper"
	"filberthaven.example/messenger"
	qt "github.com/frankban/quicktest"
)

// revisionOf returns a revision whose only team is named after its number.
func revisionOf(c *qt.C, number uint64) *Revision {
	c.Helper()
	document := parseText(c, fmt.Sprintf("[centre \"a\"]\n[team \"team-%d\"]\n", number))
	r := &Revision{number: number, author: "ada", reason: "test", id: fmt.Sprint(number), document: document}
	c.Assert(r.encode(), qt.IsNil)
	return r
}

func assertRevision(c *qt.C, copied *Copy, number uint64) {
	c.Helper()
	c.Assert(copied.Revision(), qt.Equals, number)
	_, known := copied.Current().Team(fmt.Sprintf("team-%d", number))
	c.Assert(known, qt.IsTrue)
}

func TestCopy(t *testing.T) {
	c := qt.New(t)
	copied := NewCopy()
	c.Assert(copied.Revision(), qt.Equals, uint64(0))
	c.Assert(copied.Current(), qt.IsNil)
	var seen []uint64
	cancel := copied.Subscribe(func(r *Revision) { seen = append(seen, r.Number()) })

	c.Assert(copied.Offer(revisionOf(c, 2).Data()), qt.IsTrue)
	c.Run("older", func(c *qt.C) { c.Assert(copied.Offer(revisionOf(c, 1).Data()), qt.IsFalse) })
	c.Run("same", func(c *qt.C) { c.Assert(copied.Offer(revisionOf(c, 2).Data()), qt.IsFalse) })
	c.Run("damaged", func(c *qt.C) {
		data := revisionOf(c, 9).Data()
		for i := range data {
			damaged := slices.Clone(data)
			damaged[i] ^= 0x20
			c.Assert(copied.Offer(damaged), qt.IsFalse, qt.Commentf("byte %d", i))
			c.Assert(copied.Offer(data[:i]), qt.IsFalse, qt.Commentf("%d bytes", i))
		}
	})
	c.Run("no number", func(c *qt.C) { c.Assert(copied.Offer(revisionOf(c, 0).Data()), qt.IsFalse) })
	c.Run("empty", func(c *qt.C) {
		c.Assert(copied.Offer(nil), qt.IsFalse)
	})
	c.Run("deleted", func(*qt.C) { copied.Observe(keeper.NewEntry(LiveKey, nil, 9, true)) })
	c.Run("other key", func(c *qt.C) { copied.Observe(keeper.NewEntry("live/vm/1", revisionOf(c, 9).Data(), 9, false)) })
	assertRevision(c, copied, 2)

	copied.Observe(keeper.NewEntry(LiveKey, revisionOf(c, 5).Data(), 10, false))
	assertRevision(c, copied, 5)
	cancel()
	c.Assert(copied.Offer(revisionOf(c, 6).Data()), qt.IsTrue)
	c.Assert(seen, qt.DeepEquals, []uint64{2, 5})
	copied.Subscribe(func(r *Revision) { seen = append(seen, r.Number()) })
	c.Assert(seen, qt.DeepEquals, []uint64{2, 5, 6})
}

// vm is one entry VM's copy behind a server.
type vm struct {
	copied  *Copy
	address string
}

func newVM(c *qt.C, m *messenger.Messenger) vm {
	mux := http.NewServeMux()
	copied := NewCopy()
	copied.Handle(m, mux)
	server := httptest.NewServer(mux)
	c.Cleanup(server.Close)
	return vm{copied: copied, address: server.Listener.Addr().String()}
}

func TestExchange(t *testing.T) {
	c := qt.New(t)
	m, err := messenger.New()
	c.Assert(err, qt.IsNil)
	first, second := newVM(c, m), newVM(c, m)

	c.Run("nothing to fetch", func(c *qt.C) {
		number, err := first.copied.Fetch(t.Context(), m, second.address)
		c.Assert(err, qt.IsNil)
		c.Assert(number, qt.Equals, uint64(0))
	})
	c.Run("newer is fetched", func(c *qt.C) {
		second.copied.Offer(revisionOf(c, 3).Data())
		_, err := first.copied.Fetch(t.Context(), m, second.address)
		c.Assert(err, qt.IsNil)
		assertRevision(c, first.copied, 3)
	})
	c.Run("older is not fetched", func(c *qt.C) {
		first.copied.Offer(revisionOf(c, 4).Data())
		number, err := first.copied.Fetch(t.Context(), m, second.address)
		c.Assert(err, qt.IsNil)
		c.Assert(number, qt.Equals, uint64(3))
		assertRevision(c, first.copied, 4)
	})
	c.Run("push", func(c *qt.C) {
		number, err := first.copied.Push(t.Context(), m, second.address)
		c.Assert(err, qt.IsNil)
		c.Assert(number, qt.Equals, uint64(4))
		assertRevision(c, second.copied, 4)
	})
	c.Run("cut off from the service", func(c *qt.C) {
		second.copied.Offer(revisionOf(c, 5).Data())
		peers := func() []Peer { return []Peer{NewPeer("b", second.address)} }
		NewReplicator("a", first.copied, m, peers).fetchOne(t.Context())
		assertRevision(c, first.copied, 5)
	})
	c.Run("unreachable", func(c *qt.C) {
		peers := func() []Peer { return []Peer{NewPeer("b", second.address), NewPeer("c", "127.0.0.1:1")} }
		holdings := NewReplicator("a", first.copied, m, peers).VMRevisions(t.Context())
		c.Assert(holdings, qt.HasLen, 3)
		c.Assert(holdings[0].Revision(), qt.Equals, uint64(5))
		c.Assert(holdings[1].Revision(), qt.Equals, uint64(5))
		c.Assert(holdings[2].Err(), qt.IsNotNil)
	})
}
