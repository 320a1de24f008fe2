package configurer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/keeper"
	qt "github.com/frankban/quicktest"
)

// emptyHash is the SHA-256 of no bytes.
const emptyHash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

// fleetText declares two data centres, a team, a key of the team and a key of an operator.
const fleetText = `
[centre "a"]
shards = 2
[centre "b"]
[team "cremona"]
[key "team00000000"]
hash = ` + emptyHash + `
team = cremona
[key "oper00000000"]
hash = ` + emptyHash + `
role = operator
`

// applyFirst writes the first revision.
func applyFirst(c *qt.C, w *Writer) {
	c.Helper()
	number, err := w.Apply(c.Context(), 0, parseText(c, fleetText), "ada", "first")
	c.Assert(err, qt.IsNil)
	c.Assert(number, qt.Equals, uint64(1))
}

func TestWriter(t *testing.T) {
	c := qt.New(t)
	store := emulator.NewStore()
	w := NewWriter(store.KV(), NewCopy())
	applyFirst(c, w)

	c.Run("raced", func(c *qt.C) {
		_, err := w.Apply(c.Context(), 0, parseText(c, fleetText), "bea", "late")
		c.Assert(err, qt.ErrorIs, ErrConflict)
	})
	c.Run("drain survives an apply", func(c *qt.C) {
		drain := func(d *Document) (*Document, error) { return d.withCentre("a", OutOfService, "power") }
		number, err := w.Change(c.Context(), "bea", "power", drain)
		c.Assert(err, qt.IsNil)
		number, err = w.Apply(c.Context(), number, parseText(c, fleetText+"[team \"mantova\"]\n"), "ada", "team")
		c.Assert(err, qt.IsNil)
		c.Assert(number, qt.Equals, uint64(3))
		centre, _ := w.copy.Current().Centre("a")
		c.Assert(centre.State(), qt.Equals, OutOfService)
		c.Assert(centre.Reason(), qt.Equals, "power")
	})
	c.Run("last data centre stays in service", func(c *qt.C) {
		_, err := w.Change(c.Context(), "bea", "power", func(d *Document) (*Document, error) { return d.withCentre("b", Lost, "fire") })
		c.Assert(err, qt.ErrorIs, ErrLastCentre)
	})
	c.Run("withdrawn key stays withdrawn", func(c *qt.C) {
		withdraw := func(d *Document) (*Document, error) { return d.withKeyWithdrawn("team00000000", "leaked") }
		number, err := w.Change(c.Context(), "bea", "leaked", withdraw)
		c.Assert(err, qt.IsNil)
		number, err = w.Rollback(c.Context(), number, 1, "ada", "all wrong")
		c.Assert(err, qt.IsNil)
		c.Assert(number, qt.Equals, uint64(5))
		key, _ := w.copy.Current().Key("team00000000")
		c.Assert(key.Withdrawn(), qt.IsTrue)
		_, known := w.copy.Current().Team("mantova")
		c.Assert(known, qt.IsFalse)
		centre, _ := w.copy.Current().Centre("a")
		c.Assert(centre.State(), qt.Equals, OutOfService)
	})
	c.Run("last operator's key stays valid", func(c *qt.C) {
		_, err := w.Change(c.Context(), "bea", "leaked", func(d *Document) (*Document, error) { return d.withKeyWithdrawn("oper00000000", "leaked") })
		c.Assert(err, qt.ErrorIs, ErrLockedOut)
	})
	c.Run("shards and data centres stay", func(c *qt.C) {
		text := "[centre \"a\"]\nstate = in\n[key \"oper00000000\"]\nhash = " + emptyHash + "\nrole = operator\n"
		_, err := w.Apply(c.Context(), 5, parseText(c, text), "ada", "smaller")
		c.Assert(err, qt.ErrorIs, ErrShardsRemoved)
		c.Assert(err, qt.ErrorIs, ErrInService)
	})
	c.Run("no such revision", func(c *qt.C) {
		_, err := w.Rollback(c.Context(), 5, 77, "ada", "which")
		c.Assert(err, qt.ErrorIs, ErrNoRevision)
	})
	c.Run("history", func(c *qt.C) {
		revisions, err := w.History(c.Context())
		c.Assert(err, qt.IsNil)
		assertNumbers(c, revisions, 5, 4, 3, 2, 1)
		c.Assert(revisions[3].Reason(), qt.Equals, "power")
		c.Assert(revisions[3].Author(), qt.Equals, "bea")
	})
}

func assertNumbers(c *qt.C, revisions []Summary, want ...uint64) {
	c.Helper()
	var numbers []uint64
	for _, r := range revisions {
		numbers = append(numbers, r.Number())
	}
	c.Assert(numbers, qt.DeepEquals, want)
}

// TestWriterAfterRestore checks that a change is based on the revision in force when the
// key-value service returns an older one, as after it was restored from a backup.
func TestWriterAfterRestore(t *testing.T) {
	c := qt.New(t)
	configCopy := NewCopy()
	store := emulator.NewStore().KV()
	w := NewWriter(store, configCopy)
	applyFirst(c, w)
	configCopy.Offer(newTestRevision(c, 7).Data())
	number, err := w.Change(c.Context(), "ada", "drain", func(d *Document) (*Document, error) { return d.withVM("w", "old") })
	c.Assert(err, qt.IsNil)
	c.Assert(number, qt.Equals, uint64(8))
	_, known := configCopy.Current().Team("team-7")
	c.Assert(known, qt.IsTrue)
}

// TestWriterNewerVersion checks that a change is refused if the document in force holds keys of
// a newer program version, since writing it would lose them.
func TestWriterNewerVersion(t *testing.T) {
	c := qt.New(t)
	store := emulator.NewStore().KV()
	text, err := compress([]byte("[centre \"a\"]\nheight = 3\n"))
	c.Assert(err, qt.IsNil)
	data, err := revisionRecord{Revision: 3, Text: text}.encode()
	c.Assert(err, qt.IsNil)
	_, err = store.Put(c.Context(), LiveKey, data, 0, 0)
	c.Assert(err, qt.IsNil)
	w := NewWriter(store, NewCopy())
	_, err = w.Change(c.Context(), "ada", "drain", func(d *Document) (*Document, error) { return d.withVM("w", "old") })
	c.Assert(err, qt.ErrorIs, ErrNewer)
}

func TestWriterFaults(t *testing.T) {
	tests := map[string]struct {
		fault   emulator.Fault
		want    error // of the change; nil if it is accepted
		inForce bool  // whether the change is in force after the fault
	}{
		"down":           {emulator.Down(), keeper.ErrUnavailable, false},
		"responses lost": {emulator.LoseResponses(1), nil, true},
		"late":           {emulator.LateWrites(1, 100*time.Millisecond), nil, true},
		"slow":           {emulator.Slow(time.Second), nil, true},
		"stale reads":    {emulator.StaleReads(0.5), nil, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := emulator.NewStore()
				w := NewWriter(store.KV(), NewCopy())
				applyFirst(c, w)
				store.SetFaults(test.fault)
				number, err := w.Change(c.Context(), "ada", "old", func(d *Document) (*Document, error) { return d.withVM("w", "old") })
				if test.want != nil {
					c.Assert(err, qt.ErrorIs, test.want)
				} else {
					c.Assert(err, qt.IsNil)
					c.Assert(number, qt.Equals, uint64(2))
				}
				store.SetFaults()
				time.Sleep(time.Minute)
				latest, err := NewWriter(store.KV(), NewCopy()).Latest(c.Context())
				c.Assert(err, qt.IsNil)
				_, known := latest.Document().VM("w")
				c.Assert(known, qt.Equals, test.inForce)
			})
		})
	}
}

// TestWriterUnavailableAfterLostResponse checks that the outcome is reported as unknown, not as
// unavailable, if the key-value service goes down after a write whose response was lost.
func TestWriterUnavailableAfterLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := emulator.NewStore()
		kv := store.KV()
		w := NewWriter(kv, NewCopy())
		applyFirst(c, w)
		w.store.Put = func(ctx context.Context, key string, value []byte, expect uint64, lease keeper.LeaseID) (uint64, error) {
			version, err := kv.Put(ctx, key, value, expect, lease)
			if key != LiveKey {
				return version, err
			}
			store.SetFaults(emulator.Down())
			return 0, keeper.ErrOutcomeUnknown
		}
		_, err := w.Change(c.Context(), "ada", "old", func(d *Document) (*Document, error) { return d.withVM("w", "old") })
		c.Assert(err, qt.ErrorIs, keeper.ErrOutcomeUnknown)
		c.Assert(newProblem(err).Type, qt.Equals, "unknown")
	})
}

// TestWriterConcurrentChanges checks changes by several operators during faults of the
// key-value service. An accepted change must be in the history under its number, and a refused
// one must not.
func TestWriterConcurrentChanges(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runConcurrentChanges(qt.New(t), seed) })
		})
	}
}

// outcome is the result of one change for its operator.
type outcome struct {
	vm     string // id of a VM that only this change takes out of service
	number uint64
	err    error
}

// runConcurrentChanges lets four operators make five changes each, and checks the outcomes.
func runConcurrentChanges(c *qt.C, seed uint64) {
	const operators, changes = 4, 5
	store := emulator.NewStore(emulator.WithSeed(seed))
	applyFirst(c, NewWriter(store.KV(), NewCopy()))
	store.SetFaults(emulator.LoseResponses(0.2), emulator.LateWrites(0.2, time.Second),
		emulator.StaleReads(0.2), emulator.FailReads(0.1), emulator.Slow(20*time.Millisecond))
	var mu sync.Mutex
	var outcomes []outcome
	var group sync.WaitGroup
	for operator := range operators {
		random := rand.New(rand.NewPCG(seed, uint64(operator)))
		w := NewWriter(store.Client(fmt.Sprint(operator)).KV(), NewCopy())
		group.Go(func() {
			for change := range changes {
				time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
				id := fmt.Sprintf("vm-%d-%d", operator, change)
				number, err := w.Change(context.Background(), fmt.Sprint(operator), "race", func(d *Document) (*Document, error) {
					return d.withVM(id, "race")
				})
				mu.Lock()
				outcomes = append(outcomes, outcome{id, number, err})
				mu.Unlock()
			}
		})
	}
	group.Wait()
	store.SetFaults()
	time.Sleep(time.Minute)
	assertOutcomes(c, NewWriter(store.KV(), NewCopy()), outcomes)
}

// assertOutcomes compares the outcomes with the history. A change whose outcome is unknown may
// be there or not.
func assertOutcomes(c *qt.C, w *Writer, outcomes []outcome) {
	c.Helper()
	revisions, err := w.History(c.Context())
	c.Assert(err, qt.IsNil)
	firstRevision := map[string]uint64{} // number of the first revision with a VM, by its id
	for i := len(revisions) - 1; i >= 0; i-- {
		number := revisions[i].Number()
		c.Assert(number, qt.Equals, uint64(len(revisions)-i))
		for vm := range documentOf(c, w, number, i == 0).VMs() {
			if firstRevision[vm.id] == 0 {
				firstRevision[vm.id] = number
			}
		}
	}
	accepted := 0
	for _, o := range outcomes {
		switch {
		case o.err == nil:
			accepted++
			c.Assert(firstRevision[o.vm], qt.Equals, o.number, qt.Commentf("%s was accepted", o.vm))
		case !errors.Is(o.err, keeper.ErrOutcomeUnknown):
			c.Assert(firstRevision[o.vm], qt.Equals, uint64(0), qt.Commentf("%s: %v", o.vm, o.err))
		}
	}
	c.Assert(accepted > 0, qt.IsTrue)
}

// documentOf returns the document of the revision of that number. live tells whether that
// revision is the one in force or a former one.
func documentOf(c *qt.C, w *Writer, number uint64, live bool) *Document {
	c.Helper()
	if live {
		latest, err := w.Latest(c.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(latest.Number(), qt.Equals, number)
		return latest.Document()
	}
	former, err := w.Revision(c.Context(), number)
	c.Assert(err, qt.IsNil)
	return former.Document()
}

func TestPlan(t *testing.T) {
	c := qt.New(t)
	before := parseText(c, fleetText+"[service \"prenota\"]\ncentres = a\n")
	after := parseText(c, `
[centre "a"]
shards = 2
state = out
reason = power
[centre "b"]
[team "cremona"]
limit = 4
[service "prenota"]
centres = a
[key "oper00000000"]
hash = `+emptyHash+`
role = operator
`)
	usage := NewUsage(map[string]int64{"cremona": 5500}, map[string]Load{"a": NewLoad(12, 3)})
	plan := NewPlan(4, before, after, usage, time.Unix(0, 0))
	c.Assert(FormatDifferences(plan.Differences()), qt.Equals, `~ [centre "a"]
    + reason = power
    + state = out
- [key "team00000000"]
    - hash = `+emptyHash+`
    - team = cremona
~ [team "cremona"]
    + limit = 4
`)
	c.Assert(plan.Effects(), qt.DeepEquals, []string{
		"team cremona runs 5.5 processors, over its limit of 4: it starts nothing new, and its newest deferred tasks are checkpointed or stopped",
		"data centre a goes out of service: 12 running tasks finish or move, 3 pending tasks go elsewhere",
		"service prenota has no data centre in service",
		"key team00000000 of team cremona stops working",
	})
}

// TestRevisionSize checks that the declarations of the fleet of the expected size fit into one
// value of the key-value service.
func TestRevisionSize(t *testing.T) {
	c := qt.New(t)
	document := parseText(c, largeFleetText())
	w := NewWriter(emulator.NewStore().KV(), NewCopy())
	_, err := w.Apply(c.Context(), 0, document, "ada", "all teams")
	c.Assert(err, qt.IsNil)
	c.Logf("%d bytes for 590 teams with 3 keys each", len(w.copy.Latest().Data()))
	c.Assert(len(w.copy.Latest().Data()) < keeper.ValueLimit, qt.IsTrue)
}
