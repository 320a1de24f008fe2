package server

import (
	"context"
	"errors"
	"math"
	"slices"

	"filberthaven.example/configurer"
	"filberthaven.example/granter"
	"filberthaven.example/router"
	"filberthaven.example/scheduler"
	"filberthaven.example/tracker"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// requests binds urgent requests to slots, claims and other data centres.
func (s *Server) requests() router.Requests {
	return router.Requests{
		Acquire:  s.acquire,
		Admit:    s.admitter.Admit,
		Claim:    s.claim,
		Settle:   s.settle,
		NextPeer: s.forward,
	}
}

// acquire returns a slot of an executor of the own data centre.
func (s *Server) acquire(ctx context.Context, service string, avoid func(string) bool) (router.Slot, error) {
	if !s.inService(s.settings.Centre()) {
		return router.Slot{}, router.ErrNoSlot
	}
	slot, err := s.holder.Acquire(ctx, service, avoid)
	if errors.Is(err, granter.ErrNoSlot) {
		return router.Slot{}, errors.Join(router.ErrNoSlot, err)
	}
	if err != nil {
		return router.Slot{}, err
	}
	return router.NewSlot(slot.Executor(), slot.Address(), slot.Connections(), slot.Release), nil
}

// claimDigest ties a claim to its service, so that a request id isn't reused.
func claimDigest(service string) uint64 { return xxhash.Sum64String(service) }

// claim records a request id in its home shard. What it can't learn in time has
// not run, as nothing was sent; its claim is taken back in the background.
func (s *Server) claim(ctx context.Context, team, service, request string) (bool, router.Outcome, error) {
	shard, ok := s.homeShard(team, request)
	if !ok {
		return false, "", router.ErrUnavailable
	}
	holder := s.process() + "/" + uuid.NewString()
	var claim scheduler.Claim
	err := retryOwner(ctx, mayRepeatClaim, func() (err error) {
		claim, err = s.client.Claim(ctx, shard, team, request, holder, claimDigest(service))
		return err
	})
	if err != nil {
		if errors.Is(err, scheduler.ErrOutcomeUnknown) {
			base := context.WithoutCancel(ctx)
			s.group.Go(func() { s.takeBack(base, shard, team, request, holder) })
			return false, "", errors.Join(router.ErrUnavailable, err)
		}
		return false, "", callError(err)
	}
	if !claim.Granted() {
		return false, claimOutcome(claim.Outcome()), nil
	}
	s.claims.Store(claimKey{team, request}, holder)
	return true, "", nil
}

// claimKey names a request of a team.
type claimKey struct{ team, request string }

// mayRepeatClaim reports whether a claim may be sent again after an error. The
// holder's name makes a repeat safe.
func mayRepeatClaim(err error) bool {
	return errors.Is(err, scheduler.ErrNotOwner) || errors.Is(err, scheduler.ErrOutcomeUnknown)
}

// takeBack frees a request id whose claim may hold though nothing was sent.
func (s *Server) takeBack(ctx context.Context, shard, team, request, holder string) {
	ctx, cancel := context.WithTimeout(ctx, takeBackTimeout)
	defer cancel()
	err := retryOwner(ctx, func(err error) bool { return !errors.Is(err, scheduler.ErrNotFound) }, func() error {
		return s.client.Settle(ctx, shard, team, request, holder, scheduler.NotRun)
	})
	if err != nil && !errors.Is(err, scheduler.ErrNotFound) {
		s.decisions.Warn("claim not taken back", "team", team, "request", request, "error", err)
	}
}

// settle records what became of a claimed request.
func (s *Server) settle(ctx context.Context, team, _, request string, outcome router.Outcome) {
	shard, ok := s.homeShard(team, request)
	holder, claimed := s.claims.LoadAndDelete(claimKey{team, request})
	if !ok || !claimed {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, takeBackTimeout)
	defer cancel()
	err := retryOwner(ctx, mayRepeatClaim, func() error {
		return s.client.Settle(ctx, shard, team, request, holder.(string), settleOutcome(outcome))
	})
	if err != nil {
		s.decisions.Warn("outcome of request not recorded", "team", team, "request", request, "outcome", string(outcome), "error", err)
	}
}

// claimOutcome returns the router's word for a recorded outcome.
func claimOutcome(outcome scheduler.Outcome) router.Outcome {
	if outcome == scheduler.Ran {
		return router.Ran
	}
	return router.Unknown
}

// settleOutcome returns the scheduler's word for an outcome.
func settleOutcome(outcome router.Outcome) scheduler.Outcome {
	switch outcome {
	case router.Ran:
		return scheduler.Ran
	case router.NotRun:
		return scheduler.NotRun
	}
	return scheduler.MayHaveRun
}

// forward returns an entry VM of another data centre in service that offers the
// service, and wasn't tried.
func (s *Server) forward(service string, tried []string) (string, bool) {
	avoid := map[string]bool{}
	for _, address := range tried {
		avoid[address] = true
	}
	for _, centre := range s.centreNames()[1:] {
		if !s.inService(centre) || !s.offers(service, centre) {
			continue
		}
		for _, peer := range s.peersIn(centre) {
			if !avoid[peer] {
				return peer, true
			}
		}
	}
	return "", false
}

// servicePolicy returns what is declared of a service.
func (s *Server) servicePolicy(name string) (router.Policy, bool) {
	document := s.copy.Current()
	if document == nil {
		return router.Policy{}, false
	}
	if _, ok := document.Service(name); !ok {
		return router.Policy{}, false
	}
	resolver, _ := s.resolver()
	timeout := resolver.Timeout("", name, s.settings.Centre())
	return router.NewPolicy(false, timeout, 0), true
}

// teamSlots returns how many urgent requests of a team may be in flight on this
// entry VM: its part of the fleet's; negative when there is no limit.
func (s *Server) teamSlots(team string) int {
	resolver, ok := s.resolver()
	if !ok {
		return 0
	}
	slots := resolver.Slots(team)
	if slots >= configurer.Unlimited {
		return -1
	}
	vms := s.tracker.EntryVMs("")
	rank := slices.IndexFunc(vms, func(vm tracker.VM) bool { return vm.ID() == s.settings.ID() })
	return evenPart(slots, rank, len(vms))
}

// evenPart returns one VM's part of a number that is cut evenly, by its rank from 0:
// the parts of all VMs sum up to it. A VM that isn't listed yet, of rank -1, has none.
func evenPart(n int64, rank, vms int) int {
	if rank < 0 {
		return 0
	}
	part := n / int64(vms)
	if int64(rank) < n%int64(vms) {
		part++
	}
	return int(min(part, math.MaxInt32))
}
