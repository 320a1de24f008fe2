package granter

import (
	"context"
	"errors"
	"sync"
	"time"

	"filberthaven.example/messenger"
	"github.com/hashicorp/go-hclog"
)

// Intervals of reports.
const (
	// reportInterval is the time between two reports to the owner.
	reportInterval = 500 * time.Millisecond
	// hurryInterval is the time to the next report when requests wait or new
	// grants have to be acknowledged.
	hurryInterval = 20 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 3 * time.Second
	// demandDecay is the part of an earlier peak of demand that is kept at each
	// report.
	demandDecay = 0.75
)

// ErrNoSlot means that no executor of the service is granted to this entry VM,
// or that none got free in time.
var ErrNoSlot = errors.New("no free slot")

// SlotPool keeps the slots that were granted to this entry VM. It keeps them while
// no owner can be reached.
type SlotPool struct {
	id          string
	incarnation uint64
	owner       func() (address string, ok bool)
	messenger   *messenger.Messenger
	logger      hclog.Logger
	hurry       chan struct{} // holds one element when requests wait

	mu        sync.RWMutex
	services  map[string]*heldService
	executors map[string]*held
	excluded  map[string]bool // executors that get no new requests, also before they are granted
	term, seq uint64          // of the newest grants applied; only rise together
}

// SlotPoolOption changes a Holder under construction.
type SlotPoolOption func(*SlotPool)

// WithIdentity sets the own VM and the incarnation of the process, which is higher than
// those of earlier processes of the VM.
func WithIdentity(id string, incarnation uint64) SlotPoolOption {
	return func(h *SlotPool) {
		h.id = id
		h.incarnation = incarnation
	}
}

// WithOwner sets where the shard's owner is reached, if there is one.
func WithOwner(f func() (address string, ok bool)) SlotPoolOption {
	return func(h *SlotPool) { h.owner = f }
}

// WithMessenger sets what reports travel by.
func WithMessenger(m *messenger.Messenger) SlotPoolOption {
	return func(h *SlotPool) { h.messenger = m }
}

// WithPoolLogger sets where changes are logged.
func WithPoolLogger(logger hclog.Logger) SlotPoolOption {
	return func(h *SlotPool) { h.logger = logger.Named("granter") }
}

// NewSlotPool returns a Holder without slots, changed by the options. Run fetches
// them.
func NewSlotPool(options ...SlotPoolOption) (*SlotPool, error) {
	h := &SlotPool{
		owner:     func() (string, bool) { return "", false },
		logger:    hclog.NewNullLogger(),
		hurry:     make(chan struct{}, 1),
		services:  map[string]*heldService{},
		executors: map[string]*held{},
		excluded:  map[string]bool{},
	}
	for _, option := range options {
		option(h)
	}
	return h, nil
}

// Run reports to the owner and applies its grants until ctx is done.
func (h *SlotPool) Run(ctx context.Context) error {
	var last time.Time
	var pause time.Duration // until the next report
	for {
		// A timer that is due already can't be used again under synctest.
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		case <-h.hurry:
			timer.Stop()
			if pause = hurryInterval - time.Since(last); pause > 0 {
				continue
			}
		}
		last = time.Now()
		next := reportInterval
		if h.report(ctx) {
			next = hurryInterval
		}
		pause = next
	}
}

// report sends one report and applies the answer. It reports whether the answer
// held newer grants.
func (h *SlotPool) report(ctx context.Context) bool {
	address, ok := h.owner()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	response, err := messenger.Call[slotsRequest, slotsResponse](ctx, h.messenger, address, slotsProcedure, h.request())
	if err != nil {
		h.logger.Debug("owner not reached", "address", address, "error", err)
		return false
	}
	return h.apply(response)
}

// request returns the report of the present state.
func (h *SlotPool) request() *slotsRequest {
	h.mu.RLock()
	defer h.mu.RUnlock()
	request := &slotsRequest{Holder: h.id, Incarnation: h.incarnation, Term: h.term, Seq: h.seq}
	for name, service := range h.services {
		demand, holding := service.report()
		request.Demand = append(request.Demand, slotCount{Name: name, Slots: demand})
		request.Holding = append(request.Holding, holding...)
	}
	return request
}

// apply takes grants over and reports true, unless they are no newer than those
// applied.
func (h *SlotPool) apply(response *slotsResponse) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if response.Term < h.term || response.Term == h.term && response.Seq <= h.seq && h.seq > 0 {
		return false
	}
	named := map[string]bool{}
	for _, grant := range response.Grants {
		named[grant.Executor] = true
		h.heldOf(grant).set(grant)
	}
	for id, executor := range h.executors {
		if !named[id] && executor.drop() {
			delete(h.executors, id)
		}
	}
	h.term, h.seq = response.Term, response.Seq
	for _, service := range h.services {
		service.serve()
	}
	return true
}

// heldOf returns the executor of a grant, new on first use. The lock is held.
func (h *SlotPool) heldOf(grant slotGrant) *held {
	if known, ok := h.executors[grant.Executor]; ok && known.service.name == grant.Service {
		return known
	}
	service := h.serviceLocked(grant.Service)
	fresh := &held{service: service, id: grant.Executor, excluded: h.excluded[grant.Executor]}
	service.add(fresh)
	h.executors[grant.Executor] = fresh
	return fresh
}

// serviceLocked returns a service, new on first use. The lock is held.
func (h *SlotPool) serviceLocked(name string) *heldService {
	service, ok := h.services[name]
	if !ok {
		service = &heldService{name: name, hurry: h.hurry}
		h.services[name] = service
	}
	return service
}

// serviceOf returns a service, new on first use.
func (h *SlotPool) serviceOf(name string) *heldService {
	h.mu.RLock()
	service, ok := h.services[name]
	h.mu.RUnlock()
	if ok {
		return service
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.serviceLocked(name)
}

// Acquire returns a slot of the least loaded executor that avoid (nil: none)
// does not reject. It waits until ctx is done and then returns ErrNoSlot. A
// service with no executor in the grants fails at once.
func (h *SlotPool) Acquire(ctx context.Context, service string, avoid func(executor string) bool) (Slot, error) {
	return h.serviceOf(service).acquire(ctx, avoid)
}

// Exclude keeps new requests from an executor that leaves, before the owner's
// grants say so; false lets them in again.
func (h *SlotPool) Exclude(executor string, excluded bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if excluded {
		h.excluded[executor] = true
	} else {
		delete(h.excluded, executor)
	}
	if known, ok := h.executors[executor]; ok {
		known.exclude(excluded)
	}
}

// Load returns the slots granted, the requests in flight and those that wait
// for a slot of the service.
func (h *SlotPool) Load(service string) (granted, inFlight, waiting int) {
	return h.serviceOf(service).load()
}

// Services returns the names of the services that have executors here.
func (h *SlotPool) Services() []string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var names []string
	for name, service := range h.services {
		if granted, _, _ := service.load(); granted > 0 {
			names = append(names, name)
		}
	}
	return names
}
