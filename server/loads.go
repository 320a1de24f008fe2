package server

import (
	"context"
	"time"

	"filberthaven.example/configurer"
	"filberthaven.example/placer"
	"filberthaven.example/scheduler"
)

const (
	// loadInterval is the time between two looks at the loads of other shards.
	loadInterval = 2 * time.Second
	// foreignAge is the age at which loads of other shards are not counted any more.
	foreignAge = 10 * time.Second
)

// noteLoad keeps what the owner of a shard tells of its teams.
func (t *tenure) noteLoad(list []scheduler.Usage) {
	load := ShardLoad{Teams: make(map[string]TeamLoad, len(list))}
	for _, usage := range list {
		size := usage.Used()
		load.Running += usage.RunningTasks()
		load.Pending += usage.Pending()
		load.Teams[usage.Team()] = TeamLoad{
			Used: size.CPU(), Memory: size.Memory(), Accelerators: size.Accelerators(), Pending: usage.Pending(),
		}
	}
	t.load.Store(&load)
}

// ownLoad returns the load of this entry VM.
func (s *Server) ownLoad() VMLoad {
	load := VMLoad{Shards: map[string]ShardLoad{}, Flight: s.admitter.InFlight()}
	for _, t := range s.tenures.all() {
		if shard := t.load.Load(); shard != nil {
			load.Shards[t.shard] = *shard
		}
	}
	return load
}

// peerAddresses returns where the other entry VMs are reached.
func (s *Server) peerAddresses() []string {
	var addresses []string
	for _, vm := range s.tracker.EntryVMs("") {
		if vm.ID() != s.settings.ID() {
			addresses = append(addresses, vm.Address())
		}
	}
	return addresses
}

// collect keeps the loads of other shards known on owners of shards, until ctx is
// done.
func (s *Server) collect(ctx context.Context) error {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if len(s.tenures.all()) > 0 {
			s.collector.Collect(ctx)
		}
	}
}

// usedElsewhere returns what the teams use in other shards, for fair shares over the
// fleet.
func (s *Server) usedElsewhere(shard string) map[string]placer.Resources {
	return s.collector.Last(foreignAge).usedElsewhere(shard)
}

// planUsage returns the usage that plans are weighed against.
func (s *Server) planUsage(ctx context.Context) configurer.Usage {
	return s.collector.Collect(ctx).Usage()
}
