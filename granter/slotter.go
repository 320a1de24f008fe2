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

// Bounds of the division of slots.
const (
	// rebalanceInterval is the least time between two changes of the weights.
	rebalanceInterval = 500 * time.Millisecond
	// holderSilence is after what time without a report a holder gets no new
	// slots; it keeps those that it has.
	holderSilence = 5 * time.Second
	// journalTimeout bounds one write of grants.
	journalTimeout = 2 * time.Second
)

// Errors of reports.
var (
	// ErrNotOwner means that this entry VM divides no slots at present.
	ErrNotOwner = errors.New("not the owner of the shard")
	// ErrStaleIncarnation means that a newer process has followed the holder.
	ErrStaleIncarnation = errors.New("incarnation of the holder is over")
)

// Executor is an endpoint whose slots are divided.
type Executor struct {
	id, service, address string // never empty
	slots                int    // at least 0
	connections          int    // at least slots
	leaving              bool   // gets no new work
}

// NewExecutor returns an endpoint of a service at address (host:port), with the
// requests and connections that it takes at once.
func NewExecutor(id, service, address string, slots, connections int, leaving bool) Executor {
	return Executor{id: id, service: service, address: address, slots: slots, connections: max(connections, slots), leaving: leaving}
}

// SlotAllocator divides the slots of a data centre's executors between its entry VMs.
// The owner of the shard runs it.
//
// Invariant: a grant that is sent never exceeds the executor's slots less what
// all other holders may still use. What a holder may use falls only by its own
// acknowledgement, or when it is over.
type SlotAllocator struct {
	executors func() []Executor
	isOver    func(holder string, incarnation uint64) bool
	journal   func(ctx context.Context, record []byte) error
	now       func() time.Time
	logger    hclog.Logger

	mu         sync.Mutex
	active     bool
	term       uint64     // of the ownership
	list       []Executor // as read at the last report
	holders    map[string]*holderState
	weights    map[string]map[string]int // by service and holder, as in force
	rebalanced time.Time                 // of the last change of the weights
}

// holderState is what the owner knows of one holder.
type holderState struct {
	id          string
	incarnation uint64
	seq         uint64         // of the grants last sent; 0: none yet
	sent        map[string]int // grants last sent, by executor
	listed      []Executor     // as last sent
	booked      map[string]int // never less than what the holder may use
	durable     map[string]int // never more than what the journal holds of it
	demand      map[string]int // by service
	heard       time.Time      // of the last report
	busy        bool           // a write of its grants is under way
}

// SlotAllocatorOption changes a Slotter under construction.
type SlotAllocatorOption func(*SlotAllocator)

// WithExecutors sets where the executors of the data centre are read; those
// that are gone are not among them.
func WithExecutors(f func() []Executor) SlotAllocatorOption {
	return func(s *SlotAllocator) { s.executors = f }
}

// WithIncarnationEnded sets what tells that an incarnation of a holder surely does not run
// any more.
func WithIncarnationEnded(f func(holder string, incarnation uint64) bool) SlotAllocatorOption {
	return func(s *SlotAllocator) { s.isOver = f }
}

// WithSlotJournal sets how a record is written to the shard's journal. It returns nil
// only when the record is known to hold.
func WithSlotJournal(f func(ctx context.Context, record []byte) error) SlotAllocatorOption {
	return func(s *SlotAllocator) { s.journal = f }
}

// WithSlotClock sets the clock.
func WithSlotClock(now func() time.Time) SlotAllocatorOption {
	return func(s *SlotAllocator) { s.now = now }
}

// WithSlotLogger sets where grants are logged.
func WithSlotLogger(logger hclog.Logger) SlotAllocatorOption {
	return func(s *SlotAllocator) { s.logger = logger.Named("granter") }
}

// NewSlotAllocator returns a Slotter changed by the options. It divides nothing until
// Begin.
func NewSlotAllocator(options ...SlotAllocatorOption) (*SlotAllocator, error) {
	s := &SlotAllocator{
		executors: func() []Executor { return nil },
		isOver:    func(string, uint64) bool { return false },
		journal:   func(context.Context, []byte) error { return nil },
		now:       time.Now,
		logger:    hclog.NewNullLogger(),
		holders:   map[string]*holderState{},
		weights:   map[string]map[string]int{},
	}
	for _, option := range options {
		option(s)
	}
	return s, nil
}

// Register adds the handler of reports.
func (s *SlotAllocator) Register(m *messenger.Messenger, mux messenger.Mux) {
	messenger.Handle(m, mux, slotsProcedure, s.handle)
}

// Begin starts to divide under a term, from the journal's records in order.
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
	s.weights, s.rebalanced = map[string]map[string]int{}, time.Time{}
	s.logger.Info("dividing slots", "term", term, "holders", len(holders))
	return nil
}

// replay takes one record over.
func replay(holders map[string]*holderState, record slotRecord) {
	h, ok := holders[record.Holder]
	if ok && h.incarnation > record.Incarnation {
		return
	}
	h = newHolderState(record.Holder, record.Incarnation)
	for _, count := range record.Slots {
		h.booked[count.Name] = count.Slots
		h.durable[count.Name] = count.Slots
	}
	holders[record.Holder] = h
}

// newHolderState returns a holder without grants.
func newHolderState(id string, incarnation uint64) *holderState {
	return &holderState{
		id: id, incarnation: incarnation, sent: map[string]int{}, booked: map[string]int{},
		durable: map[string]int{}, demand: map[string]int{},
	}
}

// End stops dividing. Holders keep what they have.
func (s *SlotAllocator) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active = false
}

// Records returns records that restore the present state, for a snapshot.
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

// record returns the journal's record of a holder. The lock is held.
func (h *holderState) record() ([]byte, error) {
	data, err := cbor.Marshal(slotRecord{Holder: h.id, Incarnation: h.incarnation, Slots: countsOf(h.booked)})
	return data, oops.Wrapf(err, "encode record of slots")
}

// handle answers a holder's report with its grants.
func (s *SlotAllocator) handle(ctx context.Context, request *slotsRequest) (*slotsResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.active {
		return nil, connect.NewError(connect.CodeUnavailable, ErrNotOwner)
	}
	h, ok := s.holderOf(request)
	if !ok {
		return nil, connect.NewError(connect.CodeFailedPrecondition, ErrStaleIncarnation)
	}
	s.list = s.executors()
	h.take(request, s.term, s.now())
	if h.busy {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("grants are being written"))
	}
	s.sweep()
	s.rebalance()
	if err := s.grant(ctx, h); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return s.response(h, request), nil
}

// holderOf returns the state of the holder that reports. A newer incarnation
// shows that the older one is over. The lock is held.
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

// take notes a report. Only an acknowledgement of the grants last sent frees
// slots: until then the holder may yet apply any that were sent.
func (h *holderState) take(request *slotsRequest, term uint64, now time.Time) {
	h.heard = now
	clear(h.demand)
	for _, count := range request.Demand {
		h.demand[count.Name] = max(count.Slots, 0)
	}
	if request.Term != term || request.Seq != h.seq || h.seq == 0 || h.busy {
		return
	}
	held := map[string]int{}
	for _, count := range request.Holding {
		held[count.Name] = count.Slots
	}
	for executor := range h.booked {
		if n := max(h.sent[executor], held[executor]); n < h.booked[executor] {
			h.booked[executor] = n
		}
		if h.booked[executor] == 0 {
			delete(h.booked, executor)
		}
	}
}

// sweep frees the slots of holders that are over. The lock is held.
func (s *SlotAllocator) sweep() {
	for id, h := range s.holders {
		if !h.busy && s.isOver(id, h.incarnation) {
			delete(s.holders, id)
			s.logger.Info("holder is over", "holder", id, "incarnation", h.incarnation)
		}
	}
}

// grant sets the holder's next grants, in the journal first where they grow. The
// lock is held, but not during the write.
func (s *SlotAllocator) grant(ctx context.Context, h *holderState) error {
	next := s.next(h)
	if h.seq > 0 && equalCounts(next, h.sent) && slices.Equal(h.listed, s.list) {
		return nil
	}
	listed := s.list
	grows := false
	for executor, n := range next {
		h.booked[executor] = max(h.booked[executor], n)
		grows = grows || n > h.durable[executor]
	}
	if grows {
		if err := s.write(ctx, h); err != nil {
			return err
		}
	}
	if !s.active || s.holders[h.id] != h {
		return ErrNotOwner
	}
	h.seq++
	h.sent, h.listed = next, listed
	s.logger.Info("slots granted", "holder", h.id, "term", s.term, "seq", h.seq, "slots", sumOf(next))
	return nil
}

// write writes the holder's record. The lock is given up meanwhile. After a
// failure the journal may hold either record.
func (s *SlotAllocator) write(ctx context.Context, h *holderState) error {
	record, err := h.record()
	if err != nil {
		return err
	}
	written := map[string]int{}
	for executor, n := range h.booked {
		written[executor] = n
	}
	for executor, n := range h.durable {
		h.durable[executor] = min(n, written[executor])
	}
	h.busy = true
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), journalTimeout)
	err = s.journal(ctx, record)
	cancel()
	s.mu.Lock()
	h.busy = false
	if err != nil {
		return oops.Wrapf(err, "write grants of %s", h.id)
	}
	h.durable = written
	return nil
}

// response returns the grants last set, none if the holder has them already. The
// lock is held.
func (s *SlotAllocator) response(h *holderState, request *slotsRequest) *slotsResponse {
	response := &slotsResponse{Term: s.term, Seq: h.seq}
	if request.Term == s.term && request.Seq == h.seq {
		return response
	}
	for _, executor := range h.listed {
		response.Grants = append(response.Grants, slotGrant{
			Executor: executor.id, Service: executor.service, Address: executor.address, Leaving: executor.leaving,
			Slots: h.sent[executor.id], Connections: executor.connectionsFor(h.sent[executor.id]),
		})
	}
	return response
}

// connectionsFor returns the connections that go with a number of slots. Over
// all holders they add up to no more than the executor takes.
func (e Executor) connectionsFor(slots int) int {
	if e.slots == 0 {
		return 0
	}
	return e.connections * slots / e.slots
}

// Granted returns how many slots each holder may use at most, by holder and
// executor.
func (s *SlotAllocator) Granted() map[string]map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := map[string]map[string]int{}
	for id, h := range s.holders {
		granted[id] = map[string]int{}
		for executor, n := range h.booked {
			granted[id][executor] = n
		}
	}
	return granted
}

// sumOf returns the slots over all executors.
func sumOf(slots map[string]int) int {
	sum := 0
	for _, n := range slots {
		sum += n
	}
	return sum
}

// equalCounts reports whether both hold the same counts; 0 is like absent.
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
