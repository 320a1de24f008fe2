package server

import (
	"cmp"
	"context"
	"slices"
	"time"

	"filberthaven.example/placer"
	"filberthaven.example/tracker"
)

// totals sums up the usage of all shards.
type totals struct {
	teams    map[string]teamUsage // by team; Size and counts over the fleet
	centres  map[string]teamUsage // by data centre
	fleet    teamUsage
	capacity placer.Resources // of all workers
}

// totals returns the sums of what the owners told lately.
func (s *Server) totals() totals {
	sums := totals{teams: map[string]teamUsage{}, centres: map[string]teamUsage{}}
	for _, vm := range s.tracker.Workers("") {
		sums.capacity = sums.capacity.Add(vm.Size())
	}
	for _, usage := range s.usages.fresh(time.Now()) {
		centre := centreOf(usage.Shard)
		for _, team := range usage.Teams {
			sums.teams[team.Team] = sums.teams[team.Team].plus(team)
			sums.centres[centre] = sums.centres[centre].plus(team)
			sums.fleet = sums.fleet.plus(team)
		}
	}
	return sums
}

// plus returns the sum of two usages.
func (u teamUsage) plus(o teamUsage) teamUsage {
	for i := range u.Size {
		u.Size[i] += o.Size[i]
	}
	u.Running += o.Running
	u.Pending += o.Pending
	return u
}

// resources returns what the usage holds.
func (u teamUsage) resources() placer.Resources {
	return placer.NewResources(u.Size[0], u.Size[1], u.Size[2])
}

// status puts together what this entry VM knows.
func (s *Server) status(context.Context) Status {
	sums := s.totals()
	return Status{
		Time:     time.Now(),
		VM:       s.settings.ID(),
		Centre:   s.settings.Centre(),
		Version:  s.version,
		Revision: s.copy.Revision(),
		Fleet:    s.fleetStatus(sums),
		Teams:    s.teamStatuses(sums),
		Centres:  s.centreStatuses(sums),
		Shards:   s.shardStatuses(),
		VMs:      s.vmStatuses(),
		Platform: s.platformStatus(),
	}
}

func (s *Server) fleetStatus(sums totals) FleetStatus {
	flight, _ := s.admitter.Load()
	return FleetStatus{
		Workers:    len(s.tracker.Workers("")),
		Executors:  len(s.tracker.Endpoints("", "")),
		Processors: sums.capacity.CPU(),
		Used:       sums.fleet.Size[0],
		Running:    sums.fleet.Running,
		Pending:    sums.fleet.Pending,
		Flight:     flight,
	}
}

func (s *Server) teamStatuses(sums totals) []TeamStatus {
	document := s.copy.Current()
	if document == nil {
		return nil
	}
	resolver := document.At(time.Now())
	var list []TeamStatus
	for team := range document.Teams() {
		name := team.Name()
		usage := sums.teams[name]
		list = append(list, TeamStatus{
			Name: name, Share: resolver.Share(name), Part: usage.resources().DominantShare(sums.capacity),
			Limit: resolver.Limit(name), Used: usage.Size[0], Slots: resolver.Slots(name), Pending: usage.Pending,
		})
	}
	return list
}

func (s *Server) centreStatuses(sums totals) []CentreStatus {
	list := make([]CentreStatus, 0, len(s.centreNames()))
	for _, name := range s.centreNames() {
		usage := sums.centres[name]
		list = append(list, CentreStatus{
			Name: name, State: string(s.centreState(name)), Reason: s.centreReason(name),
			Entries: len(s.tracker.Entries(name)), Workers: len(s.tracker.Workers(name)),
			Running: usage.Running, Pending: usage.Pending,
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

// platformStatus tells the rates of calls since the last status but one.
func (s *Server) platformStatus() PlatformStatus {
	return PlatformStatus{
		Contact: s.mirror.Contact() > 0,
		Reads:   s.calls.rate("reads"),
		Writes:  s.calls.rate("writes"),
		Errors:  s.calls.rate("errors"),
	}
}
