package scheduler_test

import (
	"context"
	"fmt"
	"sync"

	"filberthaven.example/dispatcher"
	"filberthaven.example/emulator"
	"filberthaven.example/journaler"
	"filberthaven.example/placer"
	"filberthaven.example/scheduler"
)

// owner is one entry VM that owns or owned a shard.
type owner struct {
	world   *world
	shard   *shardWorld
	term    uint64
	sched   *scheduler.Scheduler
	journal *journaler.Journaler
	client  *emulator.Client
	cancel  context.CancelFunc
	ended   chan error

	mu     sync.Mutex
	paused chan struct{}
	deaf   map[string]bool // workers that its batches don't reach
	mute   map[string]bool // workers whose answers don't reach it
}

// list tells an owner of the workers that live.
func (o *owner) list() {
	var list []placer.Worker
	for i, worker := range o.shard.workers {
		if !o.shard.gone[worker.ID()] {
			list = append(list, placer.NewWorker(worker.ID(), fmt.Sprintf("rack%d", i%2), worker.Capacity()))
		}
	}
	o.sched.SetWorkers(list)
}

// seam is the journal as the owner reaches it.
func (o *owner) seam(journal scheduler.Journal) scheduler.Journal {
	inner := journal
	journal.Open = func(ctx context.Context, term uint64) ([]byte, [][]byte, error) {
		snapshot, records, err := inner.Open(ctx, term)
		if o.world.guards.noHold && err == nil {
			records = append(records, scheduler.CloseRecord())
		}
		return snapshot, records, err
	}
	journal.Enqueue = func(record []byte, kept bool, done func(error)) {
		o.hang()
		if o.world.guards.noRecord && scheduler.IsStart(record) {
			go done(nil)
			done = func(error) {}
		}
		inner.Enqueue(record, kept, done)
	}
	return journal
}

// hang returns when the owner is not paused.
func (o *owner) hang() {
	o.mu.Lock()
	paused := o.paused
	o.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

// deliver takes a batch to a worker over the network between them. A paused owner
// sends it when it goes on, however late that is.
func (o *owner) deliver(ctx context.Context, id string, batch dispatcher.Batch) (dispatcher.Response, error) {
	o.hang()
	o.mu.Lock()
	deaf, mute := o.deaf[id], o.mute[id]
	o.mu.Unlock()
	if deaf {
		<-ctx.Done()
		return dispatcher.Response{}, dispatcher.ErrOutcomeUnknown
	}
	for _, worker := range o.shard.workers {
		if worker.ID() != id {
			continue
		}
		sent, cancel := context.WithTimeout(context.WithoutCancel(ctx), scheduler.DefaultTimeout)
		defer cancel()
		answer, err := worker.Deliver(sent, batch)
		if err == nil && (mute || ctx.Err() != nil) {
			<-ctx.Done()
			return dispatcher.Response{}, dispatcher.ErrOutcomeUnknown
		}
		return answer, err
	}
	return dispatcher.Response{}, dispatcher.ErrNotDelivered
}

func (o *owner) pause() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.paused == nil {
		o.paused = make(chan struct{})
	}
}

func (o *owner) resume() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.paused != nil {
		close(o.paused)
		o.paused = nil
	}
}

// kill ends the entry VM: what it has sent may still arrive.
func (o *owner) kill() { o.cancel() }

func (o *owner) cut(id string, deaf, mute bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.deaf[id], o.mute[id] = deaf, mute
}

func (o *owner) over() bool {
	select {
	case err := <-o.ended:
		o.ended <- err
		return true
	default:
		return false
	}
}
