package elector_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/elector"
	"filberthaven.example/emulator"
	"filberthaven.example/granter"
	"filberthaven.example/journaler"
	"filberthaven.example/keeper"
	"pgregory.net/rapid"
)

const (
	// fuzzLimit is the team's upper limit over both shards.
	fuzzLimit = 12
	// fuzzTeam is the team whose limit is watched.
	fuzzTeam = "lychnos"
	// fuzzTick is the time between two steps.
	fuzzTick = 250 * time.Millisecond
)

var fuzzShards = []string{"piraeus.0", "piraeus.1"}

// TestMain fixes the seed; -rapid.seed and -rapid.checks on the command line go
// before it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// action is one step of a script.
type action struct {
	kind   string
	vm     int
	shard  int
	amount int
}

// String names the action in a failure.
func (a action) String() string { return fmt.Sprintf("%s(%d,%d,%d)", a.kind, a.vm, a.shard, a.amount) }

// kinds are the steps, work more often than faults.
var kinds = []string{
	"write", "write", "write", "write", "begin", "begin", "begin", "end", "end", "end",
	"wait", "wait", "kill", "pause", "cut", "down", "lose", "late", "stale", "slow", "heal", "heal", "handover",
}

// drawScript draws the steps.
func drawScript(t *rapid.T) []action {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			vm:     rapid.IntRange(0, 2).Draw(t, "vm"),
			shard:  rapid.IntRange(0, len(fuzzShards)-1).Draw(t, "shard"),
			amount: rapid.IntRange(1, 5).Draw(t, "amount"),
		}
	}), 20, 120).Draw(t, "script")
}

// world is what really happens, with the promises that were broken.
type world struct {
	store *emulator.Store

	mu      sync.Mutex
	fences  map[string]uint64           // highest term that workers have seen, by shard
	running map[string]int64            // by shard
	answers map[string]map[string]error // by shard and record
	broken  []string
	nodes   []*fuzzNode
	serial  int
}

// breaks notes a broken promise.
func (w *world) breaks(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// fence is how workers learn a term; they tell what runs.
func (w *world) fence(shard string, term uint64) (int64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if term < w.fences[shard] {
		return 0, false
	}
	w.fences[shard] = term
	return w.running[shard], true
}

// order is an order to the workers of a shard under a term.
func (w *world) order(shard string, term uint64, amount int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if term < w.fences[shard] {
		return false
	}
	w.running[shard] += amount
	sum := int64(0)
	for _, n := range w.running {
		sum += n
	}
	if sum > fuzzLimit {
		w.breaks("limit passed: %v", w.running)
	}
	return true
}

// answer notes what a caller was told of a record.
func (w *world) answer(shard, record string, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.answers[shard] == nil {
		w.answers[shard] = map[string]error{}
	}
	w.answers[shard][record] = err
}

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
	allotter *granter.Allotter
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
	e.Candidates(fuzzShards...)
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
		journal.Abandon()
		return journaler.ErrDeposed
	}
	s.allotter, err = granter.NewAllotter(seam, n.mirror, shard, granter.WithTerm(s.term), granter.WithGroups(1))
	if err != nil {
		return err
	}
	s.allotter.SetLimit(fuzzTeam, granter.CPU, fuzzLimit, 1)
	s.allotter.Recover(fuzzTeam, granter.CPU, running)
	n.group.Go(func() { _ = s.allotter.Run(ctx) })
	n.mu.Lock()
	defer n.mu.Unlock()
	if ctx.Err() != nil {
		journal.Abandon()
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
		n.group.Go(s.journal.Abandon)
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
		n.group.Go(s.journal.Abandon)
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
	s.allotter.SetWanted(fuzzTeam, granter.CPU, int64(amount))
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

// judge compares what a new owner found with what callers were told.
func (w *world) judge(shard string, state []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	counts := map[string]int{}
	for _, record := range state {
		counts[record]++
	}
	for record, n := range counts {
		if n > 1 {
			w.breaks("%s stands %d times in %s", record, n, shard)
		}
	}
	for record, err := range w.answers[shard] {
		switch {
		case err == nil && counts[record] == 0:
			w.breaks("accepted %s lost from %s", record, shard)
		case (errors.Is(err, journaler.ErrUnavailable) || errors.Is(err, journaler.ErrDeposed)) && counts[record] > 0:
			w.breaks("refused %s stands in %s: %v", record, shard, err)
		}
	}
}

// step carries out one action.
func (w *world) step(number int, a action) {
	n, shard := w.nodes[a.vm], fuzzShards[a.shard]
	long := time.Duration(a.amount) * time.Second
	switch a.kind {
	case "write":
		for part := range a.amount {
			n.write(shard, fmt.Sprintf("%d.%d", number, part))
		}
	case "begin":
		n.begin(shard, a.amount)
	case "end":
		n.end(shard, a.amount)
	case "wait":
		time.Sleep(long)
	case "kill":
		n.kill()
		w.nodes[a.vm] = w.boot(a.vm)
	case "pause":
		n.gate.pause(2 * long)
	case "cut":
		n.client.SetFaults(emulator.Cut())
	case "down":
		w.store.SetFaults(emulator.Down())
	case "lose":
		w.store.SetFaults(emulator.LoseAnswers(0.5))
	case "late":
		n.client.SetFaults(emulator.LateWrites(0.5, long))
	case "stale":
		n.client.SetFaults(emulator.StaleReads(0.3), emulator.LoseAnswers(0.3))
	case "slow":
		n.client.SetFaults(emulator.Slow(long / 2))
	case "heal":
		n.client.SetFaults()
		w.store.SetFaults()
	case "handover":
		w.handOver(n, shard)
	}
}

// handOver gives the shard to another VM as a planned stop would: once the
// journal is closed there is no way back.
func (w *world) handOver(n *fuzzNode, shard string) {
	s := n.shard(shard)
	if s == nil {
		return
	}
	n.group.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, time.Second)
		defer cancel()
		_ = s.journal.Close(ctx)
		for n.ctx.Err() == nil && n.shard(shard) == s {
			_ = n.Resign(n.ctx, shard)
			time.Sleep(fuzzTick)
		}
	})
}

// play runs a script and returns the broken promises.
func play(script []action, seed uint64) []string {
	w := &world{
		store:   emulator.NewStore(emulator.WithSeed(seed)),
		fences:  map[string]uint64{},
		running: map[string]int64{},
		answers: map[string]map[string]error{},
	}
	for vm := range 3 {
		w.nodes = append(w.nodes, w.boot(vm))
	}
	time.Sleep(4 * time.Second)
	for number, a := range script {
		w.step(number, a)
		time.Sleep(fuzzTick)
	}
	w.store.SetFaults()
	for _, n := range w.nodes {
		n.client.SetFaults()
	}
	time.Sleep(30 * time.Second)
	w.checkHealed()
	for _, n := range w.nodes {
		n.kill()
	}
	return w.broken
}

// checkHealed checks that each shard has one working owner again.
func (w *world) checkHealed() {
	for _, shard := range fuzzShards {
		owners := slices.DeleteFunc(slices.Clone(w.nodes), func(n *fuzzNode) bool {
			s := n.shard(shard)
			return s == nil || s.journal.Err() != nil
		})
		if len(owners) != 1 {
			w.breaks("%s has %d owners after healing", shard, len(owners))
			continue
		}
		owners[0].write(shard, "last")
		time.Sleep(2 * time.Second)
		s := owners[0].shard(shard)
		synctest.Wait()
		w.judge(shard, s.state)
		w.mu.Lock()
		if err, told := w.answers[shard]["last"]; !told || err != nil {
			w.breaks("%s accepts nothing after healing: %v", shard, err)
		}
		w.mu.Unlock()
	}
}

func TestFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := drawScript(rt)
		seed := rapid.Uint64().Draw(rt, "seed")
		var broken []string
		synctest.Test(t, func(*testing.T) { broken = play(script, seed) })
		if len(broken) > 0 {
			rt.Fatalf("broken promises:\n%s", strings.Join(broken, "\n"))
		}
	})
}
