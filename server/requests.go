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

// requests returns the functions that the router needs for urgent requests.
func (s *Server) requests() router.Requests {
	return router.Requests{
		Acquire:  s.acquire,
		Admit:    s.admitter.Admit,
		Claim:    s.claim,
		Settle:   s.settle,
		NextPeer: s.nextPeer,
	}
}

// acquire returns a slot of an executor in this data centre. If the data centre is out
// of service there is none.
func (s *Server) acquire(ctx context.Context, service string, avoid func(string) bool) (router.Slot, error) {
	if !s.inService(s.settings.Centre()) {
		return router.Slot{}, router.ErrNoSlot
	}
	slot, err := s.slotPool.Acquire(ctx, service, avoid)
	if errors.Is(err, granter.ErrNoSlot) {
		return router.Slot{}, errors.Join(router.ErrNoSlot, err)
	}
	if err != nil {
		return router.Slot{}, err
	}
	return router.NewSlot(slot.Executor(), slot.Address(), slot.Connections(), slot.Release), nil
}

// claimDigest returns the digest that binds a claim to its service, so that the same
// request id can't be used for another service.
func claimDigest(service string) uint64 { return xxhash.Sum64String(service) }

// claim records a request id in its home shard. It returns true if the claim is granted,
// otherwise false and the outcome of the earlier request with this id. If it
// stays unknown whether the claim is recorded, it returns router.ErrUnavailable, since no
// request was sent to an executor, and releases the claim in the background.
func (s *Server) claim(ctx context.Context, team, service, request string) (bool, router.Outcome, error) {
	shard, ok := s.homeShard(team, request)
	if !ok {
		return false, "", router.ErrUnavailable
	}
	holder := s.processID() + "/" + uuid.NewString()
	var claim scheduler.Claim
	err := retryOwner(ctx, isRetryableWithID, func() (err error) {
		claim, err = s.client.Claim(ctx, shard, team, request, holder, claimDigest(service))
		return err
	})
	if err != nil {
		if errors.Is(err, scheduler.ErrOutcomeUnknown) {
			background := context.WithoutCancel(ctx)
			s.group.Go(func() { s.releaseClaim(background, shard, team, request, holder) })
			return false, "", errors.Join(router.ErrUnavailable, err)
		}
		return false, "", routerError(err)
	}
	if !claim.Granted() {
		return false, routerOutcome(claim.Outcome()), nil
	}
	s.claims.Store(claimKey{team, request}, holder)
	return true, "", nil
}

// claimKey identifies a request of a team.
type claimKey struct{ team, request string }

// isRetryableWithID reports whether a call with a request id may be repeated after err.
// A repeat after an unknown outcome is safe: the shard recognizes a claim by its
// holder's name, and a job by its request id.
func isRetryableWithID(err error) bool {
	return errors.Is(err, scheduler.ErrNotOwner) || errors.Is(err, scheduler.ErrOutcomeUnknown)
}

// releaseClaim settles a claim that may have been recorded. Its outcome is
// scheduler.NotRun, since no request was sent to an executor.
func (s *Server) releaseClaim(ctx context.Context, shard, team, request, holder string) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	err := retryOwner(ctx, func(err error) bool { return !errors.Is(err, scheduler.ErrNotFound) }, func() error {
		return s.client.Settle(ctx, shard, team, request, holder, scheduler.NotRun)
	})
	if err != nil && !errors.Is(err, scheduler.ErrNotFound) {
		s.log.Warn("failed to release claim of request", "team", team, "request", request, "error", err)
	}
}

// settle records the outcome of a claimed request in its home shard.
func (s *Server) settle(ctx context.Context, team, _, request string, outcome router.Outcome) {
	shard, ok := s.homeShard(team, request)
	holder, claimed := s.claims.LoadAndDelete(claimKey{team, request})
	if !ok || !claimed {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	err := retryOwner(ctx, isRetryableWithID, func() error {
		return s.client.Settle(ctx, shard, team, request, holder.(string), schedulerOutcome(outcome))
	})
	if err != nil {
		s.log.Warn("failed to record outcome of request", "team", team, "request", request, "outcome", string(outcome), "error", err)
	}
}

// routerOutcome returns the router's value for a recorded outcome.
func routerOutcome(outcome scheduler.Outcome) router.Outcome {
	if outcome == scheduler.Ran {
		return router.Ran
	}
	return router.Unknown
}

// schedulerOutcome returns the scheduler's value for an outcome.
func schedulerOutcome(outcome router.Outcome) scheduler.Outcome {
	switch outcome {
	case router.Ran:
		return scheduler.Ran
	case router.NotRun:
		return scheduler.NotRun
	}
	return scheduler.MayHaveRun
}

// nextPeer returns the address of an entry VM in another data centre, which must be in
// service and offer the service. Addresses in tried are left out. It returns false if
// there is none.
func (s *Server) nextPeer(service string, tried []string) (string, bool) {
	isTried := map[string]bool{}
	for _, address := range tried {
		isTried[address] = true
	}
	for _, centre := range s.centreNames()[1:] {
		if !s.inService(centre) || !s.isOffered(service, centre) {
			continue
		}
		for _, peer := range s.reachablePeers(centre) {
			if !isTried[peer] {
				return peer, true
			}
		}
	}
	return "", false
}

// servicePolicy returns the policy of a service, if the service is declared.
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

// teamSlots returns how many urgent requests of a team may be in flight on this entry
// VM: an even part of the team's limit over all entry VMs. It is negative if the team
// has no limit, and 0 until a document is in force.
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

// evenPart returns the part of the VM with the given rank (from 0) when n is divided
// evenly over a number of VMs. The parts of all VMs add up to n. The part of a VM that
// is not listed yet, of rank -1, is 0.
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
