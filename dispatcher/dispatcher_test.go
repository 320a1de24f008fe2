package dispatcher_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/messenger"
	"filberthaven.example/placer"
	qt "github.com/frankban/quicktest"
)

const lease = 10 * time.Second

// fakeWorker records the runs that its guard starts and how often the lease
// expires.
type fakeWorker struct {
	guard    *dispatcher.Guard
	running  map[dispatcher.Attempt]uint64 // term of the start
	expiries int
}

func newFakeWorker() *fakeWorker {
	w := &fakeWorker{running: map[dispatcher.Attempt]uint64{}}
	w.guard = dispatcher.NewGuard(dispatcher.Agent{
		Fence: func(uint64) {},
		Report: func() dispatcher.Report {
			var running []dispatcher.RunningTask
			for attempt, term := range w.running {
				running = append(running, dispatcher.NewRunningTask(attempt, term, placer.NewResources(1, 2, 3)))
			}
			finished := []dispatcher.FinishedTask{dispatcher.NewFinishedTask(firstAttempt("old"), dispatcher.Failed)}
			return dispatcher.NewReport("worker-1", running, finished)
		},
		Start: func(term uint64, attempt dispatcher.Attempt, spec dispatcher.TaskSpec) error {
			if spec.Size().IsZero() {
				return dispatcher.ErrRefused
			}
			w.running[attempt] = term
			return nil
		},
		Stop: func(attempt dispatcher.Attempt) error {
			delete(w.running, attempt)
			return nil
		},
		Checkpoint:  func(dispatcher.Attempt) error { return nil },
		Throttle:    func(dispatcher.Attempt, int64) error { return nil },
		Acknowledge: func(dispatcher.Attempt) error { return nil },
		Renew:       func(time.Time) {},
		Expire:      func() { w.expiries++; clear(w.running) },
	})
	return w
}

// deliver is the transport to a worker in the same process.
func (w *fakeWorker) deliver(ctx context.Context, _ string, batch dispatcher.Batch) (dispatcher.Response, error) {
	return w.guard.Deliver(ctx, batch)
}

func firstAttempt(job string) dispatcher.Attempt {
	return dispatcher.NewAttempt(placer.NewTaskID(job, 0), 1)
}

func startOrders(job string, cpu int64) []dispatcher.Order {
	spec := placer.NewJobSpec(job, "team", placer.NewResources(cpu, 0, 0))
	return []dispatcher.Order{dispatcher.StartOrder(firstAttempt(job), dispatcher.NewTaskSpec(spec))}
}

func assertRefused(c *qt.C, response dispatcher.Response, err, want error) {
	c.Helper()
	c.Assert(err, qt.IsNil)
	c.Assert(response.Errors(), qt.HasLen, 1)
	c.Assert(response.Errors()[0], qt.ErrorIs, want)
}

func assertStarted(c *qt.C, response dispatcher.Response, err error) {
	c.Helper()
	c.Assert(err, qt.IsNil)
	c.Assert(response.Errors(), qt.DeepEquals, []error{nil})
}

func TestGuard(t *testing.T) {
	run := func(name string, f func(c *qt.C, w *fakeWorker, d *dispatcher.Dispatcher)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFakeWorker()
				defer w.guard.Close()
				f(qt.New(t), w, dispatcher.New(dispatcher.WithTransport(w.deliver)))
			})
		})
	}
	run("a start needs a lease", func(c *qt.C, _ *fakeWorker, d *dispatcher.Dispatcher) {
		response, err := d.Deliver(context.Background(), "w", 1, lease, startOrders("job", 1))
		assertRefused(c, response, err, dispatcher.ErrNoLease)
		response, err = d.Deliver(context.Background(), "w", 1, lease, startOrders("job", 1))
		assertStarted(c, response, err)
	})
	run("a lower term is refused", func(c *qt.C, w *fakeWorker, d *dispatcher.Dispatcher) {
		_, err := d.Fence(context.Background(), "w", 2)
		c.Assert(err, qt.IsNil)
		superseded := dispatcher.New(dispatcher.WithTransport(w.deliver))
		_, err = superseded.Renew(context.Background(), "w", 1, lease)
		c.Assert(err, qt.ErrorIs, dispatcher.ErrStaleTerm)
	})
	run("a lease runs from the worker's previous response, not from the renewal", func(c *qt.C, w *fakeWorker, d *dispatcher.Dispatcher) {
		_, err := d.Fence(context.Background(), "w", 1)
		c.Assert(err, qt.IsNil)
		response, err := d.Deliver(context.Background(), "w", 1, lease, startOrders("job", 1))
		assertStarted(c, response, err)
		time.Sleep(lease - time.Second)
		_, err = d.Renew(context.Background(), "w", 1, lease)
		c.Assert(err, qt.IsNil)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		c.Assert(w.expiries, qt.Equals, 1)
		c.Assert(w.running, qt.HasLen, 0)
	})
	run("renewals keep a task running", func(c *qt.C, w *fakeWorker, d *dispatcher.Dispatcher) {
		_, err := d.Fence(context.Background(), "w", 1)
		c.Assert(err, qt.IsNil)
		response, err := d.Deliver(context.Background(), "w", 1, lease, startOrders("job", 1))
		assertStarted(c, response, err)
		for range 60 {
			time.Sleep(time.Second)
			_, err := d.Renew(context.Background(), "w", 1, lease)
			c.Assert(err, qt.IsNil)
		}
		c.Assert(w.expiries, qt.Equals, 0)
		c.Assert(w.running, qt.HasLen, 1)
	})
	run("a delayed start is refused", func(c *qt.C, _ *fakeWorker, d *dispatcher.Dispatcher) {
		_, err := d.Renew(context.Background(), "w", 1, lease)
		c.Assert(err, qt.IsNil)
		time.Sleep(2 * time.Second)
		response, err := d.Deliver(context.Background(), "w", 1, lease, startOrders("job", 1))
		assertRefused(c, response, err, dispatcher.ErrNoLease)
	})
	run("a batch that arrives after a later one is refused", func(c *qt.C, w *fakeWorker, _ *dispatcher.Dispatcher) {
		var first *dispatcher.Batch
		d := dispatcher.New(dispatcher.WithTransport(func(ctx context.Context, id string, batch dispatcher.Batch) (dispatcher.Response, error) {
			if first == nil {
				first = &batch
				return dispatcher.Response{}, dispatcher.ErrOutcomeUnknown
			}
			return w.deliver(ctx, id, batch)
		}))
		_, err := d.Renew(context.Background(), "w", 1, lease)
		c.Assert(err, qt.ErrorIs, dispatcher.ErrOutcomeUnknown)
		_, err = d.Renew(context.Background(), "w", 1, lease)
		c.Assert(err, qt.IsNil)
		_, err = w.guard.Deliver(context.Background(), *first)
		c.Assert(err, qt.ErrorIs, dispatcher.ErrStaleBatch)
	})
	run("a token of an earlier incarnation is not accepted", func(c *qt.C, w *fakeWorker, d *dispatcher.Dispatcher) {
		_, err := d.Renew(context.Background(), "w", 1, lease)
		c.Assert(err, qt.IsNil)
		restarted := newFakeWorker()
		defer restarted.guard.Close()
		w.guard = restarted.guard
		response, err := d.Deliver(context.Background(), "w", 1, lease, startOrders("job", 1))
		assertRefused(c, response, err, dispatcher.ErrNoLease)
	})
}

func TestHandle(t *testing.T) {
	c := qt.New(t)
	m, err := messenger.New()
	c.Assert(err, qt.IsNil)
	w := newFakeWorker()
	c.Cleanup(w.guard.Close)
	mux := http.NewServeMux()
	dispatcher.Handle(m, mux, w.guard)
	server := httptest.NewServer(mux)
	c.Cleanup(server.Close)
	addresses := map[string]string{"w": server.Listener.Addr().String(), "dead": "127.0.0.1:1"}
	d := dispatcher.New(dispatcher.WithMessenger(m, func(worker string) (string, bool) {
		address, ok := addresses[worker]
		return address, ok
	}))
	c.Run("report", func(c *qt.C) {
		report, err := d.Fence(context.Background(), "w", 2)
		c.Assert(err, qt.IsNil)
		c.Assert(report.Incarnation(), qt.Equals, "worker-1")
		c.Assert(report.Finished(), qt.HasLen, 1)
		c.Assert(report.Finished()[0].Attempt(), qt.Equals, firstAttempt("old"))
		c.Assert(report.Finished()[0].Outcome(), qt.Equals, dispatcher.Failed)
	})
	c.Run("start", func(c *qt.C) {
		response, err := d.Deliver(context.Background(), "w", 2, lease, startOrders("job", 1500))
		assertStarted(c, response, err)
		running := response.Report().Running()
		c.Assert(running, qt.HasLen, 1)
		c.Assert(running[0], qt.Equals, dispatcher.NewRunningTask(firstAttempt("job"), 2, placer.NewResources(1, 2, 3)))
	})
	c.Run("refused by the worker", func(c *qt.C) {
		response, err := d.Deliver(context.Background(), "w", 2, lease, startOrders("empty", 0))
		assertRefused(c, response, err, dispatcher.ErrRefused)
	})
	c.Run("lower term", func(c *qt.C) {
		_, err := d.Fence(context.Background(), "w", 1)
		c.Assert(err, qt.ErrorIs, dispatcher.ErrStaleTerm)
	})
	c.Run("not delivered", func(c *qt.C) {
		for _, worker := range []string{"dead", "unknown"} {
			_, err := d.Fence(context.Background(), worker, 3)
			c.Assert(err, qt.ErrorIs, dispatcher.ErrNotDelivered)
		}
	})
}
