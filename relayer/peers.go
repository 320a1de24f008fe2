package relayer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"filberthaven.example/claimer"
	"filberthaven.example/keeper"
	"filberthaven.example/messenger"
)

const (
	// peerAvoidance is how long calls avoid a peer that has failed to relay one, if there
	// are others.
	peerAvoidance = 3 * time.Second
	// maxPeers is the number of peers that a call is sent to, one after the other, until one
	// of them may have carried it out.
	maxPeers = 3
)

// peerFailures holds which peers have failed lately.
type peerFailures struct {
	mu       sync.Mutex
	failedAt map[string]time.Duration // by VM id, on the steady clock; entries older than peerAvoidance mean nothing
}

// avoidPeer notes that a peer has failed to relay a call.
func (r *Relayer) avoidPeer(id string) {
	now := r.now()
	r.failures.mu.Lock()
	defer r.failures.mu.Unlock()
	for other, at := range r.failures.failedAt {
		if now-at >= peerAvoidance {
			delete(r.failures.failedAt, other)
		}
	}
	r.failures.failedAt[id] = now
}

// choosePeer returns a random one of the large peers that have not failed lately, else the one
// whose failure is the oldest.
func (r *Relayer) choosePeer() (claimer.Member, bool) {
	now := r.now()
	r.failures.mu.Lock()
	defer r.failures.mu.Unlock()
	var usable []claimer.Member
	var oldest claimer.Member
	oldestAt, found := time.Duration(0), false
	for _, m := range r.members() {
		if m.ID() == r.self {
			continue
		}
		at, failed := r.failures.failedAt[m.ID()]
		if !failed || now-at >= peerAvoidance {
			usable = append(usable, m)
		} else if !found || at < oldestAt {
			oldest, oldestAt, found = m, at, true
		}
	}
	if len(usable) > 0 {
		usable = largePeers(usable)
		return usable[rand.IntN(len(usable))], true
	}
	return oldest, found
}

// largePeers returns those peers that have at least half of the processor of the largest one.
// Small VMs have narrow links too: the journal of 350 workers writes about 1 MB/s in a burst,
// which fills a link of 10 Mbit/s, and then no start is recorded in time.
func largePeers(peers []claimer.Member) []claimer.Member {
	largest := 0.0
	for _, m := range peers {
		largest = max(largest, m.Processor())
	}
	return slices.DeleteFunc(peers, func(m claimer.Member) bool { return 2*m.Processor() < largest })
}

// callPeers makes a call through a peer, or through another one if the first did not carry
// it out. It returns ErrUnavailable if the call was not carried out. It does so too if the
// outcome of a read, a renewal or a revocation is unknown, since these may be repeated.
func (r *Relayer) callPeers(ctx context.Context, req request) (response, error) {
	if r.now() < time.Duration(r.peerBackoffUntil.Load()) {
		return response{}, keeper.ErrUnavailable
	}
	timeout := callTimeout
	switch req.Operation {
	case watch:
		timeout = watchTimeout
	case list:
		timeout = listTimeout
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	failure, previous := keeper.ErrUnavailable, ""
	for range maxPeers {
		peer, found := r.choosePeer()
		if !found || peer.ID() == previous {
			break
		}
		previous = peer.ID()
		resp, err := r.callPeer(limited, peer, req)
		mayHaveRun := errors.Is(err, keeper.ErrOutcomeUnknown)
		served := !mayHaveRun && !errors.Is(err, keeper.ErrUnavailable)
		if served {
			r.endDirectWatches()
		}
		if served || errors.Is(ctx.Err(), context.Canceled) {
			return resp, err
		}
		r.avoidPeer(peer.ID())
		if mayHaveRun || limited.Err() != nil {
			return response{}, err
		}
		failure = err
	}
	r.peerBackoffUntil.Store(int64(r.now() + peerBackoff))
	return response{}, failure
}

// endDirectWatches ends the watches that were sent directly. The store serves a peer and not
// this VM, so they may get no answer.
func (r *Relayer) endDirectWatches() {
	if n := r.outages.cancelWatches(); n > 0 {
		r.log.Info("store serves a peer; watches begin anew", "watches", n)
	}
}

// callPeer makes a call through the given peer. Its errors are those of callPeers.
func (r *Relayer) callPeer(ctx context.Context, peer claimer.Member, req request) (response, error) {
	r.relayed.Inc(1)
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	resp, err := messenger.Call[request, response](traced, r.messenger, peer.Address(), procedure, &req)
	switch {
	case connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeResourceExhausted: // the peer has refused the body
		return response{}, fmt.Errorf("%w: %w", keeper.ErrUnavailable, err)
	case err != nil && connected.Load() && !req.Operation.isRepeatable():
		return response{}, fmt.Errorf("%w: %w", keeper.ErrOutcomeUnknown, err)
	case err != nil:
		return response{}, fmt.Errorf("%w: %w", keeper.ErrUnavailable, err)
	case resp.Failure > 0 && resp.Failure <= len(wireErrors()):
		return response{}, wireErrors()[resp.Failure-1]
	}
	return *resp, nil
}

// isRepeatable reports whether a call of unknown outcome may be made again.
func (o operation) isRepeatable() bool { return o != put && o != remove && o != grant }
