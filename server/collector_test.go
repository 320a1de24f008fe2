package server

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"filberthaven.example/configurer"
	"filberthaven.example/loader"
	"filberthaven.example/messenger"
	qt "github.com/frankban/quicktest"
)

// loadOf returns the load of an entry VM that owns one shard.
func loadOf(shard string, running, pending, inFlight int) VMLoad {
	return VMLoad{
		Shards: map[string]ShardLoad{shard: {
			Running: running, Pending: pending,
			Teams: map[string]TeamLoad{"cremona": {Used: int64(running) * 1000, Pending: pending}},
		}},
		Flight: map[string]int{"cremona": inFlight},
	}
}

// collectorFixture is a fleet of three entry VMs with the collector of the first. The first
// and the second own one shard each, the third owns none.
type collectorFixture struct {
	collector *Collector
	peers     []string
	now       time.Time
}

func newCollectorFixture(c *qt.C) *collectorFixture {
	m, err := messenger.New()
	c.Assert(err, qt.IsNil)
	f := &collectorFixture{now: time.Unix(0, 0)}
	for _, load := range []VMLoad{loadOf("pianura-b.0", 3, 1, 2), {}} {
		mux := http.NewServeMux()
		NewCollector(m, func() VMLoad { return load }, nil, nil).Handle(m, mux)
		server := httptest.NewServer(mux)
		c.Cleanup(server.Close)
		f.peers = append(f.peers, server.Listener.Addr().String())
	}
	shards := func() []string { return []string{"pianura-a.0", "pianura-b.0"} }
	f.collector = NewCollector(m, func() VMLoad { return loadOf("pianura-a.0", 5, 0, 4) }, func() []string { return f.peers }, shards)
	f.collector.now = func() time.Time { return f.now }
	return f
}

func TestCollect(t *testing.T) {
	c := qt.New(t)
	f := newCollectorFixture(c)
	status := Status{
		Fleet:   FleetStatus{Processors: 16_000},
		Teams:   []TeamStatus{{Name: "cremona"}, {Name: "mantova"}},
		Centres: []CentreStatus{{Name: "pianura-a"}, {Name: "pianura-b"}},
	}
	f.collector.Collect(t.Context()).Fill(&status)
	c.Assert(status, qt.DeepEquals, Status{
		Complete: true,
		Fleet:    FleetStatus{Processors: 16_000, Used: 8000, Running: 8, Pending: 1, Flight: 6},
		Teams:    []TeamStatus{{Name: "cremona", Part: 0.5, Used: 8000, Pending: 1, Flight: 6}, {Name: "mantova"}},
		Centres:  []CentreStatus{{Name: "pianura-a", Running: 5}, {Name: "pianura-b", Running: 3, Pending: 1}},
	})
}

func TestCollectUsage(t *testing.T) {
	c := qt.New(t)
	document, err := configurer.Parse(loader.NewFile("fleet.ini", []byte("[centre \"pianura-a\"]\n[centre \"pianura-b\"]\n[team \"cremona\"]\nlimit = 7\n")))
	c.Assert(err, qt.IsNil)
	usage := newCollectorFixture(c).collector.Collect(t.Context()).Usage()
	plan := configurer.NewPlan(1, document, document, usage, time.Unix(0, 0))
	c.Assert(plan.Effects(), qt.HasLen, 1)
	c.Assert(plan.Effects()[0], qt.Matches, "team cremona runs 8 processors, over its limit of 7: .*")
}

func TestCollectIncomplete(t *testing.T) {
	c := qt.New(t)
	f := newCollectorFixture(c)
	c.Assert(f.collector.Collect(t.Context()).Complete(), qt.IsTrue)

	c.Run("cached for loadMaxAge", func(c *qt.C) {
		f.peers[1] = "127.0.0.1:1"
		f.now = f.now.Add(loadMaxAge - 1)
		c.Assert(f.collector.Collect(t.Context()).Complete(), qt.IsTrue)
	})
	c.Run("an entry VM is unreachable", func(c *qt.C) {
		f.now = f.now.Add(loadMaxAge)
		c.Assert(f.collector.Collect(t.Context()).Complete(), qt.IsFalse)
	})
	c.Run("a shard is not reported", func(c *qt.C) {
		f.peers = f.peers[:0]
		f.now = f.now.Add(loadMaxAge)
		loads := f.collector.Collect(t.Context())
		c.Assert(loads.Complete(), qt.IsFalse)
		c.Assert(loads.shards, qt.HasLen, 1)
	})
}
