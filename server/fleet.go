package server

import (
	"slices"
	"strings"
	"time"

	"filberthaven.example/configurer"
	"filberthaven.example/granter"
	"filberthaven.example/placer"
	"filberthaven.example/scheduler"
	"filberthaven.example/tracker"
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// notify wakes the receiver of a channel of capacity 1. It does not block.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// centreOf returns the data centre of a shard, from the shard's name.
func centreOf(shard string) string {
	centre, _, _ := cutLast(shard, ".")
	return centre
}

// cutLast is like strings.Cut, but cuts at the last separator.
func cutLast(text, separator string) (before, after string, found bool) {
	i := strings.LastIndex(text, separator)
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+len(separator):], true
}

// centreShards returns the shards of a data centre: those declared, or those of
// the settings if the data centre is not declared.
func (s *Server) centreShards(centre string) []string {
	if document := s.copy.Current(); document != nil {
		if declared, ok := document.Centre(centre); ok {
			return declared.Shards()
		}
	}
	for _, c := range s.settings.Centres() {
		if c.Name() == centre {
			return c.Shards()
		}
	}
	return nil
}

// allShards returns the shards of all data centres: those declared, or those of the
// settings if none is declared.
func (s *Server) allShards() []string {
	if document := s.copy.Current(); document != nil {
		if shards := document.Shards(); len(shards) > 0 {
			return shards
		}
	}
	var shards []string
	for _, centre := range s.settings.Centres() {
		shards = append(shards, centre.Shards()...)
	}
	return shards
}

// centreNames returns the names of the data centres, beginning with that of this VM.
func (s *Server) centreNames() []string {
	names := []string{s.settings.Centre()}
	for _, shard := range s.allShards() {
		if name := centreOf(shard); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// centreState returns the declared state of a data centre. A data centre that is
// not declared is in service.
func (s *Server) centreState(centre string) configurer.State {
	if document := s.copy.Current(); document != nil {
		if declared, ok := document.Centre(centre); ok {
			return declared.State()
		}
	}
	return configurer.InService
}

// centreReason returns the declared reason why a data centre is out of service, empty
// if there is none.
func (s *Server) centreReason(centre string) string {
	if document := s.copy.Current(); document != nil {
		declared, _ := document.Centre(centre)
		return declared.Reason()
	}
	return ""
}

// inService reports whether tasks and requests may start in a data centre.
func (s *Server) inService(centre string) bool { return s.centreState(centre) == configurer.InService }

// shardFor returns the shard, one of shards, that rendezvous hashing gives for a key. The
// key is the name of a rack, whose workers belong to the shard, or the id of a job. shards
// must not be empty.
func shardFor(key string, shards []string) string {
	if len(shards) == 1 {
		return shards[0]
	}
	return rendezvous.New(shards, xxhash.Sum64String).Lookup(key)
}

// homeShard returns the shard that records a team's request id, chosen by rendezvous
// hashing. Every entry VM chooses the same shard, even if its data centre is out of
// service. It returns false if no shard is known.
func (s *Server) homeShard(team, request string) (string, bool) {
	shards := s.allShards()
	if len(shards) == 0 {
		return "", false
	}
	return rendezvous.New(shards, xxhash.Sum64String).Lookup(team + "\x00" + request), true
}

// isOutOfService reports whether operators have taken a VM out of service.
func (s *Server) isOutOfService(id string) bool {
	document := s.copy.Current()
	if document == nil {
		return false
	}
	_, out := document.VM(id)
	return out
}

// isDraining reports whether a VM gets no new work, because the platform lists it as
// leaving or operators have taken it out of service.
func (s *Server) isDraining(vm tracker.VM) bool {
	return vm.State() == tracker.Leaving || s.isOutOfService(vm.ID())
}

// placerWorker converts a worker of the platform's list for the placer.
func (s *Server) placerWorker(vm tracker.VM) placer.Worker {
	state := placer.Live
	if s.isDraining(vm) {
		state = placer.Draining
	}
	return placer.NewWorker(vm.ID(), vm.Rack(), vm.Size(), placer.WithState(state))
}

// workerAddress returns the address (host:port) of a worker, if it is known.
func (s *Server) workerAddress(id string) (string, bool) {
	vm, ok := s.tracker.VM(id)
	return vm.Address(), ok && vm.Address() != ""
}

// executors returns the executors of this data centre, which the platform lists as
// endpoints, for the allocation of their slots. An executor is leaving if it is draining,
// the data centre is out of service, or its service is not declared there.
func (s *Server) executors() []granter.Executor {
	var list []granter.Executor
	for _, vm := range s.tracker.Endpoints("", s.settings.Centre()) {
		slots, connections := s.executorLimits(vm)
		leaving := s.isDraining(vm) || !s.inService(vm.Centre()) || !s.isOffered(vm.Service(), vm.Centre())
		list = append(list, granter.NewExecutor(vm.ID(), vm.Service(), vm.Address(), slots, connections, leaving))
	}
	return list
}

// executorLimits returns the slots and connections of an endpoint: those declared for
// its service, or those of the platform's list.
func (s *Server) executorLimits(vm tracker.VM) (slots, connections int) {
	if document := s.copy.Current(); document != nil {
		if service, ok := document.Service(vm.Service()); ok {
			return service.Slots(), service.Connections()
		}
	}
	return vm.Slots(), vm.Connections()
}

// isOffered reports whether a service is declared for a data centre. It returns true
// until a document is in force.
func (s *Server) isOffered(name, centre string) bool {
	document := s.copy.Current()
	if document == nil {
		return true
	}
	service, ok := document.Service(name)
	return ok && (len(service.Centres()) == 0 || slices.Contains(service.Centres(), centre))
}

// resolver returns the resolver of the declared values as of now, if a document is
// in force.
func (s *Server) resolver() (configurer.Resolver, bool) {
	document := s.copy.Current()
	if document == nil {
		return configurer.Resolver{}, false
	}
	return document.At(time.Now()), true
}

// share returns a team's weight, at least minShare, or 1 until a document is in force.
func (s *Server) share(team string) float64 {
	if resolver, ok := s.resolver(); ok {
		return max(resolver.Share(team), minShare)
	}
	return 1
}

// minShare is the least weight of a team, since weights must be above 0. Declared shares
// are larger.
const minShare = 1e-6

// quota returns the limit on a team's usage in a shard, in thousandths of a processor. No
// task starts above it. It is negative if the team has no limit, and 0 until a document is
// in force.
func (s *Server) quota(quotas *granter.QuotaAllocator, team string) int64 {
	resolver, ok := s.resolver()
	if !ok {
		return 0
	}
	if resolver.Limit(team) >= configurer.Unlimited {
		return -1
	}
	return quotas.StartLimit(team, granter.CPU)
}

// setLimits passes the declared limits of the teams to a quota allocator.
func (s *Server) setLimits(quotas *granter.QuotaAllocator) {
	latest := s.copy.Latest()
	if latest == nil {
		return
	}
	resolver := latest.Document().At(time.Now())
	for team := range latest.Document().Teams() {
		if limit := resolver.Limit(team.Name()); limit < configurer.Unlimited {
			quotas.SetLimit(team.Name(), granter.CPU, limit, latest.Number())
		}
	}
}

// limits returns the functions with which a scheduler enforces the teams' limits through
// its shard's quota allocator.
func (s *Server) limits(quotas *granter.QuotaAllocator) scheduler.Limits {
	return scheduler.Limits{
		Allow: func(team string, running, demand int64) bool {
			return s.quota(quotas, team) < 0 || quotas.SetUsage(team, granter.CPU, running, demand)
		},
		Report: func(team string, running, demand int64) {
			quotas.Recover(team, granter.CPU, running)
			quotas.SetUsage(team, granter.CPU, running, demand)
		},
		Excess: func(team string) int64 { return quotas.Excess(team, granter.CPU) },
	}
}
