package scheduler_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/emulator"
	"filberthaven.example/messenger"
	"filberthaven.example/placer"
	"filberthaven.example/scheduler"
	qt "github.com/frankban/quicktest"
)

// entryVM is a process that owns several shards and serves calls to them over HTTP.
type entryVM struct {
	mu     sync.Mutex
	owners map[string]*scheduler.Scheduler
	client *scheduler.Client
}

func (vm *entryVM) lookup(shard string) (*scheduler.Scheduler, bool) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	s, ok := vm.owners[shard]
	return s, ok
}

// newEntryVM returns an entry VM that owns the shards a.0 and b.0, with one worker each.
// Its client knows no address for lost.0, and a dead one for dead.0.
func newEntryVM(c *qt.C) *entryVM {
	m, err := messenger.New()
	c.Assert(err, qt.IsNil)
	vm := &entryVM{owners: map[string]*scheduler.Scheduler{}}
	mux := http.NewServeMux()
	scheduler.Handle(m, mux, vm.lookup)
	server := httptest.NewServer(mux)
	c.Cleanup(server.Close)
	vm.client = scheduler.NewClient(m, func(shard string) (string, bool) {
		switch shard {
		case "dead.0":
			return "127.0.0.1:1", true
		case "lost.0":
			return "", false
		default:
			return server.Listener.Addr().String(), true
		}
	})
	for _, shard := range []string{"a.0", "b.0"} {
		vm.own(c, m, shard)
	}
	return vm
}

// own makes the process the owner of a shard with one worker, which is called over HTTP.
func (vm *entryVM) own(c *qt.C, m *messenger.Messenger, shard string) {
	worker := emulator.NewWorker(shard+"-w", placer.NewResources(4000, 16384, 0))
	c.Cleanup(worker.Close)
	mux := http.NewServeMux()
	dispatcher.Handle(m, mux, worker.Guard())
	server := httptest.NewServer(mux)
	c.Cleanup(server.Close)
	s, err := scheduler.New(shard, 1,
		scheduler.WithJournal(instantJournal()),
		scheduler.WithDispatcher(dispatcher.New(dispatcher.WithMessenger(m, func(string) (string, bool) {
			return server.Listener.Addr().String(), true
		}))),
		scheduler.WithTransfer(func(placer.JobSpec) (string, bool) { return "b.0", shard != "b.0" }, vm.client.Transfer))
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Run(ctx)
	}()
	c.Cleanup(func() {
		cancel()
		<-ended
	})
	<-s.Ready()
	s.SetWorkers([]placer.Worker{placer.NewWorker(worker.ID(), "rack", worker.Capacity())})
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.owners[shard] = s
}

func smallJob(name string, d time.Duration) placer.JobSpec {
	return placer.NewJobSpec("", "team", placer.NewResources(1000, 1024, 0), placer.WithName(name), placer.WithEstimate(d))
}

func TestClient(t *testing.T) {
	c := qt.New(t)
	vm := newEntryVM(c)
	ctx := t.Context()
	c.Run("a job from submission to its end", func(c *qt.C) {
		receipt, err := vm.client.Submit(ctx, "a.0", smallJob("work", 10*time.Millisecond), "one")
		c.Assert(err, qt.IsNil)
		c.Assert(receipt.Created(), qt.IsTrue)
		c.Assert(scheduler.ShardOf(receipt.JobID()), qt.Equals, "a.0")
		status, err := vm.client.Wait(ctx, receipt.JobID())
		c.Assert(err, qt.IsNil)
		c.Assert(status.State(), qt.Equals, scheduler.Done)
		list, err := vm.client.List(ctx, "a.0", "team", "", 10)
		c.Assert(err, qt.IsNil)
		c.Assert(list, qt.HasLen, 1)
		again, err := vm.client.Submit(ctx, "a.0", smallJob("work", 10*time.Millisecond), "one")
		c.Assert(err, qt.IsNil)
		c.Assert(again.Created(), qt.IsFalse)
		c.Assert(again.JobID(), qt.Equals, receipt.JobID())
	})
	c.Run("errors keep their kind", func(c *qt.C) {
		_, err := vm.client.Submit(ctx, "a.0", smallJob("other", time.Second), "one")
		c.Assert(err, qt.ErrorIs, scheduler.ErrRequestIDReused)
		_, err = vm.client.Submit(ctx, "c.0", smallJob("work", time.Second), "")
		c.Assert(err, qt.ErrorIs, scheduler.ErrNotOwner)
		_, err = vm.client.Submit(ctx, "dead.0", smallJob("work", time.Second), "")
		c.Assert(err, qt.ErrorIs, scheduler.ErrNotRun)
		_, err = vm.client.Submit(ctx, "lost.0", smallJob("work", time.Second), "")
		c.Assert(err, qt.ErrorIs, scheduler.ErrNotRun)
		_, err = vm.client.Job(ctx, "a.0.1.zzz")
		c.Assert(err, qt.ErrorIs, scheduler.ErrNotFound)
		_, err = vm.client.Submit(ctx, "a.0", placer.NewJobSpec("", "team", placer.NewResources(-1, 0, 0)), "")
		c.Assert(err, qt.ErrorIs, scheduler.ErrRefused)
	})
	c.Run("a claim is granted once", func(c *qt.C) { assertClaims(c, vm.client) })
	c.Run("cancel and explain", func(c *qt.C) {
		receipt, err := vm.client.Submit(ctx, "a.0", smallJob("long", time.Hour), "")
		c.Assert(err, qt.IsNil)
		text, err := vm.client.Explain(ctx, receipt.JobID())
		c.Assert(err, qt.IsNil)
		c.Assert(text, qt.Not(qt.Equals), "")
		c.Assert(vm.client.Cancel(ctx, receipt.JobID()), qt.IsNil)
		status, err := vm.client.Wait(ctx, receipt.JobID())
		c.Assert(err, qt.IsNil)
		c.Assert(status.State(), qt.Equals, scheduler.Cancelled)
	})
	c.Run("a job moves because of a drain and is found", func(c *qt.C) {
		s, _ := vm.lookup("a.0")
		receipt, err := vm.client.Submit(ctx, "a.0", smallJob("moving", time.Hour), "")
		c.Assert(err, qt.IsNil)
		c.Assert(s.Drain(ctx), qt.IsNil)
		for {
			status, err := s.Job(receipt.JobID())
			c.Assert(err, qt.IsNil)
			if status.State() == scheduler.Moved {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		c.Assert(vm.client.Cancel(ctx, receipt.JobID()), qt.IsNil)
		status, err := vm.client.Wait(ctx, receipt.JobID())
		c.Assert(err, qt.IsNil)
		c.Assert(status.State(), qt.Equals, scheduler.Cancelled)
	})
}

func assertClaims(c *qt.C, client *scheduler.Client) {
	ctx := context.Background()
	first, err := client.Claim(ctx, "a.0", "team", "urgent", "vm1", 7)
	c.Assert(err, qt.IsNil)
	c.Assert(first.Granted(), qt.IsTrue)
	second, err := client.Claim(ctx, "a.0", "team", "urgent", "vm2", 7)
	c.Assert(err, qt.IsNil)
	c.Assert(second.Granted(), qt.IsFalse)
	c.Assert(second.Holder(), qt.Equals, "vm1")
	c.Assert(second.Outcome(), qt.Equals, scheduler.InProgress)
	_, err = client.Claim(ctx, "a.0", "team", "urgent", "vm2", 8)
	c.Assert(err, qt.ErrorIs, scheduler.ErrRequestIDReused)
	c.Assert(client.Settle(ctx, "a.0", "team", "urgent", "vm2", scheduler.Ran), qt.ErrorIs, scheduler.ErrNotFound)
	c.Assert(client.Settle(ctx, "a.0", "team", "urgent", "vm1", scheduler.NotRun), qt.IsNil)
	third, err := client.Claim(ctx, "a.0", "team", "urgent", "vm2", 7)
	c.Assert(err, qt.IsNil)
	c.Assert(third.Granted(), qt.IsTrue)
	c.Assert(client.Settle(ctx, "a.0", "team", "urgent", "vm2", scheduler.Ran), qt.IsNil)
	fourth, err := client.Claim(ctx, "a.0", "team", "urgent", "vm3", 7)
	c.Assert(err, qt.IsNil)
	c.Assert(fourth.Granted(), qt.IsFalse)
	c.Assert(fourth.Outcome(), qt.Equals, scheduler.Ran)
}
