package server

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"filberthaven.example/admitter"
	"filberthaven.example/configurer"
	"filberthaven.example/placer"
	"filberthaven.example/router"
	"filberthaven.example/scheduler"
	"filberthaven.example/tracker"
	"golang.org/x/sync/errgroup"
)

const (
	// eligibleInterval is the time between two updates of the shards that this entry
	// VM may own.
	eligibleInterval = 500 * time.Millisecond
	// fetchTimeout limits one fetch of the declarations from a peer.
	fetchTimeout = time.Second
)

// Run serves until ctx is done or a component fails. When ctx is done it shuts down
// cleanly: /readyz fails, shards are handed over, and requests in flight end. It returns
// the first error of a component, except context.Canceled.
func (s *Server) Run(ctx context.Context) error {
	callers, peers, err := s.newServers()
	if err != nil {
		return err
	}
	baseCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	s.baseCtx = baseCtx
	group, groupCtx := errgroup.WithContext(baseCtx)
	for _, run := range []func(context.Context) error{s.mirror.Run, s.tracker.Run, s.elector.Run, s.slotPool.Run, s.updateEligibleShards, s.collectLoads, s.calls.run, s.watchCertificates, s.serveDebug} {
		group.Go(func() error { return run(groupCtx) })
	}
	group.Go(func() error { s.replicator.Run(groupCtx); return nil })
	group.Go(func() error { return router.Serve(callers.server, callers.listener) })
	group.Go(func() error { return router.Serve(peers.server, peers.listener) })
	s.log.Info("serving", "vm", s.settings.ID(), "centre", s.settings.Centre(), "callers", s.Address(), "internal", s.InternalAddress())
	select {
	case <-ctx.Done():
		s.shutDown(baseCtx, callers.server, peers.server)
	case <-groupCtx.Done():
		s.closeListeners()
	}
	cancel()
	err = group.Wait()
	s.group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// shutDown hands the shards over, waits until callers' requests have ended, and then
// shuts down the callers' server and after it the peers'. Once the drain time of the
// settings is over, it interrupts requests.
func (s *Server) shutDown(ctx context.Context, callers, peers *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.DrainTimeout())
	defer cancel()
	s.router.Drain()
	s.resignAll(ctx, s.log)
	s.awaitQuiet(ctx)
	for _, server := range []*http.Server{callers, peers} {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
	}
	s.log.Info("stopped", "vm", s.settings.ID())
}

// quietTimeout limits the wait until callers use other entry VMs. A caller that still
// ignores the failing /readyz afterwards gets its connection refused, so that its request
// has certainly not run.
const quietTimeout = 5 * time.Second

// awaitQuiet keeps serving until callers have stopped sending requests, or until
// quietTimeout has passed.
func (s *Server) awaitQuiet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quietTimeout)
	defer cancel()
	if err := s.router.Shutdown(ctx); err != nil {
		s.log.Info("requests still in flight or arriving; closing the listeners", "error", err)
	}
}

// internalHandler returns the handler of calls from other entry VMs, which includes
// urgent requests that they forward.
func (s *Server) internalHandler() http.Handler {
	mux := http.NewServeMux()
	s.tracker.Register(mux)
	s.copy.Handle(s.messenger, mux)
	s.slotAllocator.Register(s.messenger, mux)
	scheduler.Handle(s.messenger, mux, s.owned.scheduler)
	s.collector.Handle(s.messenger, mux)
	s.replicator.Handle(s.messenger, mux)
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		// A ServeMux would clean the path of an urgent request and redirect the caller.
		if strings.HasPrefix(request.URL.Path, servicesPath) {
			s.router.ServeHTTP(w, request)
			return
		}
		mux.ServeHTTP(w, request)
	})
}

// servicesPath is the prefix of the paths of urgent requests.
const servicesPath = "/v1/services/"

// updateEndpoints excludes endpoints that are draining or gone from new requests at once.
// The owner's grants change only later.
func (s *Server) updateEndpoints(changed []tracker.VM) {
	for _, vm := range changed {
		if vm.Role() != tracker.EndpointRole {
			continue
		}
		s.slotPool.SetExcluded(vm.ID(), s.isDraining(vm) || vm.State() == tracker.Gone)
		if vm.State() == tracker.Gone {
			s.router.Forget(vm.Service(), vm.ID())
		}
	}
}

// updateEligibleShards keeps the elector's eligible shards up to date until ctx is done.
func (s *Server) updateEligibleShards(ctx context.Context) error {
	ticker := time.NewTicker(eligibleInterval)
	defer ticker.Stop()
	for {
		s.elector.SetEligibleShards(s.eligibleShards()...)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// eligibleShards returns the shards that this entry VM may own: those of its data
// centre and of data centres declared lost, or none if its own is declared lost.
func (s *Server) eligibleShards() []string {
	home := s.settings.Centre()
	shards := append([]string{}, s.centreShards(home)...)
	if s.centreState(home) == configurer.Lost {
		return nil
	}
	for _, centre := range s.centreNames()[1:] {
		if s.centreState(centre) == configurer.Lost {
			shards = append(shards, s.centreShards(centre)...)
		}
	}
	return shards
}

// ownerAddress returns the address (host:port) of the owner of a shard, if it is known.
func (s *Server) ownerAddress(shard string) (string, bool) {
	owner, ok := s.elector.Owner(shard)
	return owner.Address(), ok && owner.Address() != ""
}

// fetchNewer fetches the declarations from a peer in the background if the peer's
// revision is newer. It does nothing before Run.
func (s *Server) fetchNewer(_, address string, revision uint64) {
	if revision <= s.copy.Revision() || s.baseCtx == nil {
		return
	}
	s.group.Go(func() {
		ctx, cancel := context.WithTimeout(s.baseCtx, fetchTimeout)
		defer cancel()
		if _, err := s.copy.Fetch(ctx, s.messenger, address); err != nil {
			s.log.Debug("failed to fetch declarations", "address", address, "error", err)
		}
	})
}

// configurerPeers returns the other entry VMs: those of the platform's list, and until
// that has been fetched, the peers of the settings.
func (s *Server) configurerPeers() []configurer.Peer {
	var peers []configurer.Peer
	if s.tracker.FetchedAt().IsZero() {
		for _, address := range s.settings.Peers() {
			peers = append(peers, configurer.NewPeer(address, address))
		}
	}
	for _, vm := range s.tracker.EntryVMs("") {
		if vm.ID() != s.settings.ID() {
			peers = append(peers, configurer.NewPeer(vm.ID(), vm.Address()))
		}
	}
	return peers
}

// reachablePeers returns the addresses of the entry VMs in a data centre that are alive
// and not draining, in random order.
func (s *Server) reachablePeers(centre string) []string {
	var addresses []string
	for _, vm := range s.tracker.EntryVMs(centre) {
		if !s.isDraining(vm) && s.tracker.State(vm.ID()) == tracker.Alive {
			addresses = append(addresses, vm.Address())
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// checkJob refuses a job whose team may not use the queue, and one that can't meet its
// deadline or can never run with the team's limit and the workers known here.
func (s *Server) checkJob(spec placer.JobSpec) error {
	if err := s.checkQueue(spec); err != nil {
		return err
	}
	spec = s.assignTeam(spec)
	var sizes []placer.Resources
	for _, vm := range s.tracker.Workers("") {
		sizes = append(sizes, vm.Size())
	}
	limit := int64(0)
	if resolver, ok := s.resolver(); ok {
		limit = resolver.Limit(spec.Team())
	}
	return admitter.CheckJob(spec, admitter.NewJobBounds(sizes, limit), time.Now())
}
