package server

import (
	"cmp"
	"context"
	"slices"
	"time"

	"filberthaven.example/tracker"
)

// status returns the status of the fleet as this entry VM knows it.
func (s *Server) status(ctx context.Context) Status {
	status := Status{
		Time:     time.Now(),
		VM:       s.settings.ID(),
		Centre:   s.settings.Centre(),
		Version:  s.version,
		Revision: s.copy.Revision(),
		Fleet:    s.fleetStatus(),
		Teams:    s.teamStatuses(),
		Centres:  s.centreStatuses(),
		Shards:   s.shardStatuses(),
		VMs:      s.vmStatuses(),
		Platform: s.platformStatus(),
	}
	s.collector.Collect(ctx).Fill(&status)
	return status
}

func (s *Server) fleetStatus() FleetStatus {
	workers := s.tracker.Workers("")
	fleet := FleetStatus{Workers: len(workers), Executors: len(s.tracker.Endpoints("", ""))}
	for _, vm := range workers {
		fleet.Processors += vm.Size().CPU()
	}
	return fleet
}

func (s *Server) teamStatuses() []TeamStatus {
	document := s.copy.Current()
	if document == nil {
		return nil
	}
	resolver := document.At(time.Now())
	var list []TeamStatus
	for team := range document.Teams() {
		name := team.Name()
		list = append(list, TeamStatus{
			Name: name, Share: resolver.Share(name), Limit: resolver.Limit(name), Slots: resolver.Slots(name),
		})
	}
	return list
}

func (s *Server) centreStatuses() []CentreStatus {
	list := make([]CentreStatus, 0, len(s.centreNames()))
	for _, name := range s.centreNames() {
		list = append(list, CentreStatus{
			Name: name, State: string(s.centreState(name)), Reason: s.centreReason(name),
			Entries: len(s.tracker.EntryVMs(name)), Workers: len(s.tracker.Workers(name)),
		})
	}
	slices.SortFunc(list, func(a, b CentreStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (s *Server) shardStatuses() []ShardStatus {
	list := make([]ShardStatus, 0, len(s.allShards()))
	for _, name := range s.allShards() {
		owner, _ := s.elector.Owner(name)
		list = append(list, ShardStatus{Name: name, Owner: owner.ID(), Address: owner.Address(), Term: owner.Term()})
	}
	return list
}

func (s *Server) vmStatuses() []VMStatus {
	var list []VMStatus
	for _, vm := range s.tracker.EntryVMs("") {
		status := VMStatus{
			ID: vm.ID(), Centre: vm.Centre(), Address: vm.Address(),
			Revision: s.tracker.Revision(vm.ID()), Reached: s.tracker.State(vm.ID()) == tracker.Alive,
		}
		if vm.ID() == s.settings.ID() {
			status.Revision, status.Reached = s.copy.Revision(), true
		}
		list = append(list, status)
	}
	return list
}

// platformStatus returns whether the key-value service can be reached, and the rates of
// this entry VM's calls to it.
func (s *Server) platformStatus() PlatformStatus {
	return PlatformStatus{
		Contact: s.mirror.ConnectedFor() > 0,
		Reads:   s.calls.rate("reads"),
		Writes:  s.calls.rate("writes"),
		Errors:  s.calls.rate("errors"),
	}
}
