package server

import (
	"context"
	"time"

	"filberthaven.example/configurer"
	"filberthaven.example/placer"
	"filberthaven.example/scheduler"
)

const (
	// collectInterval is the time between two collections of the loads of other shards.
	collectInterval = 2 * time.Second
	// remoteLoadMaxAge is the age from which the loads of other shards are ignored.
	remoteLoadMaxAge = 10 * time.Second
)

// setLoad stores the load of the shard, from the usage of its teams.
func (o *ownedShard) setLoad(teams []scheduler.Usage) {
	load := ShardLoad{Teams: make(map[string]TeamLoad, len(teams))}
	for _, usage := range teams {
		used := usage.Used()
		load.Running += usage.RunningTasks()
		load.Pending += usage.PendingTasks()
		load.Teams[usage.Team()] = TeamLoad{
			Used: used.CPU(), Memory: used.Memory(), Accelerators: used.Accelerators(), Pending: usage.PendingTasks(),
		}
	}
	o.load.Store(&load)
}

// ownLoad returns the load of this entry VM. Shards whose owner has reported no usage
// yet are missing.
func (s *Server) ownLoad() VMLoad {
	load := VMLoad{Shards: map[string]ShardLoad{}, Flight: s.admitter.RunningByTeam()}
	for _, o := range s.owned.all() {
		if shardLoad := o.load.Load(); shardLoad != nil {
			load.Shards[o.shard] = *shardLoad
		}
	}
	return load
}

// peerAddresses returns the addresses (host:port) of the other entry VMs.
func (s *Server) peerAddresses() []string {
	var addresses []string
	for _, vm := range s.tracker.EntryVMs("") {
		if vm.ID() != s.settings.ID() {
			addresses = append(addresses, vm.Address())
		}
	}
	return addresses
}

// collectLoads collects the loads of all entry VMs at intervals, while this VM owns a
// shard, until ctx is done.
func (s *Server) collectLoads(ctx context.Context) error {
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if len(s.owned.all()) > 0 {
			s.collector.Collect(ctx)
		}
	}
}

// remoteUsage returns what the teams use in the other shards, so that shares are fair
// over all shards.
func (s *Server) remoteUsage(shard string) map[string]placer.Resources {
	return s.collector.Last(remoteLoadMaxAge).remoteUsage(shard)
}

// planUsage returns the current usage, from which the effects of a plan are computed.
func (s *Server) planUsage(ctx context.Context) configurer.Usage {
	return s.collector.Collect(ctx).Usage()
}
