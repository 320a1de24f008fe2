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

// notify wakes the reader of a channel that holds one element.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// centreOf returns the data centre of a shard.
func centreOf(shard string) string {
	centre, _, _ := cutLast(shard, ".")
	return centre
}

// cutLast cuts a text at the last separator.
func cutLast(text, separator string) (before, after string, found bool) {
	at := strings.LastIndex(text, separator)
	if at < 0 {
		return text, "", false
	}
	return text[:at], text[at+len(separator):], true
}

// centreShards returns the shards of a data centre: those declared, or those of
// the settings until a document is in force.
func (s *Server) centreShards(centre string) []string {
	if document := s.copy.Current(); document != nil {
		if declared, ok := document.Centre(centre); ok {
			return declared.Shards()
		}
	}
	for _, known := range s.settings.Centres() {
		if known.Name() == centre {
			return known.Shards()
		}
	}
	return nil
}

// allShards returns the shards of all data centres.
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

// centreNames returns the data centres, the own one first.
func (s *Server) centreNames() []string {
	names := []string{s.settings.Centre()}
	for _, shard := range s.allShards() {
		if name := centreOf(shard); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// centreState returns the declared state of a data centre; one that isn't
// declared is in service.
func (s *Server) centreState(centre string) configurer.State {
	if document := s.copy.Current(); document != nil {
		if declared, ok := document.Centre(centre); ok {
			return declared.State()
		}
	}
	return configurer.In
}

// centreReason returns why a data centre is out, empty when it isn't.
func (s *Server) centreReason(centre string) string {
	if document := s.copy.Current(); document != nil {
		declared, _ := document.Centre(centre)
		return declared.Reason()
	}
	return ""
}

// inService reports whether tasks and requests may start in a data centre.
func (s *Server) inService(centre string) bool { return s.centreState(centre) == configurer.In }

// rackShard returns the shard that a rack falls to.
func rackShard(rack string, shards []string) string {
	if len(shards) == 1 {
		return shards[0]
	}
	return rendezvous.New(shards, xxhash.Sum64String).Lookup(rack)
}

// homeShard returns the shard that holds a team's request id: the same on each
// entry VM, whether its data centre is in service or not.
func (s *Server) homeShard(team, request string) (string, bool) {
	shards := s.allShards()
	if len(shards) == 0 {
		return "", false
	}
	return rendezvous.New(shards, xxhash.Sum64String).Lookup(team + "\x00" + request), true
}

// drainedVM reports whether operators have taken a VM out.
func (s *Server) drainedVM(id string) bool {
	document := s.copy.Current()
	if document == nil {
		return false
	}
	_, out := document.VM(id)
	return out
}

// leaves reports whether a VM gets no new work.
func (s *Server) leaves(vm tracker.VM) bool {
	return vm.State() == tracker.Leaving || s.drainedVM(vm.ID())
}

// placerWorker returns a worker of the list as the placer sees it.
func (s *Server) placerWorker(vm tracker.VM) placer.Worker {
	state := placer.Live
	if s.leaves(vm) {
		state = placer.Draining
	}
	return placer.NewWorker(vm.ID(), vm.Rack(), vm.Size(), placer.WithState(state))
}

// workerAddress returns where a worker is reached.
func (s *Server) workerAddress(id string) (string, bool) {
	vm, ok := s.tracker.VM(id)
	return vm.Address(), ok && vm.Address() != ""
}

// executors returns the endpoints of the own data centre for the division of
// slots. A data centre out of service has only leaving ones.
func (s *Server) executors() []granter.Executor {
	var list []granter.Executor
	for _, vm := range s.tracker.Endpoints("", s.settings.Centre()) {
		slots, connections := s.executorBounds(vm)
		leaving := s.leaves(vm) || !s.inService(vm.Centre()) || !s.offers(vm.Service(), vm.Centre())
		list = append(list, granter.NewExecutor(vm.ID(), vm.Service(), vm.Address(), slots, connections, leaving))
	}
	return list
}

// executorBounds returns the slots and connections of an endpoint: what is
// declared for its service, or what the list says.
func (s *Server) executorBounds(vm tracker.VM) (slots, connections int) {
	if document := s.copy.Current(); document != nil {
		if service, ok := document.Service(vm.Service()); ok {
			return service.Slots(), service.Connections()
		}
	}
	return vm.Slots(), vm.Connections()
}

// offers reports whether a service is declared for a data centre.
func (s *Server) offers(name, centre string) bool {
	document := s.copy.Current()
	if document == nil {
		return true
	}
	service, ok := document.Service(name)
	return ok && (len(service.Centres()) == 0 || slices.Contains(service.Centres(), centre))
}

// resolver returns the declared values in force now, if a document is.
func (s *Server) resolver() (configurer.Resolver, bool) {
	document := s.copy.Current()
	if document == nil {
		return configurer.Resolver{}, false
	}
	return document.At(time.Now()), true
}

// share returns a team's weight.
func (s *Server) share(team string) float64 {
	if resolver, ok := s.resolver(); ok {
		return max(resolver.Share(team), minShare)
	}
	return 1
}

// minShare is the weight of a team that is declared to have none.
const minShare = 1e-6

// allotment returns a shard's part of a team's limit, in thousandths of a
// processor; negative when there is no limit.
func (s *Server) allotment(allotter *granter.QuotaAllocator, team string) int64 {
	resolver, ok := s.resolver()
	if !ok {
		return 0
	}
	if resolver.Limit(team) >= configurer.Unlimited {
		return -1
	}
	return allotter.StartLimit(team, granter.CPU)
}

// setLimits tells the declared limits.
func (s *Server) setLimits(allotter *granter.QuotaAllocator) {
	latest := s.copy.Latest()
	if latest == nil {
		return
	}
	resolver := latest.Document().At(time.Now())
	for team := range latest.Document().Teams() {
		if limit := resolver.Limit(team.Name()); limit < configurer.Unlimited {
			allotter.SetLimit(team.Name(), granter.CPU, limit, latest.Number())
		}
	}
}

// limits binds an allotter to what a scheduler needs of it.
func (s *Server) limits(allotter *granter.QuotaAllocator) scheduler.Limits {
	return scheduler.Limits{
		Allow: func(team string, running, wanted int64) bool {
			return s.allotment(allotter, team) < 0 || allotter.SetUsage(team, granter.CPU, running, wanted)
		},
		Report: func(team string, running, wanted int64) {
			allotter.Recover(team, granter.CPU, running)
			allotter.SetUsage(team, granter.CPU, running, wanted)
		},
		Excess: func(team string) int64 { return allotter.Excess(team, granter.CPU) },
	}
}
