package emulator

import (
	"context"
	"time"

	"filberthaven.example/dispatcher"
)

// workerFaults are switched on and off while a worker runs.
type workerFaults struct {
	dead    bool
	failing bool          // every run fails at once
	open    bool          // each term has a guard of its own: no fence
	deaf    bool          // batches don't arrive
	mute    bool          // answers don't arrive
	delay   time.Duration // before a batch is taken
	paused  chan struct{} // nil, or closed when the worker goes on
}

// SetFailing makes every task that the worker starts fail at once.
func (w *Worker) SetFailing(on bool) { w.change(func(f *workerFaults) { f.failing = on }) }

// SetUnfenced makes the worker take each term for the highest, to show what the
// fence is for.
func (w *Worker) SetUnfenced(on bool) { w.change(func(f *workerFaults) { f.open = on }) }

// Dead reports whether the worker was killed and not restarted.
func (w *Worker) Dead() bool {
	f, _ := w.state()
	return f.dead
}

// SetUnreachable loses batches (deaf) or answers (mute).
func (w *Worker) SetUnreachable(deaf, mute bool) {
	w.change(func(f *workerFaults) { f.deaf, f.mute = deaf, mute })
}

// SetDelay makes every batch arrive late by d.
func (w *Worker) SetDelay(d time.Duration) { w.change(func(f *workerFaults) { f.delay = d }) }

// Pause stops the worker until Resume; batches wait, also those whose sender has
// given up.
func (w *Worker) Pause() {
	w.change(func(f *workerFaults) {
		if f.paused == nil {
			f.paused = make(chan struct{})
		}
	})
}

// Resume lets a paused worker go on.
func (w *Worker) Resume() {
	w.change(func(f *workerFaults) {
		if f.paused != nil {
			close(f.paused)
			f.paused = nil
		}
	})
}

// Kill ends the worker with all that runs on it.
func (w *Worker) Kill() {
	w.Resume()
	for _, guard := range w.die() {
		guard.Close()
	}
}

// die ends all runs and returns the guards, which are closed without the
// worker's lock: a guard calls the worker under its own.
func (w *Worker) die() []*dispatcher.Guard {
	w.mu.Lock()
	defer w.mu.Unlock()
	for attempt := range w.running {
		w.end(attempt, dispatcher.Stopped)
	}
	w.faults.dead = true
	guards := []*dispatcher.Guard{w.guard}
	for _, guard := range w.unfenced {
		guards = append(guards, guard)
	}
	return guards
}

// Restart brings a killed worker back as a new incarnation that remembers
// nothing. A worker that lives is killed first.
func (w *Worker) Restart() {
	w.Kill()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = workerFaults{open: w.faults.open}
	w.reset()
}

func (w *Worker) change(f func(*workerFaults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(&w.faults)
}

func (w *Worker) state() (workerFaults, *dispatcher.Guard) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults, w.guard
}

// guardOf returns a guard that has seen one term only.
func (w *Worker) guardOf(term uint64) *dispatcher.Guard {
	w.mu.Lock()
	defer w.mu.Unlock()
	guard, ok := w.unfenced[term]
	if !ok {
		guard = dispatcher.NewGuard(w.agent(w.incarnation))
		w.unfenced[term] = guard
	}
	return guard
}

// receive returns the guard once the batch has arrived. A batch that is held up
// past its sender's timeout still arrives later.
func (w *Worker) receive(ctx context.Context, batch dispatcher.Batch) (*dispatcher.Guard, error) {
	f, guard := w.state()
	if f.open {
		guard = w.guardOf(batch.Term())
	}
	if f.dead {
		return nil, dispatcher.ErrNotDelivered
	}
	if f.deaf {
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

// send brings the answer, unless it gets lost.
func (w *Worker) send(ctx context.Context) error {
	if f, _ := w.state(); f.mute || f.dead {
		<-ctx.Done()
		return dispatcher.ErrOutcomeUnknown
	}
	return nil
}
