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

// fuzzNode is one process of an entry VM.
type fuzzNode struct {
	world  *world
	id     string
	client *emulator.Client
	gate   *gate
	cancel context.CancelFunc
	ctx    context.Context
	*elector.Elector
	mirror *keeper.Mirror

	mu     sync.Mutex
	shards map[string]*fuzzShard
	group  sync.WaitGroup
}

// fuzzShard is a shard as run by one owner.
type fuzzShard struct {
	term     uint64
	journal  *journaler.Journaler
	allotter *granter.QuotaAllocator
	state    []string
	cancel   context.CancelFunc
}

// gate holds up a process at its calls, as a pause would.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // closed while calls may go on
}

// newGate returns an open gate.
func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

// pause closes the gate for a time.
func (g *gate) pause(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
	default:
		return
	}
	g.open = make(chan struct{})
	opened := g.open
	time.AfterFunc(d, func() { close(opened) })
}

// wait waits until the gate is open.
func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

// through returns the seam with the gate before and after each call.
func (g *gate) through(s keeper.Store) keeper.Store {
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

// boot starts a process in the place of the VM.
func (w *world) boot(vm int) *fuzzNode {
	w.serial++
	id := fmt.Sprint("vm", vm)
	n := &fuzzNode{world: w, id: id, client: w.store.Client(id), gate: newGate(), shards: map[string]*fuzzShard{}}
	n.client.SetFaults()
	seam := n.gate.through(n.client.Seam())
	n.mirror = keeper.NewMirror(seam, "live/")
	e, err := elector.New(seam, n.mirror, elector.NewVM(id, uint64(w.serial), id+":1", "piraeus"),
		elector.OnElected(n.elected), elector.OnDeposed(n.deposed))
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

// elected makes the process run the shard.
func (n *fuzzNode) elected(shard string, term uint64) {
	ctx, cancel := context.WithCancel(n.ctx)
	s := &fuzzShard{term: term, cancel: cancel}
	n.group.Go(func() {
		if err := n.serve(ctx, shard, s); err != nil {
			cancel()
		}
	})
}

// serve opens the journal, fences the workers and starts the allotter.
func (n *fuzzNode) serve(ctx context.Context, shard string, s *fuzzShard) error {
	seam := n.gate.through(n.client.Seam())
	journal, err := journaler.New(seam, shard, journaler.WithSlots(16), journaler.WithRate(1000))
	if err != nil {
		return err
	}
	s.journal = journal
	journal.SetSnapshotter(func() []byte { return []byte(strings.Join(s.state, " ")) })
	recovery, err := journal.Open(ctx, s.term)
	if err != nil {
		return err
	}
	if len(recovery.Snapshot()) > 0 {
		s.state = strings.Split(string(recovery.Snapshot()), " ")
	}
	for _, record := range recovery.Records() {
		s.state = append(s.state, string(record))
	}
	n.world.judge(shard, s.state)
	running, ok := n.world.fence(shard, s.term)
	if !ok {
		journal.Abort()
		return journaler.ErrDeposed
	}
	s.allotter, err = granter.NewQuotaAllocator(seam, n.mirror, shard, granter.WithTerm(s.term), granter.WithGroups(1))
	if err != nil {
		return err
	}
	s.allotter.SetLimit(fuzzTeam, granter.CPU, fuzzLimit, 1)
	s.allotter.Recover(fuzzTeam, granter.CPU, running)
	n.group.Go(func() { _ = s.allotter.Run(ctx) })
	n.mu.Lock()
	defer n.mu.Unlock()
	if ctx.Err() != nil {
		journal.Abort()
		return ctx.Err()
	}
	n.shards[shard] = s
	return nil
}

// deposed ends the shard here.
func (n *fuzzNode) deposed(shard string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.shards[shard]; s != nil {
		delete(n.shards, shard)
		s.cancel()
		n.group.Go(s.journal.Abort)
	}
}

// shard returns the shard if the process runs it.
func (n *fuzzNode) shard(shard string) *fuzzShard {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.shards[shard]
}

// kill ends the process; nothing of it goes on.
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

// write accepts a record for the shard.
func (n *fuzzNode) write(shard, record string) {
	s := n.shard(shard)
	if s == nil {
		return
	}
	err := s.journal.Enqueue([]byte(record), func(err error) {
		if err == nil {
			s.state = append(s.state, record)
		}
		n.world.answer(shard, record, err)
	})
	if err != nil {
		n.world.answer(shard, record, err)
	}
}

// begin starts as many tasks as the limit allows, one by one.
func (n *fuzzNode) begin(shard string, amount int) {
	s := n.shard(shard)
	if s == nil {
		return
	}
	s.allotter.SetDemand(fuzzTeam, granter.CPU, int64(amount))
	for range amount {
		if !s.allotter.Reserve(fuzzTeam, granter.CPU, 1) {
			return
		}
		if !n.world.order(shard, s.term, 1) {
			s.allotter.Release(fuzzTeam, granter.CPU, 1)
			return
		}
	}
}

// end ends tasks that run.
func (n *fuzzNode) end(shard string, amount int) {
	s := n.shard(shard)
	if s == nil {
		return
	}
	running, ok := n.world.fence(shard, s.term)
	if !ok {
		return
	}
	done := min(running, int64(amount))
	if done > 0 && n.world.order(shard, s.term, -done) {
		s.allotter.Release(fuzzTeam, granter.CPU, done)
	}
}
