package emulator

import (
	"context"
	"time"

	"filberthaven.example/dispatcher"
)

// workerFaults are the faults of a worker.
type workerFaults struct {
	dead          bool
	failing       bool          // every run that starts fails immediately
	unfenced      bool          // each term has its own guard, so that no term is fenced
	batchesLost   bool          // batches do not reach the worker
	responsesLost bool          // responses do not reach the owner
	delay         time.Duration // before a batch arrives
	paused        chan struct{} // closed when the worker is resumed; nil unless paused
}

// SetFailing sets whether every run that starts fails immediately.
func (w *Worker) SetFailing(on bool) { w.updateFaults(func(f *workerFaults) { f.failing = on }) }

// SetUnfenced sets whether the worker accepts batches of any term, as if each were the
// highest. Tests use it to show which failures the fence prevents.
func (w *Worker) SetUnfenced(on bool) { w.updateFaults(func(f *workerFaults) { f.unfenced = on }) }

// Dead reports whether the worker has been killed and not restarted.
func (w *Worker) Dead() bool {
	f, _ := w.faultsAndGuard()
	return f.dead
}

// SetUnreachable sets whether batches to the worker and its responses get lost.
func (w *Worker) SetUnreachable(batchesLost, responsesLost bool) {
	w.updateFaults(func(f *workerFaults) { f.batchesLost, f.responsesLost = batchesLost, responsesLost })
}

// SetDelay sets the delay of every batch.
func (w *Worker) SetDelay(d time.Duration) { w.updateFaults(func(f *workerFaults) { f.delay = d }) }

// Pause makes batches wait until Resume, including those whose sender has given up. Until
// then no run ends by itself.
func (w *Worker) Pause() {
	w.updateFaults(func(f *workerFaults) {
		if f.paused == nil {
			f.paused = make(chan struct{})
		}
	})
}

// Resume ends a pause.
func (w *Worker) Resume() {
	w.updateFaults(func(f *workerFaults) {
		if f.paused != nil {
			close(f.paused)
			f.paused = nil
		}
	})
}

// Kill ends the worker and all its runs.
func (w *Worker) Kill() {
	w.Resume()
	for _, guard := range w.markDead() {
		guard.Close()
	}
}

// markDead marks the worker as dead, ends all runs and returns the guards. They must be
// closed without the worker's lock, because a guard holds its own lock when it calls the
// worker.
func (w *Worker) markDead() []*dispatcher.Guard {
	w.mu.Lock()
	defer w.mu.Unlock()
	for attempt := range w.running {
		w.end(attempt, dispatcher.Stopped)
	}
	w.faults.dead = true
	guards := []*dispatcher.Guard{w.guard}
	for _, guard := range w.unfencedGuards {
		guards = append(guards, guard)
	}
	return guards
}

// Restart kills the worker, if it is not dead yet, and starts a new incarnation, which
// knows no runs, outcomes or terms of earlier ones. It clears all faults except that of
// SetUnfenced.
func (w *Worker) Restart() {
	w.Kill()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = workerFaults{unfenced: w.faults.unfenced}
	w.reset()
}

func (w *Worker) updateFaults(f func(*workerFaults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(&w.faults)
}

func (w *Worker) faultsAndGuard() (workerFaults, *dispatcher.Guard) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults, w.guard
}

// unfencedGuard returns the guard for the batches of that term.
func (w *Worker) unfencedGuard(term uint64) *dispatcher.Guard {
	w.mu.Lock()
	defer w.mu.Unlock()
	guard, ok := w.unfencedGuards[term]
	if !ok {
		guard = dispatcher.NewGuard(w.agent(w.incarnation))
		w.unfencedGuards[term] = guard
	}
	return guard
}

// awaitBatch waits until the batch has arrived and returns the guard to deliver it to. If
// ctx ends during a delay or pause, awaitBatch delivers the batch itself afterwards.
func (w *Worker) awaitBatch(ctx context.Context, batch dispatcher.Batch) (*dispatcher.Guard, error) {
	f, guard := w.faultsAndGuard()
	if f.unfenced {
		guard = w.unfencedGuard(batch.Term())
	}
	if f.dead {
		return nil, dispatcher.ErrNotDelivered
	}
	if f.batchesLost {
		<-ctx.Done()
		return nil, dispatcher.ErrOutcomeUnknown
	}
	if f.paused == nil && f.delay == 0 {
		return guard, nil
	}
	arrived := make(chan struct{})
	go func() {
		time.Sleep(f.delay)
		if f.paused != nil {
			<-f.paused
		}
		select {
		case <-ctx.Done():
			_, _ = guard.Deliver(context.WithoutCancel(ctx), batch)
		default:
			close(arrived)
		}
	}()
	select {
	case <-arrived:
		return guard, nil
	case <-ctx.Done():
		return nil, dispatcher.ErrOutcomeUnknown
	}
}

// awaitResponse returns nil if the response arrives. If it is lost, it waits until ctx ends.
func (w *Worker) awaitResponse(ctx context.Context) error {
	if f, _ := w.faultsAndGuard(); f.responsesLost || f.dead {
		<-ctx.Done()
		return dispatcher.ErrOutcomeUnknown
	}
	return nil
}
