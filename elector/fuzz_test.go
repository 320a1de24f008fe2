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
	// fuzzTeam is the team whose limit is checked.
	fuzzTeam = "lychnos"
	// fuzzTick is the time between two actions.
	fuzzTick = 250 * time.Millisecond
)

var fuzzShards = []string{"piraeus.0", "piraeus.1"}

// TestMain fixes the seed; -rapid.seed and -rapid.checks on the command line
// take precedence.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// action is one step of a scenario.
type action struct {
	kind   string
	vm     int // index in cluster.nodes
	shard  int // index in fuzzShards
	amount int // of records or tasks, or a time in seconds
}

// String formats the action for failure reports.
func (a action) String() string { return fmt.Sprintf("%s(%d,%d,%d)", a.kind, a.vm, a.shard, a.amount) }

// actionKinds are the kinds to draw from; work occurs more often than faults.
// "begin" and "end" start and end tasks, "cut" partitions a VM from the store, and
// "lose" drops half of the store's responses.
var actionKinds = []string{
	"write", "write", "write", "write", "begin", "begin", "begin", "end", "end", "end",
	"wait", "wait", "kill", "pause", "cut", "down", "lose", "late", "stale", "slow", "heal", "heal", "handover",
}

// drawActions draws the steps of a scenario.
func drawActions(t *rapid.T) []action {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			kind:   rapid.SampledFrom(actionKinds).Draw(t, "kind"),
			vm:     rapid.IntRange(0, 2).Draw(t, "vm"),
			shard:  rapid.IntRange(0, len(fuzzShards)-1).Draw(t, "shard"),
			amount: rapid.IntRange(1, 5).Draw(t, "amount"),
		}
	}), 20, 120).Draw(t, "script")
}

// cluster is the simulated cluster with its actual state and the invariant
// violations seen.
type cluster struct {
	store *emulator.Store

	mu              sync.Mutex
	fences          map[string]uint64           // highest term that workers have seen, by shard
	running         map[string]int64            // tasks that run, by shard
	results         map[string]map[string]error // result reported to the writer, by shard and record; nil if the record was accepted
	violations      []string
	nodes           []*fuzzNode
	lastIncarnation int
}

func (c *cluster) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// fence makes the workers of a shard refuse lower terms and returns how many
// tasks run. It reports false if they have seen a higher term.
func (c *cluster) fence(shard string, term uint64) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term < c.fences[shard] {
		return 0, false
	}
	c.fences[shard] = term
	return c.running[shard], true
}

// dispatch changes the number of running tasks of a shard by amount. It reports
// false if the workers have seen a higher term.
func (c *cluster) dispatch(shard string, term uint64, amount int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term < c.fences[shard] {
		return false
	}
	c.running[shard] += amount
	sum := int64(0)
	for _, n := range c.running {
		sum += n
	}
	if sum > fuzzLimit {
		c.addViolation("limit exceeded: %v", c.running)
	}
	return true
}

// setResult stores what was reported to the writer of a record.
func (c *cluster) setResult(shard, record string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.results[shard] == nil {
		c.results[shard] = map[string]error{}
	}
	c.results[shard][record] = err
}

// checkRecords compares the records that an owner has with what was reported to
// their writers.
func (c *cluster) checkRecords(shard string, records []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for _, record := range records {
		counts[record]++
	}
	for record, n := range counts {
		if n > 1 {
			c.addViolation("record %s occurs %d times in %s", record, n, shard)
		}
	}
	for record, err := range c.results[shard] {
		switch {
		case err == nil && counts[record] == 0:
			c.addViolation("accepted record %s lost from %s", record, shard)
		case (errors.Is(err, journaler.ErrUnavailable) || errors.Is(err, journaler.ErrDeposed)) && counts[record] > 0:
			c.addViolation("refused record %s found in %s: %v", record, shard, err)
		}
	}
}

// step carries out one action.
func (c *cluster) step(index int, a action) {
	n, shard := c.nodes[a.vm], fuzzShards[a.shard]
	d := time.Duration(a.amount) * time.Second
	switch a.kind {
	case "write":
		for part := range a.amount {
			n.appendRecord(shard, fmt.Sprintf("%d.%d", index, part))
		}
	case "begin":
		n.startTasks(shard, a.amount)
	case "end":
		n.endTasks(shard, a.amount)
	case "wait":
		time.Sleep(d)
	case "kill":
		n.kill()
		c.nodes[a.vm] = c.startNode(a.vm)
	case "pause":
		n.gate.pause(2 * d)
	case "cut":
		n.client.SetFaults(emulator.Partition())
	case "down":
		c.store.SetFaults(emulator.Down())
	case "lose":
		c.store.SetFaults(emulator.LoseResponses(0.5))
	case "late":
		n.client.SetFaults(emulator.LateWrites(0.5, d))
	case "stale":
		n.client.SetFaults(emulator.StaleReads(0.3), emulator.LoseResponses(0.3))
	case "slow":
		n.client.SetFaults(emulator.Slow(d / 2))
	case "heal":
		n.client.SetFaults()
		c.store.SetFaults()
	case "handover":
		c.handOver(n, shard)
	}
}

// handOver hands the shard to another VM as in a planned stop: the owner closes
// the journal, and then resigns until it has lost the shard.
func (c *cluster) handOver(n *fuzzNode, shard string) {
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

// runActions runs a scenario and returns the invariant violations.
func runActions(actions []action, seed uint64) []string {
	c := &cluster{
		store:   emulator.NewStore(emulator.WithSeed(seed)),
		fences:  map[string]uint64{},
		running: map[string]int64{},
		results: map[string]map[string]error{},
	}
	for vm := range 3 {
		c.nodes = append(c.nodes, c.startNode(vm))
	}
	time.Sleep(4 * time.Second)
	for index, a := range actions {
		c.step(index, a)
		time.Sleep(fuzzTick)
	}
	c.store.SetFaults()
	for _, n := range c.nodes {
		n.client.SetFaults()
	}
	time.Sleep(30 * time.Second)
	c.checkRecovered()
	for _, n := range c.nodes {
		n.kill()
	}
	return c.violations
}

// checkRecovered checks that each shard has one working owner after all faults
// have ended.
func (c *cluster) checkRecovered() {
	for _, shard := range fuzzShards {
		owners := slices.DeleteFunc(slices.Clone(c.nodes), func(n *fuzzNode) bool {
			s := n.shard(shard)
			return s == nil || s.journal.Err() != nil
		})
		if len(owners) != 1 {
			c.addViolation("%s has %d owners after healing", shard, len(owners))
			continue
		}
		owners[0].appendRecord(shard, "last")
		time.Sleep(2 * time.Second)
		s := owners[0].shard(shard)
		synctest.Wait()
		c.checkRecords(shard, s.records)
		c.mu.Lock()
		if err, ok := c.results[shard]["last"]; !ok || err != nil {
			c.addViolation("%s accepts no record after healing: %v", shard, err)
		}
		c.mu.Unlock()
	}
}

func TestFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		actions := drawActions(rt)
		seed := rapid.Uint64().Draw(rt, "seed")
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = runActions(actions, seed) })
		if len(violations) > 0 {
			rt.Fatalf("invariant violations:\n%s", strings.Join(violations, "\n"))
		}
	})
}

// TestDeposedWhileOpening checks that a process that loses a shard while it opens the
// shard's journal does not run the shard afterwards.
func TestDeposedWhileOpening(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{store: emulator.NewStore(), fences: map[string]uint64{}, running: map[string]int64{}, results: map[string]map[string]error{}}
		n := c.startNode(0)
		defer n.kill()
		n.gate.pause(2 * time.Second)
		n.onElected("other", 1)
		n.onDeposed("other")
		time.Sleep(5 * time.Second)
		if n.shard("other") != nil {
			t.Fatal("deposed owner runs the shard")
		}
	})
}
