package server

import (
	"context"
	"sync"
	"time"

	"filberthaven.example/configurer"
	"filberthaven.example/messenger"
	"filberthaven.example/placer"
	"filberthaven.example/scheduler"
)

const (
	// usageProcedure is the path of the question for the usage of shards.
	usageProcedure = "/server/usage"
	// usageInterval is the time between two questions to the owners of shards.
	usageInterval = 2 * time.Second
	// usageTimeout bounds one question.
	usageTimeout = time.Second
	// usageAge is the age at which usage that was not renewed is forgotten.
	usageAge = 10 * time.Second
)

// usageRequest asks an entry VM for the usage of the shards that it owns.
type usageRequest struct{}

// usageResponse is the usage of the shards of one entry VM.
type usageResponse struct {
	Shards []shardUsage `cbor:"1,keyasint,omitempty"`
}

// shardUsage is what the teams have in a shard.
type shardUsage struct {
	Shard string      `cbor:"1,keyasint"`
	Term  uint64      `cbor:"2,keyasint"`
	Teams []teamUsage `cbor:"3,keyasint,omitempty"`
}

// teamUsage is what a team has in a shard.
type teamUsage struct {
	_       struct{} `cbor:",toarray"`
	Team    string
	Size    [3]int64 // processors in thousandths, memory in MiB, accelerators
	Running int      // tasks
	Pending int      // tasks
}

// usages is what is known of the usage of all shards.
type usages struct {
	mu     sync.Mutex
	shards map[string]seenUsage
}

// seenUsage is the usage of a shard, and when it was told.
type seenUsage struct {
	usage shardUsage
	at    time.Time
}

// put notes the usage of a shard unless a newer owner has told of it.
func (u *usages) put(usage shardUsage, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if known, ok := u.shards[usage.Shard]; ok && known.usage.Term > usage.Term {
		return
	}
	u.shards[usage.Shard] = seenUsage{usage: usage, at: now}
}

// fresh returns the usage of all shards that was told lately.
func (u *usages) fresh(now time.Time) []shardUsage {
	u.mu.Lock()
	defer u.mu.Unlock()
	var list []shardUsage
	for name, seen := range u.shards {
		if now.Sub(seen.at) > usageAge {
			delete(u.shards, name)
			continue
		}
		list = append(list, seen.usage)
	}
	return list
}

// noteUsage keeps what the owner of a shard tells of its teams.
func (t *tenure) noteUsage(list []scheduler.Usage) {
	teams := make([]teamUsage, 0, len(list))
	for _, usage := range list {
		size := usage.Running()
		teams = append(teams, teamUsage{
			Team: usage.Team(), Size: [3]int64{size.CPU(), size.Memory(), size.Accelerators()},
			Running: usage.Tasks(), Pending: usage.Pending(),
		})
	}
	t.usage.Store(&shardUsage{Shard: t.shard, Term: t.term, Teams: teams})
}

// ownUsage returns the usage of the shards that this entry VM owns.
func (s *Server) ownUsage() []shardUsage {
	var list []shardUsage
	for _, t := range s.tenures.all() {
		if usage := t.usage.Load(); usage != nil {
			list = append(list, *usage)
		}
	}
	return list
}

// answerUsage answers another entry VM.
func (s *Server) answerUsage(context.Context, *usageRequest) (*usageResponse, error) {
	return &usageResponse{Shards: s.ownUsage()}, nil
}

// gatherUsage asks the owners of shards for their usage until ctx is done.
func (s *Server) gatherUsage(ctx context.Context) error {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		s.askOwners(ctx)
	}
}

// askOwners asks each owner of a shard once.
func (s *Server) askOwners(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	asked := map[string]bool{s.Internal(): true}
	for _, usage := range s.ownUsage() {
		s.usages.put(usage, time.Now())
	}
	var group sync.WaitGroup
	for _, shard := range s.allShards() {
		address, ok := s.ownerAddress(shard)
		if !ok || asked[address] {
			continue
		}
		asked[address] = true
		group.Go(func() { s.askOwner(ctx, address) })
	}
	group.Wait()
}

// askOwner asks one entry VM.
func (s *Server) askOwner(ctx context.Context, address string) {
	response, err := messenger.Call[usageRequest, usageResponse](ctx, s.messenger, address, usageProcedure, &usageRequest{})
	if err != nil {
		s.decisions.Debug("usage not known", "address", address, "error", err)
		return
	}
	for _, usage := range response.Shards {
		s.usages.put(usage, time.Now())
	}
}

// usedElsewhere returns what the teams use in other shards, for fair shares over the
// fleet.
func (s *Server) usedElsewhere(shard string) map[string]placer.Resources {
	used := map[string]placer.Resources{}
	for _, usage := range s.usages.fresh(time.Now()) {
		if usage.Shard == shard {
			continue
		}
		for _, team := range usage.Teams {
			used[team.Team] = used[team.Team].Add(placer.NewResources(team.Size[0], team.Size[1], team.Size[2]))
		}
	}
	return used
}

// planUsage returns the usage that plans are weighed against.
func (s *Server) planUsage(context.Context) configurer.Usage {
	teams := map[string]int64{}
	running, pending := map[string]int{}, map[string]int{}
	for _, usage := range s.usages.fresh(time.Now()) {
		centre := centreOf(usage.Shard)
		for _, team := range usage.Teams {
			teams[team.Team] += team.Size[0]
			running[centre] += team.Running
			pending[centre] += team.Pending
		}
	}
	loads := map[string]configurer.Load{}
	for _, centre := range s.centreNames() {
		loads[centre] = configurer.NewLoad(running[centre], pending[centre])
	}
	return configurer.NewUsage(teams, loads)
}
