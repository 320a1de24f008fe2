package server

import (
	"context"
	"time"

	"filberthaven.example/tracker"
)

// status puts together what this entry VM knows.
func (s *Server) status(context.Context) Status {
	return Status{
		Time:     time.Now(),
		VM:       s.settings.ID(),
		Centre:   s.settings.Centre(),
		Revision: s.copy.Revision(),
		Fleet:    s.fleetStatus(),
		Teams:    s.teamStatuses(),
		Centres:  s.centreStatuses(),
		Shards:   s.shardStatuses(),
		VMs:      s.vmStatuses(),
		Platform: PlatformStatus{Contact: s.mirror.Contact() > 0},
	}
}

func (s *Server) fleetStatus() FleetStatus {
	fleet := FleetStatus{Executors: len(s.tracker.Endpoints("", ""))}
	for _, vm := range s.tracker.Workers("") {
		fleet.Workers++
		fleet.Processors += vm.Size().CPU()
	}
	fleet.Flight, _ = s.admitter.Load()
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
			Name: name, State: string(s.centreState(name)),
			Entries: len(s.tracker.Entries(name)), Workers: len(s.tracker.Workers(name)),
		})
	}
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
	for _, vm := range s.tracker.Entries("") {
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
