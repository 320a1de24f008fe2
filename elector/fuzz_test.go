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

	"filberthaven.example/emulator"
	"filberthaven.example/journaler"
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
