package claimer_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/claimer"
	"filberthaven.example/emulator"
	qt "github.com/frankban/quicktest"
)

// vm is one incarnation of an entry VM.
type vm struct {
	*claimer.Claimer
	client *emulator.Client
	cancel context.CancelFunc
	term   atomic.Uint64 // of its ownership, 0 while it does not own the fleet
}

// start starts an incarnation of the VM with that id.
func start(c *qt.C, store *emulator.Store, id, incarnation string, options ...claimer.Option) *vm {
	c.Helper()
	v := &vm{client: store.Client(id + "/" + incarnation)}
	startedAt := time.Now()
	options = append([]claimer.Option{
		claimer.WithClock(func() time.Duration { return time.Since(startedAt) + time.Hour }),
		claimer.WithOnElected(func(ctx context.Context, term uint64) {
			v.term.Store(term)
			<-ctx.Done()
			v.term.Store(0)
		}),
	}, options...)
	created, err := claimer.New(v.client.KV(), id, incarnation, id+":1", "pianura-a", options...)
	c.Assert(err, qt.IsNil)
	v.Claimer = created
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = v.Run(ctx)
	}()
	c.Cleanup(func() {
		cancel()
		<-ended
	})
	return v
}

// startPair starts two VMs. When it returns, the first owns the fleet.
func startPair(c *qt.C, store *emulator.Store) (owner, other *vm) {
	c.Helper()
	owner = start(c, store, "owner", "1")
	time.Sleep(2 * time.Second)
	other = start(c, store, "other", "1")
	time.Sleep(2 * time.Second)
	assertOwner(c, owner, other)
	return owner, other
}

// assertOwner checks that owner owns the fleet and that none of the others does.
func assertOwner(c *qt.C, owner *vm, others ...*vm) {
	c.Helper()
	c.Assert(owner.term.Load(), qt.Not(qt.Equals), uint64(0))
	c.Assert(owner.IsOwner(owner.term.Load()), qt.IsTrue)
	for _, other := range others {
		c.Assert(other.term.Load(), qt.Equals, uint64(0))
	}
}

// TestLargeVMClaimsFirst checks that a small VM does not become the owner while a much
// larger one is registered. A VM with a quarter of the processor of the others owned a
// fleet of 350 workers, used up its processor, and urgent work started late.
func TestLargeVMClaimsFirst(t *testing.T) {
	for _, order := range [][]string{{"small-1", "small-2", "large"}, {"large", "small-1", "small-2"}} {
		t.Run(order[0]+" first", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := emulator.NewStore()
				vms := map[string]*vm{}
				for _, id := range order {
					processor := 0.192
					if id == "large" {
						processor = 0.8
					}
					vms[id] = start(c, store, id, "1", claimer.WithProcessor(processor), claimer.WithBootstrap(true))
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(3 * time.Second)
				assertOwner(c, vms["large"], vms["small-1"], vms["small-2"])
			})
		})
	}
	t.Run("a large VM claims after all were killed", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			store := emulator.NewStore()
			first := start(c, store, "large", "1", claimer.WithProcessor(0.8))
			time.Sleep(2 * time.Second)
			small := start(c, store, "small", "1", claimer.WithProcessor(0.192))
			other := start(c, store, "other", "1", claimer.WithProcessor(0.8))
			time.Sleep(time.Second)
			assertOwner(c, first, small, other)
			for _, v := range []*vm{first, small, other} {
				v.client.SetFaults(emulator.Partition())
			}
			restarted := start(c, store, "small", "2", claimer.WithProcessor(0.192))
			time.Sleep(claimer.DefaultTTL - 300*time.Millisecond)
			large := start(c, store, "other", "2", claimer.WithProcessor(0.8))
			time.Sleep(900 * time.Millisecond)
			assertOwner(c, large, restarted)
		})
	})
	t.Run("a large VM claims after an outage in which all records ran out", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			store := emulator.NewStore()
			first := start(c, store, "large", "1", claimer.WithProcessor(0.8))
			time.Sleep(2 * time.Second)
			var small []*vm
			for n := range 6 {
				small = append(small, start(c, store, fmt.Sprint("small-", n), "1", claimer.WithProcessor(0.192)))
			}
			time.Sleep(time.Second)
			assertOwner(c, first, small...)
			store.SetFaults(emulator.Down())
			time.Sleep(10 * time.Second)
			store.SetFaults()
			time.Sleep(3 * time.Second)
			assertOwner(c, first, small...)
		})
	})
	t.Run("a large VM claims after all were killed in an outage", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			store := emulator.NewStore()
			store.SetFaults(emulator.Down())
			var small []*vm
			for n := range 6 {
				small = append(small, start(c, store, fmt.Sprint("small-", n), "2", claimer.WithProcessor(0.192)))
			}
			time.Sleep(700 * time.Millisecond)
			large := start(c, store, "large", "2", claimer.WithProcessor(0.8))
			time.Sleep(5 * time.Second)
			store.SetFaults()
			time.Sleep(4 * time.Second)
			assertOwner(c, large, small...)
		})
	})
	t.Run("a small VM claims when no other is left", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			store := emulator.NewStore()
			large := start(c, store, "large", "1", claimer.WithProcessor(0.8))
			time.Sleep(50 * time.Millisecond)
			small := start(c, store, "small", "1", claimer.WithProcessor(0.192))
			time.Sleep(2 * time.Second)
			assertOwner(c, large, small)
			large.Leave()
			time.Sleep(time.Second)
			assertOwner(c, small, large)
		})
	})
}

// TestTakeover checks which VM claims when there is no owner or the owner is lost, and
// how soon.
func TestTakeover(t *testing.T) {
	t.Run("a lone VM claims", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			a := start(c, emulator.NewStore(), "a", "1")
			time.Sleep(1200 * time.Millisecond)
			assertOwner(c, a)
		})
	})
	t.Run("another VM claims within the lease plus a second", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			store := emulator.NewStore()
			a, b := startPair(c, store)
			first := a.term.Load()
			a.client.SetFaults(emulator.Partition())
			time.Sleep(claimer.DefaultTTL)
			c.Assert(a.IsOwner(first), qt.IsFalse)
			time.Sleep(time.Second)
			c.Assert(b.term.Load() > first, qt.IsTrue)
			c.Assert(b.IsOwner(b.term.Load()), qt.IsTrue)
		})
	})
	t.Run("a new incarnation of the owner claims at once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			store := emulator.NewStore()
			a := start(c, store, "a", "1")
			time.Sleep(2 * time.Second)
			first := a.term.Load()
			a.client.SetFaults(emulator.Partition())
			restarted := start(c, store, "a", "2")
			time.Sleep(1200 * time.Millisecond)
			c.Assert(restarted.term.Load() > first, qt.IsTrue)
		})
	})
}

// TestOwnerLostDuringOutage checks that another VM takes over soon when the owner dies
// during an outage of the store. The other VMs used to notice a second late that the
// store was available again, and then waited for a change that had already arrived.
func TestOwnerLostDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := emulator.NewStore()
		a, b := startPair(c, store)
		store.SetFaults(emulator.Down())
		time.Sleep(2 * time.Second)
		a.client.SetFaults(emulator.Partition()) // as if the VM had lost power
		time.Sleep(2 * time.Second)
		store.SetFaults()
		time.Sleep(600 * time.Millisecond)
		c.Assert(b.term.Load(), qt.Not(qt.Equals), uint64(0))
		c.Assert(b.IsOwner(b.term.Load()), qt.IsTrue)
	})
}

// TestStoreLoad checks the rate of calls to the store when 300 VMs start within 0.3 s and
// when their owner is lost. Each change used to wake all VMs, so that together they used
// up the store's call limits and the fleet never got an owner.
func TestStoreLoad(t *testing.T) {
	const (
		vmCount             = 300
		maxWrites, maxReads = 400, 2000 // per second, from the users' load figures
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := emulator.NewStore(emulator.WithWatchTimeout(10 * time.Second))
		var vms []*vm
		previous := emulator.Counts{}
		checkCalls := func(seconds int) {
			for range seconds {
				time.Sleep(time.Second)
				current := store.Counts()
				calls := current.Sub(previous)
				c.Check(calls.Watches() <= maxReads, qt.IsTrue, qt.Commentf("%d watches in a second", calls.Watches()))
				c.Check(calls.Reads() <= maxReads, qt.IsTrue, qt.Commentf("%d reads in a second", calls.Reads()))
				previous = current
			}
		}
		for n := range vmCount {
			vms = append(vms, start(c, store, fmt.Sprintf("vm%03d", n), "1", claimer.WithBootstrap(true)))
			time.Sleep(time.Millisecond)
		}
		checkCalls(5)
		owner, term, known := vms[0].Owner()
		c.Assert(known, qt.IsTrue)
		writesBefore := store.Counts().Writes()
		for _, v := range vms {
			if v.term.Load() != 0 {
				v.client.SetFaults(emulator.Partition())
			}
		}
		checkCalls(4)
		c.Assert(store.Counts().Writes()-writesBefore <= 4*maxWrites, qt.IsTrue)
		for _, v := range vms {
			if newOwner, newTerm, _ := v.Owner(); newOwner.ID() != owner.ID() {
				c.Assert(newTerm > term, qt.IsTrue)
				return
			}
		}
		c.Fatal("no VM took over")
	})
}

// TestResignVM checks that a slow VM that resigns lets another VM claim, although it is
// the first to know that there is no owner.
func TestResignVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := emulator.NewStore()
		slow, other := startPair(c, store)
		slow.ResignVM()
		time.Sleep(500 * time.Millisecond)
		assertOwner(c, other, slow)
	})
}

// TestInvalidRecords checks that an invalid record adds no VM to the members and hides
// neither the other VMs nor the owner.
func TestInvalidRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := emulator.NewStore()
		owner, other := startPair(c, store)
		c.Assert(other.Members(), qt.HasLen, 2)
		put := func(key, value string) {
			_, err := store.KV().Put(context.Background(), key, []byte(value), 0, 0)
			c.Assert(err, qt.IsNil)
		}
		put("live/vm/damaged", "{")
		put("live/vm/false", `{"id":"another"}`)
		time.Sleep(time.Second)
		c.Assert(other.Members(), qt.HasLen, 2)
		assertOwner(c, owner, other)
		member, term, found := other.Owner()
		c.Assert(found, qt.IsTrue)
		c.Assert(member.ID(), qt.Equals, "owner")
		c.Assert(term, qt.Equals, owner.term.Load())
	})
}
