package granter

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"filberthaven.example/messenger"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/oops"
)

// Timing of the allocation of slots.
const (
	// rebalanceInterval is the shortest time between two changes of the weights
	// by demand.
	rebalanceInterval = 500 * time.Millisecond
	// holderTimeout is how long a holder may go without a report and still get
	// new slots. Afterwards it keeps the slots that it has.
	holderTimeout = 5 * time.Second
	// journalTimeout bounds one write of grants to the journal.
	journalTimeout = 2 * time.Second
)

// Errors of a holder's report.
var (
	// ErrNotOwner means that this entry VM allocates no slots, since it doesn't
	// own the data centre's first shard.
	ErrNotOwner = errors.New("not the owner of the shard")
	// ErrStaleIncarnation means that a newer incarnation of the holder is
	// known.
	ErrStaleIncarnation = errors.New("incarnation of the holder is over")
)

// Executor is an endpoint whose slots are allocated.
type Executor struct {
	id, service, address string // never empty
	slots                int    // at least 0
	connections          int    // at least slots
	leaving              bool   // gets no new work
}

// NewExecutor returns an endpoint of a service at address (host:port), with the
// numbers of requests and connections that it accepts at once.
func NewExecutor(id, service, address string, slots, connections int, leaving bool) Executor {
	return Executor{id: id, service: service, address: address, slots: slots, connections: max(connections, slots), leaving: leaving}
}

// SlotAllocator divides the slots of a data centre's executors between its
// entry VMs, the holders. The owner of the data centre's first shard runs it.
//
// Invariant: a grant never exceeds the executor's slots less what all other
// holders may still use. What a holder may use falls only when it acknowledges
// smaller grants or its incarnation has ended.
type SlotAllocator struct {
	executors        func() []Executor
	incarnationEnded func(holder string, incarnation uint64) bool
	journal          func(ctx context.Context, record []byte) error
	now              func() time.Time
	logger           hclog.Logger

	mu            sync.Mutex
	active        bool
	term          uint64     // of the ownership
	executorList  []Executor // as of the last report
	holders       map[string]*holderState
	weights       map[string]map[string]int // in force, by service and holder
	lastRebalance time.Time                 // last change of the weights
}

// holderState is what the owner knows of one holder. Its current grants are the
// newest ones, whether or not the holder has received them.
type holderState struct {
	id               string
	incarnation      uint64
	seq              uint64         // of the current grants; 0 before the first
	currentSlots     map[string]int // by executor: slots in the current grants
	currentExecutors []Executor     // listed in the current grants
	allocated        map[string]int // by executor: at least what the holder may use
	persisted        map[string]int // by executor: at most what the journal has for the holder
	demand           map[string]int // by service
	lastReport       time.Time
	writing          bool // a journal write for the holder is in flight
}

// SlotAllocatorOption configures a SlotAllocator.
type SlotAllocatorOption func(*SlotAllocator)

// WithExecutors sets the function that returns the executors of the data
// centre, without those that are gone.
func WithExecutors(executors func() []Executor) SlotAllocatorOption {
	return func(s *SlotAllocator) { s.executors = executors }
}

// WithIncarnationEnded sets the function that reports whether an incarnation of
// a holder has definitely ended.
func WithIncarnationEnded(ended func(holder string, incarnation uint64) bool) SlotAllocatorOption {
	return func(s *SlotAllocator) { s.incarnationEnded = ended }
}

// WithSlotJournal sets the function that writes a record to the shard's
// journal. It must return nil only when the record is known to be persisted.
func WithSlotJournal(write func(ctx context.Context, record []byte) error) SlotAllocatorOption {
	return func(s *SlotAllocator) { s.journal = write }
}

// WithSlotClock sets the function that returns the current time.
func WithSlotClock(now func() time.Time) SlotAllocatorOption {
	return func(s *SlotAllocator) { s.now = now }
}

// WithSlotLogger sets the logger.
func WithSlotLogger(logger hclog.Logger) SlotAllocatorOption {
	return func(s *SlotAllocator) { s.logger = logger.Named("granter") }
}

// NewSlotAllocator returns a SlotAllocator that allocates nothing until Begin.
func NewSlotAllocator(options ...SlotAllocatorOption) (*SlotAllocator, error) {
	s := &SlotAllocator{
		executors:        func() []Executor { return nil },
		incarnationEnded: func(string, uint64) bool { return false },
		journal:          func(context.Context, []byte) error { return nil },
		now:              time.Now,
		logger:           hclog.NewNullLogger(),
		holders:          map[string]*holderState{},
		weights:          map[string]map[string]int{},
	}
	for _, option := range options {
		option(s)
	}
	return s, nil
}

// Register registers the handler of holders' reports.
func (s *SlotAllocator) Register(m *messenger.Messenger, mux messenger.Mux) {
	messenger.Handle(m, mux, slotsProcedure, s.onReport)
}

// Begin starts to allocate under a term. It restores the holders from the
// journal's records, which must be in order.
func (s *SlotAllocator) Begin(term uint64, records [][]byte) error {
	holders := map[string]*holderState{}
	for _, data := range records {
		var record slotRecord
		if err := cbor.Unmarshal(data, &record); err != nil {
			return oops.Wrapf(err, "decode record of slots")
		}
		replay(holders, record)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active, s.term, s.holders = true, term, holders
	s.weights, s.lastRebalance = map[string]map[string]int{}, time.Time{}
	s.logger.Info("allocating slots", "term", term, "holders", len(holders))
	return nil
}

// replay applies one journal record to the holders. The record of an older
// incarnation than the known one has no effect.
func replay(holders map[string]*holderState, record slotRecord) {
	h, ok := holders[record.Holder]
	if ok && h.incarnation > record.Incarnation {
		return
	}
	h = newHolderState(record.Holder, record.Incarnation)
	for _, count := range record.Slots {
		h.allocated[count.Name] = count.Slots
		h.persisted[count.Name] = count.Slots
	}
	holders[record.Holder] = h
}

// newHolderState returns the state of a holder without grants.
func newHolderState(id string, incarnation uint64) *holderState {
	return &holderState{
		id: id, incarnation: incarnation, currentSlots: map[string]int{}, allocated: map[string]int{},
		persisted: map[string]int{}, demand: map[string]int{},
	}
}

// End stops allocating. Holders keep what they have.
func (s *SlotAllocator) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = false
}

// Records returns journal records that restore the present state, for a
// snapshot.
func (s *SlotAllocator) Records() ([][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := make([][]byte, 0, len(s.holders))
	for _, h := range s.holders {
		record, err := h.record()
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// record encodes the holder's journal record. The caller holds the lock.
func (h *holderState) record() ([]byte, error) {
	data, err := cbor.Marshal(slotRecord{Holder: h.id, Incarnation: h.incarnation, Slots: countsOf(h.allocated)})
	return data, oops.Wrapf(err, "encode record of slots")
}

// onReport applies a holder's report and returns its grants.
func (s *SlotAllocator) onReport(ctx context.Context, request *slotsRequest) (*slotsResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.active {
		return nil, connect.NewError(connect.CodeUnavailable, ErrNotOwner)
	}
	h, ok := s.holderOf(request)
	if !ok {
		return nil, connect.NewError(connect.CodeFailedPrecondition, ErrStaleIncarnation)
	}
	s.executorList = s.executors()
	h.applyReport(request, s.term, s.now())
	if h.writing {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("grants are being written"))
	}
	s.removeEnded()
	s.rebalance()
	if err := s.grant(ctx, h); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return s.response(h, request), nil
}

// holderOf returns the state of the holder that reports, or false if the report
// is from an older incarnation. A report from a newer incarnation shows that
// the older one has ended. The caller holds the lock.
func (s *SlotAllocator) holderOf(request *slotsRequest) (*holderState, bool) {
	h, ok := s.holders[request.Holder]
	if ok && request.Incarnation < h.incarnation {
		return nil, false
	}
	if !ok || request.Incarnation > h.incarnation {
		h = newHolderState(request.Holder, request.Incarnation)
		s.holders[request.Holder] = h
	}
	return h, true
}

// applyReport applies a report. Only an acknowledgement of the current grants
// frees slots: until then the holder may still apply older ones.
func (h *holderState) applyReport(request *slotsRequest, term uint64, now time.Time) {
	h.lastReport = now
	clear(h.demand)
	for _, count := range request.Demand {
		h.demand[count.Name] = max(count.Slots, 0)
	}
	if request.Term != term || request.Seq != h.seq || h.seq == 0 || h.writing {
		return
	}
	holding := map[string]int{}
	for _, count := range request.Holding {
		holding[count.Name] = count.Slots
	}
	for executor := range h.allocated {
		if n := max(h.currentSlots[executor], holding[executor]); n < h.allocated[executor] {
			h.allocated[executor] = n
		}
		if h.allocated[executor] == 0 {
			delete(h.allocated, executor)
		}
	}
}

// removeEnded frees the slots of holders whose incarnation has ended. The
// caller holds the lock.
func (s *SlotAllocator) removeEnded() {
	for id, h := range s.holders {
		if !h.writing && s.incarnationEnded(id, h.incarnation) {
			delete(s.holders, id)
			s.logger.Info("holder ended, slots freed", "holder", id, "incarnation", h.incarnation)
		}
	}
}

// grant computes the holder's next grants and makes them current if they differ.
// It persists them first unless the journal covers them already. The caller
// holds the lock, which is released during the write.
func (s *SlotAllocator) grant(ctx context.Context, h *holderState) error {
	next := s.nextSlots(h)
	if h.seq > 0 && equalCounts(next, h.currentSlots) && slices.Equal(h.currentExecutors, s.executorList) {
		return nil
	}
	executors := s.executorList
	grows := false
	for executor, n := range next {
		h.allocated[executor] = max(h.allocated[executor], n)
		grows = grows || n > h.persisted[executor]
	}
	if grows {
		if err := s.persist(ctx, h); err != nil {
			return err
		}
	}
	if !s.active || s.holders[h.id] != h {
		return ErrNotOwner
	}
	h.seq++
	h.currentSlots, h.currentExecutors = next, executors
	s.logger.Info("slots granted", "holder", h.id, "term", s.term, "seq", h.seq, "slots", totalSlots(next))
	return nil
}

// persist writes the holder's record to the journal. The caller holds the lock,
// which is released during the write. After a failure the journal may end with
// the old or the new record, so h.persisted then holds the smaller count of
// both for each executor.
func (s *SlotAllocator) persist(ctx context.Context, h *holderState) error {
	record, err := h.record()
	if err != nil {
		return err
	}
	written := map[string]int{}
	for executor, n := range h.allocated {
		written[executor] = n
	}
	for executor, n := range h.persisted {
		h.persisted[executor] = min(n, written[executor])
	}
	h.writing = true
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), journalTimeout)
	err = s.journal(ctx, record)
	cancel()
	s.mu.Lock()
	h.writing = false
	if err != nil {
		return oops.Wrapf(err, "write grants of %s", h.id)
	}
	h.persisted = written
	return nil
}

// response returns the current grants, or none if the holder has them already.
// The caller holds the lock.
func (s *SlotAllocator) response(h *holderState, request *slotsRequest) *slotsResponse {
	response := &slotsResponse{Term: s.term, Seq: h.seq}
	if request.Term == s.term && request.Seq == h.seq {
		return response
	}
	for _, executor := range h.currentExecutors {
		response.Grants = append(response.Grants, slotGrant{
			Executor: executor.id, Service: executor.service, Address: executor.address, Leaving: executor.leaving,
			Slots: h.currentSlots[executor.id], Connections: executor.connectionsFor(h.currentSlots[executor.id]),
		})
	}
	return response
}

// connectionsFor returns the connections that go with a number of slots. Over
// all holders they add up to at most what the executor accepts.
func (e Executor) connectionsFor(slots int) int {
	if e.slots == 0 {
		return 0
	}
	return e.connections * slots / e.slots
}

// Granted returns the most slots that each holder may use, by holder and
// executor.
func (s *SlotAllocator) Granted() map[string]map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := map[string]map[string]int{}
	for id, h := range s.holders {
		granted[id] = map[string]int{}
		for executor, n := range h.allocated {
			granted[id][executor] = n
		}
	}
	return granted
}

// totalSlots returns the sum of slots over all executors.
func totalSlots(slots map[string]int) int {
	sum := 0
	for _, n := range slots {
		sum += n
	}
	return sum
}

// equalCounts reports whether a and b have the same counts. A missing count
// equals 0.
func equalCounts(a, b map[string]int) bool {
	for name, n := range a {
		if b[name] != n {
			return false
		}
	}
	for name, n := range b {
		if a[name] != n {
			return false
		}
	}
	return true
}
