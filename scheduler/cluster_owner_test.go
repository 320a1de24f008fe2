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

// owner is an entry VM that owns a shard, or has owned it until another took over.
type owner struct {
	cluster   *cluster
	shard     *clusterShard
	term      uint64
	sched     *scheduler.Scheduler
	journal   *journaler.Journaler
	client    *emulator.Client
	cancel    context.CancelFunc
	runResult chan error

	mu            sync.Mutex
	paused        chan struct{}   // nil, or closed by resume
	dropRequests  map[string]bool // ids of workers that its batches don't reach
	dropResponses map[string]bool // ids of workers whose responses don't reach it
	usage         []scheduler.Usage
}

// listWorkers passes the platform's list of workers to the owner.
func (o *owner) listWorkers() {
	var list []placer.Worker
	for i, worker := range o.shard.workers {
		if !o.shard.removed[worker.ID()] {
			list = append(list, placer.NewWorker(worker.ID(), fmt.Sprintf("rack%d", i%2), worker.Capacity()))
		}
	}
	o.sched.SetWorkers(list)
}

// setUsage stores the usage of the teams that the owner reports.
func (o *owner) setUsage(usage []scheduler.Usage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.usage = usage
}

// lastUsage returns the usage that the owner reported last.
func (o *owner) lastUsage() []scheduler.Usage {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.usage
}

// wrapJournal returns a journal that blocks writes while the owner is paused, and that
// leaves out the guards which the cluster disables.
func (o *owner) wrapJournal(journal scheduler.Journal) scheduler.Journal {
	inner := journal
	journal.Open = func(ctx context.Context, term uint64) ([]byte, [][]byte, error) {
		snapshot, records, err := inner.Open(ctx, term)
		if o.cluster.guards.noPause && err == nil {
			records = append(records, scheduler.CloseRecord())
		}
		return snapshot, records, err
	}
	journal.Enqueue = func(record []byte, mandatory bool, done func(error)) {
		o.waitWhilePaused()
		if o.cluster.guards.noStartRecord && scheduler.IsStart(record) {
			go done(nil)
			done = func(error) {}
		}
		inner.Enqueue(record, mandatory, done)
	}
	return journal
}

// waitWhilePaused blocks while the owner is paused.
func (o *owner) waitWhilePaused() {
	o.mu.Lock()
	paused := o.paused
	o.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

// deliver sends a batch to a worker, unless a fault of the network between them drops the
// batch or its response. A paused owner sends the batch when it is resumed, however late
// that is.
func (o *owner) deliver(ctx context.Context, id string, batch dispatcher.Batch) (dispatcher.Response, error) {
	o.waitWhilePaused()
	o.mu.Lock()
	dropRequest, dropResponse := o.dropRequests[id], o.dropResponses[id]
	o.mu.Unlock()
	if dropRequest {
		<-ctx.Done()
		return dispatcher.Response{}, dispatcher.ErrOutcomeUnknown
	}
	for _, worker := range o.shard.workers {
		if worker.ID() != id {
			continue
		}
		sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), scheduler.DefaultTimeout)
		defer cancel()
		response, err := worker.Deliver(sendCtx, batch)
		if err == nil && (dropResponse || ctx.Err() != nil) {
			<-ctx.Done()
			return dispatcher.Response{}, dispatcher.ErrOutcomeUnknown
		}
		return response, err
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

// kill ends the entry VM. Batches that it has sent may still arrive.
func (o *owner) kill() { o.cancel() }

// partition sets what the network between the owner and a worker drops.
func (o *owner) partition(id string, dropRequests, dropResponses bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dropRequests[id], o.dropResponses[id] = dropRequests, dropResponses
}

// hasEnded reports whether Run has returned.
func (o *owner) hasEnded() bool {
	select {
	case err := <-o.runResult:
		o.runResult <- err
		return true
	default:
		return false
	}
}
