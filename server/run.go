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
	// candidateInterval is the time between two looks at which shards this entry
	// VM may own.
	candidateInterval = 500 * time.Millisecond
	// fetchTimeout bounds one fetch of the declarations from a peer.
	fetchTimeout = time.Second
)

// Run serves until ctx is done; then it stops in order: readiness goes false,
// shards are handed over, requests under way end. It returns the first error.
func (s *Server) Run(ctx context.Context) error {
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	s.base = base
	group, running := errgroup.WithContext(base)
	for _, part := range []func(context.Context) error{s.mirror.Run, s.tracker.Run, s.elector.Run, s.holder.Run, s.chooseCandidates, s.collect, s.calls.run, s.watchCertificates, s.serveDebug} {
		group.Go(func() error { return part(running) })
	}
	group.Go(func() error { s.spreader.Run(running); return nil })
	callers := router.NewServer(s.router, s.security.callers(), s.logger)
	peers := router.NewServer(s.internalHandler(), s.security.peers(), s.logger)
	group.Go(func() error { return router.Serve(callers, s.listener) })
	group.Go(func() error { return router.Serve(peers, s.internal) })
	s.decisions.Info("serving", "vm", s.settings.ID(), "centre", s.settings.Centre(), "callers", s.Address(), "internal", s.Internal())
	select {
	case <-ctx.Done():
		s.stop(base, callers, peers)
	case <-running.Done():
		s.closeListeners()
	}
	cancel()
	err := group.Wait()
	s.group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// stop ends in order. It cuts no request: shards go first, then callers' requests
// end, and calls of peers are answered until the last.
func (s *Server) stop(ctx context.Context, callers, peers *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Drain())
	defer cancel()
	s.router.Drain()
	s.resign(ctx, s.decisions)
	s.awaitQuiet(ctx)
	for _, server := range []*http.Server{callers, peers} {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
	}
	s.decisions.Info("stopped", "vm", s.settings.ID())
}

// quietTimeout bounds the wait for callers to go elsewhere. One that ignores the
// readiness after that finds the connection refused, and nothing has run.
const quietTimeout = 5 * time.Second

// awaitQuiet serves until callers have gone elsewhere.
func (s *Server) awaitQuiet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quietTimeout)
	defer cancel()
	if err := s.router.Shutdown(ctx); err != nil {
		s.decisions.Info("callers have not gone elsewhere", "error", err)
	}
}

// internalHandler serves the calls of other entry VMs, and requests that they
// pass on.
func (s *Server) internalHandler() http.Handler {
	mux := http.NewServeMux()
	s.tracker.Register(mux)
	s.copy.Handle(s.messenger, mux)
	s.slotter.Register(s.messenger, mux)
	scheduler.Handle(s.messenger, mux, s.tenures.scheduler)
	s.collector.Handle(s.messenger, mux)
	s.spreader.Handle(s.messenger, mux)
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		// A ServeMux would redirect paths that it cleans.
		if strings.HasPrefix(request.URL.Path, servicesPath) {
			s.router.ServeHTTP(w, request)
			return
		}
		mux.ServeHTTP(w, request)
	})
}

// servicesPath begins the paths of urgent requests.
const servicesPath = "/v1/services/"

// followEndpoints keeps requests away from endpoints that leave, before the
// owner's grants say so.
func (s *Server) followEndpoints(changed []tracker.VM) {
	for _, vm := range changed {
		if vm.Role() != tracker.EndpointRole {
			continue
		}
		s.holder.Exclude(vm.ID(), s.leaves(vm) || vm.State() == tracker.Gone)
		if vm.State() == tracker.Gone {
			s.router.Forget(vm.Service(), vm.ID())
		}
	}
}

// chooseCandidates keeps the elector told of the shards this entry VM may own:
// those of its data centre, and those of data centres declared lost.
func (s *Server) chooseCandidates(ctx context.Context) error {
	ticker := time.NewTicker(candidateInterval)
	defer ticker.Stop()
	for {
		s.elector.SetEligibleShards(s.candidates()...)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// candidates returns the shards that this entry VM may own.
func (s *Server) candidates() []string {
	own := s.settings.Centre()
	shards := append([]string{}, s.centreShards(own)...)
	if s.centreState(own) == configurer.Lost {
		return nil
	}
	for _, centre := range s.centreNames()[1:] {
		if s.centreState(centre) == configurer.Lost {
			shards = append(shards, s.centreShards(centre)...)
		}
	}
	return shards
}

// ownerAddress returns where the owner of a shard is reached.
func (s *Server) ownerAddress(shard string) (string, bool) {
	owner, ok := s.elector.Owner(shard)
	return owner.Address(), ok && owner.Address() != ""
}

// catchUp fetches the declarations from a peer that has newer ones.
func (s *Server) catchUp(_, address string, revision uint64) {
	if revision <= s.copy.Revision() || s.base == nil {
		return
	}
	s.group.Go(func() {
		ctx, cancel := context.WithTimeout(s.base, fetchTimeout)
		defer cancel()
		if _, err := s.copy.Fetch(ctx, s.messenger, address); err != nil {
			s.decisions.Debug("declarations not fetched", "address", address, "error", err)
		}
	})
}

// configurerPeers returns the other entry VMs: those of the settings until the
// platform has told its list.
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

// peersIn returns the addresses of the entry VMs of a data centre that answer.
func (s *Server) peersIn(centre string) []string {
	var addresses []string
	for _, vm := range s.tracker.EntryVMs(centre) {
		if !s.leaves(vm) && s.tracker.State(vm.ID()) == tracker.Alive {
			addresses = append(addresses, vm.Address())
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// checkJob refuses what can never run, from what is known here.
func (s *Server) checkJob(spec placer.JobSpec) error {
	if err := s.checkQueue(spec); err != nil {
		return err
	}
	spec = s.paid(spec)
	var sizes []placer.Resources
	for _, vm := range s.tracker.Workers("") {
		sizes = append(sizes, vm.Size())
	}
	limit := int64(0)
	if resolver, ok := s.resolver(); ok {
		limit = resolver.Limit(spec.Team())
	}
	return admitter.CheckJob(spec, admitter.NewFleet(sizes, limit), time.Now())
}
