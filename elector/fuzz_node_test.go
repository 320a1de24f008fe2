package elector_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"filberthaven.example/elector"
	"filberthaven.example/emulator"
	"filberthaven.example/granter"
	"filberthaven.example/journaler"
	"filberthaven.example/keeper"
)

// fuzzNode is one process of an entry VM, with the shards that it runs.
type fuzzNode struct {
	cluster *cluster
	id      string
	client  *emulator.Client
	gate    *gate
	cancel  context.CancelFunc
	ctx     context.Context
	*elector.Elector
	mirror *keeper.Mirror

	mu      sync.Mutex
	shards  map[string]*fuzzShard // whose journal is open
	opening map[string]*fuzzShard // elected, journal not open yet
	group   sync.WaitGroup
}

// fuzzShard is what one owner runs for a shard.
type fuzzShard struct {
	term      uint64
	journal   *journaler.Journaler
	allocator *granter.QuotaAllocator
	records   []string // of the shard, as far as this owner knows
	cancel    context.CancelFunc
}

// gate blocks a process at its calls to the store, as a pause of the process
// would.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed when the gate opens
}

// newGate returns an open gate.
func newGate() *gate {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

// pause closes the gate for d, unless it is closed already.
func (g *gate) pause(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
	default:
		return
	}
	g.opened = make(chan struct{})
	opened := g.opened
	time.AfterFunc(d, func() { close(opened) })
}

// wait blocks until the gate is open.
func (g *gate) wait() {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	<-opened
}

// wrap returns the store with a wait at the gate before and after each call.
func (g *gate) wrap(s keeper.Store) keeper.Store {
	gated := s
	gated.Get = func(ctx context.Context, key string) (keeper.Entry, error) {
		g.wait()
		defer g.wait()
		return s.Get(ctx, key)
	}
	gated.List = func(ctx context.Context, prefix string) ([]keeper.Entry, error) {
		g.wait()
		defer g.wait()
		return s.List(ctx, prefix)
	}
	gated.Put = func(ctx context.Context, key string, value []byte, expect uint64, lease keeper.LeaseID) (uint64, error) {
		g.wait()
		defer g.wait()
		return s.Put(ctx, key, value, expect, lease)
	}
	gated.Watch = func(ctx context.Context, prefix string, after uint64) ([]keeper.Entry, uint64, error) {
		g.wait()
		defer g.wait()
		return s.Watch(ctx, prefix, after)
	}
	return gated
}

// startNode starts a new process of the VM with that number.
func (c *cluster) startNode(vm int) *fuzzNode {
	c.lastIncarnation++
	id := fmt.Sprint("vm", vm)
	n := &fuzzNode{cluster: c, id: id, client: c.store.Client(id), gate: newGate(), shards: map[string]*fuzzShard{}, opening: map[string]*fuzzShard{}}
	n.client.SetFaults()
	kv := n.gate.wrap(n.client.KV())
	n.mirror = keeper.NewMirror(kv, "live/")
	e, err := elector.New(kv, n.mirror, elector.NewVM(id, uint64(c.lastIncarnation), id+":1", "piraeus"),
		elector.WithOnElected(n.onElected), elector.WithOnDeposed(n.onDeposed))
	if err != nil {
		panic(err)
	}
	e.SetEligibleShards(fuzzShards...)
	n.Elector = e
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.group.Go(func() { _ = n.mirror.Run(n.ctx) })
	n.group.Go(func() { _ = e.Run(n.ctx) })
	return n
}

// onElected starts to run the shard in this process.
func (n *fuzzNode) onElected(shard string, term uint64) {
	ctx, cancel := context.WithCancel(n.ctx)
	s := &fuzzShard{term: term, cancel: cancel}
	n.mu.Lock()
	n.opening[shard] = s
	n.mu.Unlock()
	n.group.Go(func() {
		if err := n.openShard(ctx, shard, s); err != nil {
			cancel()
		}
	})
}

// openShard opens the journal, fences the workers and starts the quota
// allocator.
func (n *fuzzNode) openShard(ctx context.Context, shard string, s *fuzzShard) error {
	kv := n.gate.wrap(n.client.KV())
	journal, err := journaler.New(kv, shard, journaler.WithSlots(16), journaler.WithRate(1000))
	if err != nil {
		return err
	}
	s.journal = journal
	journal.SetSnapshotter(func() []byte { return []byte(strings.Join(s.records, " ")) })
	recovery, err := journal.Open(ctx, s.term)
	if err != nil {
		return err
	}
	if len(recovery.Snapshot()) > 0 {
		s.records = strings.Split(string(recovery.Snapshot()), " ")
	}
	for _, record := range recovery.Records() {
		s.records = append(s.records, string(record))
	}
	n.cluster.checkRecords(shard, s.records)
	running, ok := n.cluster.fence(shard, s.term)
	if !ok {
		journal.Abort()
		return journaler.ErrDeposed
	}
	s.allocator, err = granter.NewQuotaAllocator(kv, n.mirror, shard, granter.WithTerm(s.term), granter.WithGroups(1))
	if err != nil {
		return err
	}
	s.allocator.SetLimit(fuzzTeam, granter.CPU, fuzzLimit, 1)
	s.allocator.Recover(fuzzTeam, granter.CPU, running)
	n.group.Go(func() { _ = s.allocator.Run(ctx) })
	n.mu.Lock()
	defer n.mu.Unlock()
	if ctx.Err() != nil {
		journal.Abort()
		return ctx.Err()
	}
	delete(n.opening, shard)
	n.shards[shard] = s
	return nil
}

// onDeposed stops the shard in this process.
func (n *fuzzNode) onDeposed(shard string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.opening[shard]; s != nil {
		delete(n.opening, shard)
		s.cancel()
	}
	if s := n.shards[shard]; s != nil {
		delete(n.shards, shard)
		s.cancel()
		n.group.Go(s.journal.Abort)
	}
}

// shard returns what the process runs for a shard, or nil.
func (n *fuzzNode) shard(shard string) *fuzzShard {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.shards[shard]
}

// kill ends the process with all that it runs.
func (n *fuzzNode) kill() {
	n.client.SetFaults(emulator.Down())
	n.cancel()
	n.mu.Lock()
	for shard, s := range n.shards {
		delete(n.shards, shard)
		n.group.Go(s.journal.Abort)
	}
	n.mu.Unlock()
	n.group.Wait()
}

// appendRecord writes a record to the shard's journal.
func (n *fuzzNode) appendRecord(shard, record string) {
	s := n.shard(shard)
	if s == nil {
		return
	}
	err := s.journal.Enqueue([]byte(record), func(err error) {
		if err == nil {
			s.records = append(s.records, record)
		}
		n.cluster.setResult(shard, record, err)
	})
	if err != nil {
		n.cluster.setResult(shard, record, err)
	}
}

// startTasks starts up to amount tasks, one by one, as far as the quota allows.
func (n *fuzzNode) startTasks(shard string, amount int) {
	s := n.shard(shard)
	if s == nil {
		return
	}
	s.allocator.SetDemand(fuzzTeam, granter.CPU, int64(amount))
	for range amount {
		if !s.allocator.Reserve(fuzzTeam, granter.CPU, 1) {
			return
		}
		if !n.cluster.dispatch(shard, s.term, 1) {
			s.allocator.Release(fuzzTeam, granter.CPU, 1)
			return
		}
	}
}

// endTasks ends up to amount running tasks.
func (n *fuzzNode) endTasks(shard string, amount int) {
	s := n.shard(shard)
	if s == nil {
		return
	}
	running, ok := n.cluster.fence(shard, s.term)
	if !ok {
		return
	}
	ended := min(running, int64(amount))
	if ended > 0 && n.cluster.dispatch(shard, s.term, -ended) {
		s.allocator.Release(fuzzTeam, granter.CPU, ended)
	}
}
