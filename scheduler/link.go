package scheduler

import (
	"context"
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/placer"
)

const (
	batchDelay   = 2 * time.Millisecond // after a wake-up, so that a scheduling cycle or a call covers more updates
	suspendAfter = 2                    // consecutive failed calls until a worker is suspended
)

// link is the owner's connection to one worker.
type link struct {
	id              string
	worker          placer.Worker
	listed          bool                            // the platform lists it
	fenced          bool                            // it has accepted this term and reported its runs; its lease is renewed
	leaseExpired    bool                            // it certainly runs no task of this shard
	suspended       bool                            // it takes no new tasks, since calls to it fail
	incarnation     *incarnation                    // as last reported; nil before the first response
	failures        int                             // consecutive failed calls
	answeredAt      time.Time                       // end of the last successful call
	callStartedAt   time.Time                       // start of the last successful call
	orders          []*order                        // to be sent, or sent and not answered
	tasks           map[placer.TaskID]struct{}      // tasks whose current run is on this worker
	unpersistedEnds map[dispatcher.Attempt]struct{} // ended runs whose end is not persisted yet
	wakeup          chan struct{}                   // capacity 1; causes a call
	stop            context.CancelFunc              // ends the calls; nil until they have started
}

// order is an order that the worker has not answered yet.
type order struct {
	dispatcher.Order
	mayHaveArrived bool // an earlier batch with it may have reached the worker
	inFlight       bool // a batch with it is in flight
}

// linkOf returns the link of a worker, creating an unlisted one if there is none. The
// caller holds s.mu.
func (s *Scheduler) linkOf(worker string) *link {
	l, ok := s.links[worker]
	if ok {
		return l
	}
	l = &link{
		id:              worker,
		worker:          placer.NewWorker(worker, "", placer.Resources{}),
		tasks:           map[placer.TaskID]struct{}{},
		unpersistedEnds: map[dispatcher.Attempt]struct{}{},
		wakeup:          make(chan struct{}, 1),
	}
	s.links[worker] = l
	s.updateWorker(l)
	return l
}

// updateWorker passes a worker to the placer. A worker that must get no new tasks counts
// as draining there.
func (s *Scheduler) updateWorker(l *link) {
	state := l.worker.State()
	if !l.fenced || l.suspended || !l.listed {
		state = placer.Draining
	}
	s.placer.SetWorker(placer.NewWorker(l.id, l.worker.Rack(), l.worker.Total(), placer.WithState(state)))
}

// SetWorkers sets the workers of the shard as the platform lists them. A worker that
// is no longer listed is certainly gone, and the runs on it are lost.
func (s *Scheduler) SetWorkers(workers []placer.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workersListed = true
	present := make(map[string]bool, len(workers))
	for _, worker := range workers {
		present[worker.ID()] = true
		l := s.linkOf(worker.ID())
		changed := !l.listed || l.worker != worker
		l.worker, l.listed = worker, true
		if changed {
			s.updateWorker(l)
		}
		s.startLink(s.runCtx, l)
	}
	for id, l := range s.links {
		if l.listed && !present[id] {
			s.logger.Info("Worker gone.", "shard", s.shard, "worker", id, "tasks", len(l.tasks))
			s.removeWorker(l)
		}
	}
	s.wake()
}

// removeWorker removes a worker that is gone, and marks the runs on it as lost.
func (s *Scheduler) removeWorker(l *link) {
	s.expireWorker(l, "worker is gone")
	if l.stop != nil {
		l.stop()
	}
	delete(s.links, l.id)
	s.placer.RemoveWorker(l.id)
	s.dispatcher.Forget(l.id)
}

// startLink starts the calls to a listed worker, once. The caller holds s.mu.
func (s *Scheduler) startLink(base context.Context, l *link) {
	if l.stop != nil || !l.listed || s.phase != serving {
		return
	}
	ctx, cancel := context.WithCancel(base)
	l.stop = cancel
	s.group.Go(func() {
		defer cancel()
		s.runLink(ctx, l)
	})
}

// runLink calls a worker at once, at each heartbeat, and soon after each wake-up.
func (s *Scheduler) runLink(ctx context.Context, l *link) {
	for {
		s.callWorker(ctx, l)
		timer := time.NewTimer(s.heartbeat)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-s.ended:
			timer.Stop()
			return
		case <-timer.C:
		case <-l.wakeup:
			timer.Stop()
			time.Sleep(batchDelay)
		}
	}
}

// callWorker sends one batch of orders to a worker and applies its response.
func (s *Scheduler) callWorker(ctx context.Context, l *link) {
	began := time.Now()
	batch, lease, ok := s.nextBatch(l, began)
	if !ok {
		return
	}
	orders := make([]dispatcher.Order, len(batch))
	for i, o := range batch {
		orders[i] = o.Order
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	response, err := s.dispatcher.Deliver(ctx, l.id, s.term, lease, orders)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range batch {
		o.inFlight = false
	}
	if s.links[l.id] != l || s.phase == aborted || s.phase == closed {
		return
	}
	if err != nil {
		s.onFailure(l, batch, err)
		return
	}
	s.onResponse(l, batch, response, began)
}

// nextBatch returns the orders and the lease for the next call, or false if the term has
// ended. A worker that is not fenced gets no orders. Without a recent proof of ownership
// another owner may be active: then there are no orders and the lease is 0, so that the
// call only fences the worker and reads its state.
func (s *Scheduler) nextBatch(l *link, now time.Time) ([]*order, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != serving && s.phase != closing {
		return nil, 0, false
	}
	if !s.ownershipProven(now) {
		s.proveOwnership()
		return nil, 0, true
	}
	if !l.fenced {
		return nil, s.lease, true
	}
	batch := make([]*order, 0, len(l.orders))
	for _, o := range append([]*order(nil), l.orders...) {
		if o.Kind() == dispatcher.Start && !s.prepareStart(l, o) {
			continue
		}
		o.inFlight = true
		batch = append(batch, o)
	}
	return batch, s.lease, true
}

// prepareStart reports whether a start order is still to be sent, and if so marks the
// start as sent. Otherwise it removes the order. If the run has not ended yet, the start
// is reverted: at once if the order was certainly not sent, else when the worker's next
// response shows that the order never arrived.
func (s *Scheduler) prepareStart(l *link, o *order) bool {
	id := o.Attempt().Task()
	j, t := s.state.taskOf(id)
	if !t.runsOn(l, o.Attempt()) {
		l.remove(o)
		return false
	}
	if !s.draining && s.phase == serving && !j.withdrawn() {
		t.stage = startSent
		return true
	}
	l.remove(o)
	if o.mayHaveArrived || o.inFlight {
		t.stage = startUnverified
		return false
	}
	s.revertStart(l, j, id.Index(), "starts have stopped")
	return false
}

// ownershipProven reports whether the journal or a majority of the workers has accepted
// this term within the ownership timeout. Then no other owner can have been active for
// longer than that.
func (s *Scheduler) ownershipProven(now time.Time) bool {
	since := now.Add(-s.ownershipTimeout)
	if !s.outbox.provenAt.Before(since) {
		return true
	}
	fresh, all := 0, 0
	for _, l := range s.links {
		if !l.listed {
			continue
		}
		all++
		if !l.callStartedAt.Before(since) && !l.callStartedAt.IsZero() {
			fresh++
		}
	}
	return 2*fresh > all
}

// proveOwnership writes a record as proof of ownership, unless other records are being
// written: their success proves it as well.
func (s *Scheduler) proveOwnership() {
	if s.outbox.empty() {
		s.write(record{Kind: recordProof, Term: s.term}, false, nil)
	}
}

// remove removes an order from the queue.
func (l *link) remove(o *order) {
	for i, known := range l.orders {
		if known == o {
			l.orders = append(l.orders[:i], l.orders[i+1:]...)
			return
		}
	}
}

// removeStart removes the start order of a run from the queue.
func (l *link) removeStart(attempt dispatcher.Attempt) {
	for _, o := range l.orders {
		if o.Kind() == dispatcher.Start && o.Attempt() == attempt {
			l.remove(o)
			return
		}
	}
}

// enqueue adds an order to the queue, unless it is there already.
func (l *link) enqueue(o dispatcher.Order) {
	for _, known := range l.orders {
		if known.Kind() == o.Kind() && known.Attempt() == o.Attempt() {
			return
		}
	}
	l.orders = append(l.orders, &order{Order: o})
	l.wake()
}

// wake causes a call to the worker soon.
func (l *link) wake() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}
