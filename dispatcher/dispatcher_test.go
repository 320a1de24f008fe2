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

// fakeWorker notes what its guard lets through.
type fakeWorker struct {
	guard   *dispatcher.Guard
	running map[dispatcher.Attempt]uint64 // term of the start
	lapses  int
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
			finished := []dispatcher.FinishedTask{dispatcher.NewFinishedTask(attemptOf("old"), dispatcher.Failed)}
			return dispatcher.NewReport("worker-1", running, finished)
		},
		Start: func(term uint64, attempt dispatcher.Attempt, launch dispatcher.TaskSpec) error {
			if launch.Size().IsZero() {
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
		Expire:      func() { w.lapses++; clear(w.running) },
	})
	return w
}

// direct is the transport to a worker in the same process.
func (w *fakeWorker) direct(ctx context.Context, _ string, batch dispatcher.Batch) (dispatcher.Response, error) {
	return w.guard.Deliver(ctx, batch)
}

func attemptOf(job string) dispatcher.Attempt {
	return dispatcher.NewAttempt(placer.NewTaskID(job, 0), 1)
}

func startOf(job string, cpu int64) []dispatcher.Order {
	spec := placer.NewJobSpec(job, "team", placer.NewResources(cpu, 0, 0))
	return []dispatcher.Order{dispatcher.StartOrder(attemptOf(job), dispatcher.NewTaskSpec(spec))}
}

func assertRefused(c *qt.C, answer dispatcher.Response, err, want error) {
	c.Helper()
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Errors(), qt.HasLen, 1)
	c.Assert(answer.Errors()[0], qt.ErrorIs, want)
}

func assertStarted(c *qt.C, answer dispatcher.Response, err error) {
	c.Helper()
	c.Assert(err, qt.IsNil)
	c.Assert(answer.Errors(), qt.DeepEquals, []error{nil})
}

func TestGuard(t *testing.T) {
	run := func(name string, f func(c *qt.C, w *fakeWorker, d *dispatcher.Dispatcher)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFakeWorker()
				defer w.guard.Close()
				f(qt.New(t), w, dispatcher.New(dispatcher.WithTransport(w.direct)))
			})
		})
	}
	run("a start needs a lease", func(c *qt.C, _ *fakeWorker, d *dispatcher.Dispatcher) {
		answer, err := d.Deliver(context.Background(), "w", 1, lease, startOf("job", 1))
		assertRefused(c, answer, err, dispatcher.ErrNoLease)
		answer, err = d.Deliver(context.Background(), "w", 1, lease, startOf("job", 1))
		assertStarted(c, answer, err)
	})
	run("a lower term is refused", func(c *qt.C, w *fakeWorker, d *dispatcher.Dispatcher) {
		_, err := d.Fence(context.Background(), "w", 2)
		c.Assert(err, qt.IsNil)
		older := dispatcher.New(dispatcher.WithTransport(w.direct))
		_, err = older.Renew(context.Background(), "w", 1, lease)
		c.Assert(err, qt.ErrorIs, dispatcher.ErrStaleTerm)
	})
	run("a lease runs from the worker's answer, not from the renewal", func(c *qt.C, w *fakeWorker, d *dispatcher.Dispatcher) {
		_, err := d.Fence(context.Background(), "w", 1)
		c.Assert(err, qt.IsNil)
		answer, err := d.Deliver(context.Background(), "w", 1, lease, startOf("job", 1))
		assertStarted(c, answer, err)
		time.Sleep(lease - time.Second)
		_, err = d.Renew(context.Background(), "w", 1, lease)
		c.Assert(err, qt.IsNil)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		c.Assert(w.lapses, qt.Equals, 1)
		c.Assert(w.running, qt.HasLen, 0)
	})
	run("renewals keep a task running", func(c *qt.C, w *fakeWorker, d *dispatcher.Dispatcher) {
		_, err := d.Fence(context.Background(), "w", 1)
		c.Assert(err, qt.IsNil)
		answer, err := d.Deliver(context.Background(), "w", 1, lease, startOf("job", 1))
		assertStarted(c, answer, err)
		for range 60 {
			time.Sleep(time.Second)
			_, err := d.Renew(context.Background(), "w", 1, lease)
			c.Assert(err, qt.IsNil)
		}
		c.Assert(w.lapses, qt.Equals, 0)
		c.Assert(w.running, qt.HasLen, 1)
	})
	run("a start that was held up is refused", func(c *qt.C, _ *fakeWorker, d *dispatcher.Dispatcher) {
		_, err := d.Renew(context.Background(), "w", 1, lease)
		c.Assert(err, qt.IsNil)
		time.Sleep(2 * time.Second)
		answer, err := d.Deliver(context.Background(), "w", 1, lease, startOf("job", 1))
		assertRefused(c, answer, err, dispatcher.ErrNoLease)
	})
	run("a late batch is refused", func(c *qt.C, w *fakeWorker, _ *dispatcher.Dispatcher) {
		var first *dispatcher.Batch
		d := dispatcher.New(dispatcher.WithTransport(func(ctx context.Context, id string, batch dispatcher.Batch) (dispatcher.Response, error) {
			if first == nil {
				first = &batch
				return dispatcher.Response{}, dispatcher.ErrOutcomeUnknown
			}
			return w.direct(ctx, id, batch)
		}))
		_, err := d.Renew(context.Background(), "w", 1, lease)
		c.Assert(err, qt.ErrorIs, dispatcher.ErrOutcomeUnknown)
		_, err = d.Renew(context.Background(), "w", 1, lease)
		c.Assert(err, qt.IsNil)
		_, err = w.guard.Deliver(context.Background(), *first)
		c.Assert(err, qt.ErrorIs, dispatcher.ErrStaleBatch)
	})
	run("tokens of an earlier incarnation don't count", func(c *qt.C, w *fakeWorker, d *dispatcher.Dispatcher) {
		_, err := d.Renew(context.Background(), "w", 1, lease)
		c.Assert(err, qt.IsNil)
		restarted := newFakeWorker()
		defer restarted.guard.Close()
		w.guard = restarted.guard
		answer, err := d.Deliver(context.Background(), "w", 1, lease, startOf("job", 1))
		assertRefused(c, answer, err, dispatcher.ErrNoLease)
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
		c.Assert(report.Finished()[0].Attempt(), qt.Equals, attemptOf("old"))
		c.Assert(report.Finished()[0].Outcome(), qt.Equals, dispatcher.Failed)
	})
	c.Run("start", func(c *qt.C) {
		answer, err := d.Deliver(context.Background(), "w", 2, lease, startOf("job", 1500))
		assertStarted(c, answer, err)
		running := answer.Report().Running()
		c.Assert(running, qt.HasLen, 1)
		c.Assert(running[0], qt.Equals, dispatcher.NewRunningTask(attemptOf("job"), 2, placer.NewResources(1, 2, 3)))
	})
	c.Run("refused by the worker", func(c *qt.C) {
		answer, err := d.Deliver(context.Background(), "w", 2, lease, startOf("empty", 0))
		assertRefused(c, answer, err, dispatcher.ErrRefused)
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
