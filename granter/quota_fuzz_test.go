package granter_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/granter"
	"filberthaven.example/keeper"
	"pgregory.net/rapid"
)

// TestMain fixes the seed; -rapid.seed and -rapid.checks on the command line
// take precedence.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// fuzzLimit is the team's limit in TestQuotaAllocatorFuzz; it never changes.
const fuzzLimit = 6

// cluster simulates three shards whose owners change, and the tasks that run.
type cluster struct {
	store      *emulator.Store
	owners     [3]*shardOwner
	allOwners  []*shardOwner // includes replaced owners
	running    [3]int64      // tasks, by shard
	terms      [3]uint64     // of the present owners, by shard
	violations []string
}

// shardOwner is one owner of a shard. It keeps running after it has been
// replaced.
type shardOwner struct {
	*granter.QuotaAllocator
	client *emulator.Client
	cancel context.CancelFunc
}

// step is one step of a scenario.
type step struct {
	Kind   string
	Shard  int
	Amount int64 // of demand or tasks, or a factor of a time
}

// drawSteps draws the steps of a scenario.
func drawSteps(t *rapid.T) []step {
	stepKinds := []string{
		"want", "want", "start", "start", "start", "start", "stop", "stop", "stop", "wait", "wait",
		"lose", "late", "cut", "stale", "heal", "replace", "down",
	}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind:   rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			Shard:  rapid.IntRange(0, 2).Draw(t, "shard"),
			Amount: rapid.Int64Range(1, fuzzLimit).Draw(t, "amount"),
		}
	}), 30, 150).Draw(t, "script")
}

// replaceOwner gives a shard a new owner and leaves the previous one running.
func (c *cluster) replaceOwner(shard int) {
	c.terms[shard]++
	name := fmt.Sprint("shard", shard)
	o := &shardOwner{client: c.store.Client(fmt.Sprint(name, ".", c.terms[shard]))}
	kv := o.client.KV()
	mirror := keeper.NewMirror(kv, "live/")
	allocator, err := granter.NewQuotaAllocator(kv, mirror, name, granter.WithTerm(c.terms[shard]), granter.WithGroups(1))
	if err != nil {
		panic(err)
	}
	o.QuotaAllocator = allocator
	o.SetLimit(team, granter.CPU, fuzzLimit, 1)
	o.Recover(team, granter.CPU, c.running[shard])
	ctx, cancel := context.WithCancel(context.Background())
	o.cancel = cancel
	go func() { _ = mirror.Run(ctx) }()
	go func() { _ = allocator.Run(ctx) }()
	c.owners[shard] = o
	c.allOwners = append(c.allOwners, o)
}

// startTasks starts up to amount tasks of one unit each, as far as the quota
// allows, and checks the limit.
func (c *cluster) startTasks(shard int, amount int64) {
	for range amount {
		if !c.owners[shard].Reserve(team, granter.CPU, 1) {
			return
		}
		c.running[shard]++
		if sum := c.running[0] + c.running[1] + c.running[2]; sum > fuzzLimit {
			c.violations = append(c.violations, fmt.Sprintf("limit exceeded: %v running", c.running))
		}
	}
}

// apply carries out one step.
func (c *cluster) apply(s step) {
	o := c.owners[s.Shard]
	switch s.Kind {
	case "want":
		o.SetDemand(team, granter.CPU, s.Amount)
	case "start":
		c.startTasks(s.Shard, s.Amount)
	case "stop":
		amount := min(s.Amount, c.running[s.Shard])
		c.running[s.Shard] -= amount
		o.Release(team, granter.CPU, amount)
	case "wait":
		time.Sleep(time.Duration(s.Amount) * 300 * time.Millisecond)
	case "lose":
		o.client.SetFaults(emulator.LoseResponses(0.7))
	case "late":
		o.client.SetFaults(emulator.LateWrites(0.7, time.Duration(s.Amount)*time.Second), emulator.FailReads(0.5))
	case "cut":
		o.client.SetFaults(emulator.Partition())
	case "stale":
		o.client.SetFaults(emulator.StaleReads(0.5), emulator.LoseResponses(0.5))
	case "heal":
		o.client.SetFaults()
		c.store.SetFaults()
	case "replace":
		c.replaceOwner(s.Shard)
	case "down":
		c.store.SetFaults(emulator.Down())
	}
}

// runSteps runs a scenario and returns the invariant violations.
func runSteps(steps []step, seed uint64) []string {
	c := &cluster{store: emulator.NewStore(emulator.WithSeed(seed))}
	for shard := range c.owners {
		c.replaceOwner(shard)
	}
	for _, s := range steps {
		c.apply(s)
		time.Sleep(90 * time.Millisecond)
	}
	c.store.SetFaults()
	for shard, o := range c.owners {
		o.client.SetFaults()
		o.Release(team, granter.CPU, c.running[shard])
		c.running[shard] = 0
		o.SetDemand(team, granter.CPU, fuzzLimit)
	}
	time.Sleep(30 * time.Second)
	for shard, o := range c.owners {
		if o.Quota(team, granter.CPU) != fuzzLimit/3 {
			c.violations = append(c.violations, fmt.Sprintf("shard %d has quota %d after healing", shard, o.Quota(team, granter.CPU)))
		}
	}
	for _, o := range c.allOwners {
		o.cancel()
	}
	return c.violations
}

func TestQuotaAllocatorFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		seed := rapid.Uint64().Draw(rt, "seed")
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = runSteps(steps, seed) })
		if len(violations) > 0 {
			rt.Fatalf("invariant violations:\n%s", strings.Join(violations, "\n"))
		}
	})
}
