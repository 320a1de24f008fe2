package granter

import (
	"context"
	"errors"
	"sync"
	"time"

	"filberthaven.example/messenger"
	"github.com/hashicorp/go-hclog"
)

// Timing of reports.
const (
	// reportInterval is the time between two reports to the owner.
	reportInterval = 500 * time.Millisecond
	// minReportInterval is the time between two reports when requests wait or
	// new grants have to be acknowledged.
	minReportInterval = 20 * time.Millisecond
	// reportTimeout bounds one report.
	reportTimeout = 3 * time.Second
	// demandDecay is the factor by which the peak of demand falls with each
	// report.
	demandDecay = 0.75
)

// ErrNoSlot means that no executor of the service is granted to this entry VM,
// or that no slot became free in time.
var ErrNoSlot = errors.New("no free slot")

// SlotPool holds the slots that were granted to this entry VM. It keeps them
// while no owner can be reached.
type SlotPool struct {
	id          string
	incarnation uint64
	owner       func() (address string, ok bool)
	messenger   *messenger.Messenger
	logger      hclog.Logger
	wakeup      chan struct{} // capacity 1; makes the next report due soon

	mu        sync.RWMutex // locked before the mu of a service
	services  map[string]*serviceSlots
	executors map[string]*grantedExecutor
	excluded  map[string]bool // by id: executors that get no new requests, whether or not granted yet
	term, seq uint64          // of the newest grants applied; seq restarts in each term
}

// SlotPoolOption configures a SlotPool.
type SlotPoolOption func(*SlotPool)

// WithIdentity sets the id of this entry VM and the incarnation of its process,
// which must be higher than those of earlier processes of the VM.
func WithIdentity(id string, incarnation uint64) SlotPoolOption {
	return func(p *SlotPool) {
		p.id = id
		p.incarnation = incarnation
	}
}

// WithOwner sets the function that returns the address of the entry VM that runs
// the SlotAllocator, if there is one.
func WithOwner(owner func() (address string, ok bool)) SlotPoolOption {
	return func(p *SlotPool) { p.owner = owner }
}

// WithMessenger sets the messenger that sends reports.
func WithMessenger(m *messenger.Messenger) SlotPoolOption {
	return func(p *SlotPool) { p.messenger = m }
}

// WithPoolLogger sets the logger.
func WithPoolLogger(logger hclog.Logger) SlotPoolOption {
	return func(p *SlotPool) { p.logger = logger.Named("granter") }
}

// NewSlotPool returns a pool without slots. Run obtains them.
func NewSlotPool(options ...SlotPoolOption) (*SlotPool, error) {
	p := &SlotPool{
		owner:     func() (string, bool) { return "", false },
		logger:    hclog.NewNullLogger(),
		wakeup:    make(chan struct{}, 1),
		services:  map[string]*serviceSlots{},
		executors: map[string]*grantedExecutor{},
		excluded:  map[string]bool{},
	}
	for _, option := range options {
		option(p)
	}
	return p, nil
}

// Run reports to the owner and applies its grants until ctx is done.
func (p *SlotPool) Run(ctx context.Context) error {
	for {
		reportedAt := time.Now()
		delay := reportInterval
		if p.report(ctx) {
			delay = minReportInterval
		}
		if !p.awaitReport(ctx, reportedAt, delay) {
			return nil
		}
	}
}

// awaitReport waits until the next report is due: for delay, or until a wake-up if the last
// report is minReportInterval ago. It returns false once ctx is done.
func (p *SlotPool) awaitReport(ctx context.Context, reportedAt time.Time, delay time.Duration) bool {
	for delay > 0 {
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
			return true
		case <-p.wakeup:
			timer.Stop()
			delay = minReportInterval - time.Since(reportedAt)
		}
	}
	return true
}

// report sends one report and applies the response. It reports whether the
// response held newer grants.
func (p *SlotPool) report(ctx context.Context) bool {
	address, ok := p.owner()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	response, err := messenger.Call[slotsRequest, slotsResponse](ctx, p.messenger, address, slotsProcedure, p.newRequest())
	if err != nil {
		p.logger.Debug("failed to report to shard owner", "address", address, "error", err)
		return false
	}
	return p.apply(response)
}

// newRequest returns a report of the present state. Each call lets the peaks of
// demand decay.
func (p *SlotPool) newRequest() *slotsRequest {
	p.mu.RLock()
	defer p.mu.RUnlock()
	request := &slotsRequest{Holder: p.id, Incarnation: p.incarnation, Term: p.term, Seq: p.seq}
	for name, service := range p.services {
		demand, holding := service.report()
		request.Demand = append(request.Demand, slotCount{Name: name, Slots: demand})
		request.Holding = append(request.Holding, holding...)
	}
	return request
}

// apply applies grants if they are newer than those applied before, and reports
// whether they are.
func (p *SlotPool) apply(response *slotsResponse) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if response.Term < p.term || response.Term == p.term && response.Seq <= p.seq && p.seq > 0 {
		return false
	}
	listed := map[string]bool{}
	for _, grant := range response.Grants {
		listed[grant.Executor] = true
		p.executorOf(grant).apply(grant)
	}
	for id, executor := range p.executors {
		if !listed[id] && executor.revoke() {
			delete(p.executors, id)
		}
	}
	p.term, p.seq = response.Term, response.Seq
	for _, service := range p.services {
		service.serveWaiters()
	}
	return true
}

// executorOf returns the executor of a grant, adding it on first use. The
// caller holds the lock.
func (p *SlotPool) executorOf(grant slotGrant) *grantedExecutor {
	if known, ok := p.executors[grant.Executor]; ok && known.service.name == grant.Service {
		return known
	}
	service := p.serviceLocked(grant.Service)
	executor := &grantedExecutor{service: service, id: grant.Executor, excluded: p.excluded[grant.Executor]}
	service.add(executor)
	p.executors[grant.Executor] = executor
	return executor
}

// serviceLocked returns a service, adding it on first use. The caller holds the
// lock.
func (p *SlotPool) serviceLocked(name string) *serviceSlots {
	service, ok := p.services[name]
	if !ok {
		service = &serviceSlots{name: name, wakeup: p.wakeup}
		p.services[name] = service
	}
	return service
}

// serviceOf returns a service, adding it on first use.
func (p *SlotPool) serviceOf(name string) *serviceSlots {
	p.mu.RLock()
	service, ok := p.services[name]
	p.mu.RUnlock()
	if ok {
		return service
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serviceLocked(name)
}

// Acquire takes a slot of the least loaded executor that avoid (nil: none) does
// not reject. If none is free, it waits for one until ctx is done and then returns
// ErrNoSlot. For a service with no executor in the grants it returns ErrNoSlot at
// once.
func (p *SlotPool) Acquire(ctx context.Context, service string, avoid func(executor string) bool) (Slot, error) {
	return p.serviceOf(service).acquire(ctx, avoid)
}

// SetExcluded sets whether an executor gets no new requests. It serves for an
// executor that is leaving before the owner's grants say so.
func (p *SlotPool) SetExcluded(executor string, excluded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if excluded {
		p.excluded[executor] = true
	} else {
		delete(p.excluded, executor)
	}
	if known, ok := p.executors[executor]; ok {
		known.exclude(excluded)
	}
}

// Load returns the numbers of slots granted for the service, of requests in
// flight, and of requests that wait for a slot.
func (p *SlotPool) Load(service string) (granted, inFlight, waiting int) {
	return p.serviceOf(service).load()
}

// Services returns the names of the services with granted slots.
func (p *SlotPool) Services() []string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var names []string
	for name, service := range p.services {
		if granted, _, _ := service.load(); granted > 0 {
			names = append(names, name)
		}
	}
	return names
}
