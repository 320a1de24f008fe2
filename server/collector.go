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
	// loadProcedure is the procedure that returns the load of an entry VM.
	loadProcedure = "/server/load"
	// loadTimeout limits one collection of the loads of all entry VMs.
	loadTimeout = 500 * time.Millisecond
	// loadMaxAge is the age from which Collect collects the loads anew.
	loadMaxAge = time.Second
)

// TeamLoad is the load of a team in one or more shards.
type TeamLoad struct {
	Used         int64 `cbor:"used"`                   // thousandths of a processor, allocated to tasks on workers
	Memory       int64 `cbor:"memory"`                 // MiB, allocated likewise
	Accelerators int64 `cbor:"accelerators,omitempty"` // allocated likewise
	Pending      int   `cbor:"pending"`                // tasks that have not begun
}

// ShardLoad is the load of a shard as its owner reports it.
type ShardLoad struct {
	Running int                 `cbor:"running"` // tasks that have begun
	Pending int                 `cbor:"pending"` // the other tasks
	Teams   map[string]TeamLoad `cbor:"teams"`   // by name
}

// VMLoad is the load that one entry VM reports.
type VMLoad struct {
	Shards map[string]ShardLoad `cbor:"shards"` // those that the VM owns and has recovered, by name
	Flight map[string]int       `cbor:"flight"` // urgent requests in flight on the VM, by team
}

type loadRequest struct{}

// Collector collects the loads of all entry VMs for the status, for plans and for fair
// shares over all shards.
type Collector struct {
	ownLoad   func() VMLoad   // of this entry VM
	peers     func() []string // current internal addresses of the other entry VMs
	shards    func() []string // all shards of the fleet
	now       func() time.Time
	messenger *messenger.Messenger

	collecting sync.Mutex // held during a collection, so that concurrent callers share one

	mu          sync.Mutex // guards last and collectedAt
	last        Loads
	collectedAt time.Time // when last was collected; zero: never
}

// NewCollector returns a collector. own returns the load of this entry VM, peers the
// addresses (host:port) of the others, and shards the names of all shards.
func NewCollector(m *messenger.Messenger, own func() VMLoad, peers, shards func() []string) *Collector {
	return &Collector{ownLoad: own, peers: peers, shards: shards, now: time.Now, messenger: m}
}

// Handle registers the handler that returns the load of this entry VM to the others.
func (c *Collector) Handle(m *messenger.Messenger, mux messenger.Mux) {
	messenger.Handle(m, mux, loadProcedure, func(context.Context, *loadRequest) (*VMLoad, error) {
		load := c.ownLoad()
		return &load, nil
	})
}

// Loads is the load of the fleet, as far as it was reported.
type Loads struct {
	shards   map[string]ShardLoad // by name
	inFlight map[string]int       // urgent requests, by team
	complete bool                 // every entry VM responded and every shard was reported
}

// Complete reports whether every entry VM responded and every shard was reported.
func (l Loads) Complete() bool { return l.complete }

// Collect returns the loads of all entry VMs, less than loadMaxAge old. Entry VMs that
// don't respond are missing.
func (c *Collector) Collect(ctx context.Context) Loads {
	c.collecting.Lock()
	defer c.collecting.Unlock()
	if loads, ok := c.cached(loadMaxAge); ok {
		return loads
	}
	loads := c.fetch(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last, c.collectedAt = loads, c.now()
	return loads
}

// Last returns the loads that were collected last, or empty Loads if these are maxAge old
// or older. It makes no calls.
func (c *Collector) Last(maxAge time.Duration) Loads {
	loads, _ := c.cached(maxAge)
	return loads
}

// cached returns the loads that were collected last if they are younger than maxAge.
func (c *Collector) cached(maxAge time.Duration) (Loads, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.collectedAt.IsZero() || c.now().Sub(c.collectedAt) >= maxAge {
		return Loads{}, false
	}
	return c.last, true
}

// fetch requests the loads of all entry VMs concurrently.
func (c *Collector) fetch(ctx context.Context) Loads {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	loads := Loads{shards: map[string]ShardLoad{}, inFlight: map[string]int{}, complete: true}
	loads.add(c.ownLoad())
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
		if _, reported := loads.shards[shard]; !reported {
			loads.complete = false
		}
	}
	return loads
}

func (l Loads) add(load VMLoad) {
	maps.Copy(l.shards, load.Shards)
	for team, inFlight := range load.Flight {
		l.inFlight[team] += inFlight
	}
}

// Fill sets the usage, running and pending tasks and requests in flight of a status.
// The status must already list its teams and data centres and hold the number of the
// fleet's processors.
func (l Loads) Fill(status *Status) {
	status.Complete = l.complete
	status.Fleet.Flight = 0
	for _, inFlight := range l.inFlight {
		status.Fleet.Flight += inFlight
	}
	teams := l.teams()
	for i := range status.Teams {
		team := &status.Teams[i]
		team.Used, team.Pending = teams[team.Name].Used, teams[team.Name].Pending
		team.Flight = l.inFlight[team.Name]
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

// Usage returns the load in the form that plans of configuration changes use.
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

// remoteUsage returns what the teams use in all shards other than the given one.
func (l Loads) remoteUsage(shard string) map[string]placer.Resources {
	used := map[string]placer.Resources{}
	for name, load := range l.shards {
		if name == shard {
			continue
		}
		for team, teamLoad := range load.Teams {
			used[team] = used[team].Add(placer.NewResources(teamLoad.Used, teamLoad.Memory, teamLoad.Accelerators))
		}
	}
	return used
}

// teams returns the processors in use and pending tasks of each team over all shards.
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

// centres returns the running and pending tasks of each data centre.
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
