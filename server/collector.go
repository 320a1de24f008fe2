package server

import (
	"context"
	"maps"
	"sync"
	"time"

	"filberthaven.example/configurer"
	"filberthaven.example/messenger"
	"filberthaven.example/placer"
)

const (
	// loadProcedure asks an entry VM for its load.
	loadProcedure = "/server/load"
	// loadTimeout bounds the questions for one status.
	loadTimeout = 500 * time.Millisecond
	// loadAge is how old an answer may be that serves another status.
	loadAge = time.Second
)

// TeamLoad is what a team runs and holds on some shards.
type TeamLoad struct {
	Used         int64 `cbor:"used"`                   // thousandths of processors running
	Memory       int64 `cbor:"memory"`                 // MiB of running tasks
	Accelerators int64 `cbor:"accelerators,omitempty"` // of running tasks
	Pending      int   `cbor:"pending"`                // tasks
}

// ShardLoad is what the owner of a shard runs and holds.
type ShardLoad struct {
	Running int                 `cbor:"running"` // tasks
	Pending int                 `cbor:"pending"` // tasks
	Teams   map[string]TeamLoad `cbor:"teams"`   // by name
}

// VMLoad is what one entry VM tells.
type VMLoad struct {
	Shards map[string]ShardLoad `cbor:"shards"` // those that it owns and has recovered, by name
	Flight map[string]int       `cbor:"flight"` // urgent requests in flight there, by team
}

type loadRequest struct{}

// Collector gathers the loads of all entry VMs for the status and for plans.
type Collector struct {
	own       func() VMLoad    // of this entry VM
	peers     func() []string  // internal addresses of the other entry VMs as known now
	shards    func() []string  // all shards of the fleet
	now       func() time.Time // clock
	messenger *messenger.Messenger

	gathering sync.Mutex // held while loads are gathered, so that questions aren't doubled

	mu   sync.Mutex
	last Loads
	at   time.Time // when last was gathered; zero: never
}

// NewCollector returns a collector over the entry VM's own load, the addresses of the
// others, and the names of all shards.
func NewCollector(m *messenger.Messenger, own func() VMLoad, peers, shards func() []string) *Collector {
	return &Collector{own: own, peers: peers, shards: shards, now: time.Now, messenger: m}
}

// Handle registers the handler through which other entry VMs ask for the own load.
func (c *Collector) Handle(m *messenger.Messenger, mux messenger.Mux) {
	messenger.Handle(m, mux, loadProcedure, func(context.Context, *loadRequest) (*VMLoad, error) {
		load := c.own()
		return &load, nil
	})
}

// Loads is the load of the fleet as far as it was told.
type Loads struct {
	shards   map[string]ShardLoad
	flight   map[string]int // by team
	complete bool           // every shard was told, and every entry VM answered
}

// Complete reports whether every shard was told and every entry VM answered.
func (l Loads) Complete() bool { return l.complete }

// Collect returns the loads of all entry VMs, at most a second old.
func (c *Collector) Collect(ctx context.Context) Loads {
	c.gathering.Lock()
	defer c.gathering.Unlock()
	if loads, fresh := c.known(loadAge); fresh {
		return loads
	}
	loads := c.gather(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last, c.at = loads, c.now()
	return loads
}

// Last returns the loads gathered last without asking anyone; none when they are
// older than age.
func (c *Collector) Last(age time.Duration) Loads {
	loads, _ := c.known(age)
	return loads
}

// known returns the loads gathered last if they are younger than age.
func (c *Collector) known(age time.Duration) (Loads, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.IsZero() || c.now().Sub(c.at) >= age {
		return Loads{}, false
	}
	return c.last, true
}

// gather asks all entry VMs at once.
func (c *Collector) gather(ctx context.Context) Loads {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	loads := Loads{shards: map[string]ShardLoad{}, flight: map[string]int{}, complete: true}
	loads.add(c.own())
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, address := range c.peers() {
		group.Go(func() {
			load, err := messenger.Call[loadRequest, VMLoad](ctx, c.messenger, address, loadProcedure, &loadRequest{})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				loads.complete = false
				return
			}
			loads.add(*load)
		})
	}
	group.Wait()
	for _, shard := range c.shards() {
		if _, told := loads.shards[shard]; !told {
			loads.complete = false
		}
	}
	return loads
}

func (l Loads) add(load VMLoad) {
	maps.Copy(l.shards, load.Shards)
	for team, flight := range load.Flight {
		l.flight[team] += flight
	}
}

// Fill adds what runs and waits to a status that has its teams and data centres.
func (l Loads) Fill(status *Status) {
	status.Complete = l.complete
	status.Fleet.Flight = 0
	for _, flight := range l.flight {
		status.Fleet.Flight += flight
	}
	teams := l.teams()
	for i := range status.Teams {
		team := &status.Teams[i]
		team.Used, team.Pending = teams[team.Name].Used, teams[team.Name].Pending
		team.Flight = l.flight[team.Name]
		if status.Fleet.Processors > 0 {
			team.Part = float64(team.Used) / float64(status.Fleet.Processors)
		}
	}
	for _, team := range teams {
		status.Fleet.Used += team.Used
	}
	centres := l.centres()
	for i := range status.Centres {
		centre := &status.Centres[i]
		centre.Running, centre.Pending = centres[centre.Name].Running, centres[centre.Name].Pending
		status.Fleet.Running += centre.Running
		status.Fleet.Pending += centre.Pending
	}
}

// Usage returns the load that a plan is weighed against.
func (l Loads) Usage() configurer.Usage {
	used := map[string]int64{}
	for name, team := range l.teams() {
		used[name] = team.Used
	}
	loads := map[string]configurer.Load{}
	for name, centre := range l.centres() {
		loads[name] = configurer.NewLoad(centre.Running, centre.Pending)
	}
	return configurer.NewUsage(used, loads)
}

// usedElsewhere returns what the teams use in all shards but one.
func (l Loads) usedElsewhere(shard string) map[string]placer.Resources {
	used := map[string]placer.Resources{}
	for name, load := range l.shards {
		if name == shard {
			continue
		}
		for team, its := range load.Teams {
			used[team] = used[team].Add(placer.NewResources(its.Used, its.Memory, its.Accelerators))
		}
	}
	return used
}

// teams sums up the shards by team.
func (l Loads) teams() map[string]TeamLoad {
	teams := map[string]TeamLoad{}
	for _, shard := range l.shards {
		for name, load := range shard.Teams {
			sum := teams[name]
			sum.Used += load.Used
			sum.Pending += load.Pending
			teams[name] = sum
		}
	}
	return teams
}

// centres sums up the shards by data centre, without their teams.
func (l Loads) centres() map[string]ShardLoad {
	centres := map[string]ShardLoad{}
	for name, shard := range l.shards {
		centre := centreOf(name)
		sum := centres[centre]
		sum.Running += shard.Running
		sum.Pending += shard.Pending
		centres[centre] = sum
	}
	return centres
}
