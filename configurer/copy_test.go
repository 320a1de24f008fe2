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

// newTestRevision returns a revision whose only team is named after the number.
func newTestRevision(c *qt.C, number uint64) *Revision {
	c.Helper()
	document := parseText(c, fmt.Sprintf("[centre \"a\"]\n[team \"team-%d\"]\n", number))
	r := &Revision{number: number, author: "ada", reason: "test", id: fmt.Sprint(number), document: document}
	c.Assert(r.encode(), qt.IsNil)
	return r
}

// assertRevision checks that the revision made by newTestRevision is in force.
func assertRevision(c *qt.C, configCopy *Copy, number uint64) {
	c.Helper()
	c.Assert(configCopy.Revision(), qt.Equals, number)
	_, known := configCopy.Current().Team(fmt.Sprintf("team-%d", number))
	c.Assert(known, qt.IsTrue)
}

func TestCopy(t *testing.T) {
	c := qt.New(t)
	configCopy := NewCopy()
	c.Assert(configCopy.Revision(), qt.Equals, uint64(0))
	c.Assert(configCopy.Current(), qt.IsNil)
	var seen []uint64
	cancel := configCopy.Subscribe(func(r *Revision) { seen = append(seen, r.Number()) })

	c.Assert(configCopy.Offer(newTestRevision(c, 2).Data()), qt.IsTrue)
	c.Run("older", func(c *qt.C) { c.Assert(configCopy.Offer(newTestRevision(c, 1).Data()), qt.IsFalse) })
	c.Run("same", func(c *qt.C) { c.Assert(configCopy.Offer(newTestRevision(c, 2).Data()), qt.IsFalse) })
	c.Run("damaged", func(c *qt.C) {
		data := newTestRevision(c, 9).Data()
		for i := range data {
			damaged := slices.Clone(data)
			damaged[i] ^= 0x20
			c.Assert(configCopy.Offer(damaged), qt.IsFalse, qt.Commentf("byte %d", i))
			c.Assert(configCopy.Offer(data[:i]), qt.IsFalse, qt.Commentf("%d bytes", i))
		}
	})
	c.Run("no number", func(c *qt.C) { c.Assert(configCopy.Offer(newTestRevision(c, 0).Data()), qt.IsFalse) })
	c.Run("empty", func(c *qt.C) {
		c.Assert(configCopy.Offer(nil), qt.IsFalse)
	})
	c.Run("deleted", func(*qt.C) { configCopy.Observe(keeper.NewEntry(LiveKey, nil, 9, true)) })
	c.Run("other key", func(c *qt.C) {
		configCopy.Observe(keeper.NewEntry("live/vm/1", newTestRevision(c, 9).Data(), 9, false))
	})
	assertRevision(c, configCopy, 2)

	configCopy.Observe(keeper.NewEntry(LiveKey, newTestRevision(c, 5).Data(), 10, false))
	assertRevision(c, configCopy, 5)
	cancel()
	c.Assert(configCopy.Offer(newTestRevision(c, 6).Data()), qt.IsTrue)
	c.Assert(seen, qt.DeepEquals, []uint64{2, 5})
	configCopy.Subscribe(func(r *Revision) { seen = append(seen, r.Number()) })
	c.Assert(seen, qt.DeepEquals, []uint64{2, 5, 6})
}

// vm is the copy of an entry VM with a server that other entry VMs call.
type vm struct {
	configCopy *Copy
	address    string
}

func newVM(c *qt.C, m *messenger.Messenger) vm {
	mux := http.NewServeMux()
	configCopy := NewCopy()
	configCopy.Handle(m, mux)
	server := httptest.NewServer(mux)
	c.Cleanup(server.Close)
	return vm{configCopy: configCopy, address: server.Listener.Addr().String()}
}

func TestExchange(t *testing.T) {
	c := qt.New(t)
	m, err := messenger.New()
	c.Assert(err, qt.IsNil)
	first, second := newVM(c, m), newVM(c, m)

	c.Run("nothing to fetch", func(c *qt.C) {
		number, err := first.configCopy.Fetch(t.Context(), m, second.address)
		c.Assert(err, qt.IsNil)
		c.Assert(number, qt.Equals, uint64(0))
	})
	c.Run("newer is fetched", func(c *qt.C) {
		second.configCopy.Offer(newTestRevision(c, 3).Data())
		_, err := first.configCopy.Fetch(t.Context(), m, second.address)
		c.Assert(err, qt.IsNil)
		assertRevision(c, first.configCopy, 3)
	})
	c.Run("older is not fetched", func(c *qt.C) {
		first.configCopy.Offer(newTestRevision(c, 4).Data())
		number, err := first.configCopy.Fetch(t.Context(), m, second.address)
		c.Assert(err, qt.IsNil)
		c.Assert(number, qt.Equals, uint64(3))
		assertRevision(c, first.configCopy, 4)
	})
	c.Run("push", func(c *qt.C) {
		number, err := first.configCopy.Push(t.Context(), m, second.address)
		c.Assert(err, qt.IsNil)
		c.Assert(number, qt.Equals, uint64(4))
		assertRevision(c, second.configCopy, 4)
	})
	c.Run("newer is fetched from a random peer", func(c *qt.C) {
		second.configCopy.Offer(newTestRevision(c, 5).Data())
		peers := func() []Peer { return []Peer{NewPeer("b", second.address)} }
		NewReplicator("a", first.configCopy, m, peers).fetchFromRandomPeer(t.Context())
		assertRevision(c, first.configCopy, 5)
	})
	c.Run("unreachable", func(c *qt.C) {
		peers := func() []Peer { return []Peer{NewPeer("b", second.address), NewPeer("c", "127.0.0.1:1")} }
		revisions := NewReplicator("a", first.configCopy, m, peers).VMRevisions(t.Context())
		c.Assert(revisions, qt.HasLen, 3)
		c.Assert(revisions[0].Revision(), qt.Equals, uint64(5))
		c.Assert(revisions[1].Revision(), qt.Equals, uint64(5))
		c.Assert(revisions[2].Err(), qt.IsNotNil)
	})
}
