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

// TestMain fixes the seed; -rapid.seed and -rapid.checks on the command line go
// before it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// fleetLimit is the limit in the allotter's fuzz, the same throughout.
const fleetLimit = 6

// fleet is three shards, whose owners change, with what really runs.
type fleet struct {
	store   *emulator.Store
	owners  [3]*fleetOwner
	all     []*fleetOwner // older ones included
	running [3]int64
	terms   [3]uint64 // fences of the workers
	broken  []string
}

// fleetOwner is one owner of a shard; older ones go on.
type fleetOwner struct {
	*granter.QuotaAllocator
	client *emulator.Client
	cancel context.CancelFunc
}

// allotStep is one step of a script.
type allotStep struct {
	Kind   string
	Shard  int
	Amount int64
}

// drawAllotSteps draws a script.
func drawAllotSteps(t *rapid.T) []allotStep {
	kinds := []string{
		"want", "want", "start", "start", "start", "start", "stop", "stop", "stop", "wait", "wait",
		"lose", "late", "cut", "stale", "heal", "replace", "down",
	}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) allotStep {
		return allotStep{
			Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			Shard:  rapid.IntRange(0, 2).Draw(t, "shard"),
			Amount: rapid.Int64Range(1, fleetLimit).Draw(t, "amount"),
		}
	}), 30, 150).Draw(t, "script")
}

// replace gives a shard a new owner; the one before is left as it is.
func (f *fleet) replace(shard int) {
	f.terms[shard]++
	name := fmt.Sprint("shard", shard)
	o := &fleetOwner{client: f.store.Client(fmt.Sprint(name, ".", f.terms[shard]))}
	seam := o.client.Seam()
	mirror := keeper.NewMirror(seam, "live/")
	allotter, err := granter.NewQuotaAllocator(seam, mirror, name, granter.WithTerm(f.terms[shard]), granter.WithGroups(1))
	if err != nil {
		panic(err)
	}
	o.QuotaAllocator = allotter
	o.SetLimit(team, granter.CPU, fleetLimit, 1)
	o.Recover(team, granter.CPU, f.running[shard])
	ctx, cancel := context.WithCancel(context.Background())
	o.cancel = cancel
	go func() { _ = mirror.Run(ctx) }()
	go func() { _ = allotter.Run(ctx) }()
	f.owners[shard] = o
	f.all = append(f.all, o)
}

// start starts tasks of one unit each.
func (f *fleet) start(shard int, amount int64) {
	for range amount {
		if !f.owners[shard].Reserve(team, granter.CPU, 1) {
			return
		}
		f.running[shard]++
		if sum := f.running[0] + f.running[1] + f.running[2]; sum > fleetLimit {
			f.broken = append(f.broken, fmt.Sprintf("%v running", f.running))
		}
	}
}

// step carries out one step.
func (f *fleet) step(s allotStep) {
	o := f.owners[s.Shard]
	switch s.Kind {
	case "want":
		o.SetDemand(team, granter.CPU, s.Amount)
	case "start":
		f.start(s.Shard, s.Amount)
	case "stop":
		amount := min(s.Amount, f.running[s.Shard])
		f.running[s.Shard] -= amount
		o.Release(team, granter.CPU, amount)
	case "wait":
		time.Sleep(time.Duration(s.Amount) * 300 * time.Millisecond)
	case "lose":
		o.client.SetFaults(emulator.LoseAnswers(0.7))
	case "late":
		o.client.SetFaults(emulator.LateWrites(0.7, time.Duration(s.Amount)*time.Second), emulator.FailReads(0.5))
	case "cut":
		o.client.SetFaults(emulator.Cut())
	case "stale":
		o.client.SetFaults(emulator.StaleReads(0.5), emulator.LoseAnswers(0.5))
	case "heal":
		o.client.SetFaults()
		f.store.SetFaults()
	case "replace":
		f.replace(s.Shard)
	case "down":
		f.store.SetFaults(emulator.Down())
	}
}

// playAllotments runs a script and returns the broken promises.
func playAllotments(script []allotStep, seed uint64) []string {
	f := &fleet{store: emulator.NewStore(emulator.WithSeed(seed))}
	for shard := range f.owners {
		f.replace(shard)
	}
	for _, s := range script {
		f.step(s)
		time.Sleep(90 * time.Millisecond)
	}
	f.store.SetFaults()
	for shard, o := range f.owners {
		o.client.SetFaults()
		o.Release(team, granter.CPU, f.running[shard])
		f.running[shard] = 0
		o.SetDemand(team, granter.CPU, fleetLimit)
	}
	time.Sleep(30 * time.Second)
	for shard, o := range f.owners {
		if o.Quota(team, granter.CPU) != fleetLimit/3 {
			f.broken = append(f.broken, fmt.Sprintf("shard %d has %d after healing", shard, o.Quota(team, granter.CPU)))
		}
	}
	for _, o := range f.all {
		o.cancel()
	}
	return f.broken
}

func TestAllotterFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := drawAllotSteps(rt)
		seed := rapid.Uint64().Draw(rt, "seed")
		var broken []string
		synctest.Test(t, func(*testing.T) { broken = playAllotments(script, seed) })
		if len(broken) > 0 {
			rt.Fatalf("broken promises:\n%s", strings.Join(broken, "\n"))
		}
	})
}
