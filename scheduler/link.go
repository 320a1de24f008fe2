package scheduler

import (
	"context"
	"time"

	"filberthaven.example/dispatcher"
	"filberthaven.example/placer"
)

const (
	gatherDelay  = 2 * time.Millisecond // before a decision or a call, for more news
	suspendAfter = 2                    // failed calls in a row
)

// link is the owner's side of one worker.
type link struct {
	id        string
	worker    placer.Worker
	listed    bool   // the platform lists it
	fenced    bool   // its state was read back and its lease runs
	lapsed    bool   // it surely runs nothing of ours
	suspended bool   // it takes no new task, since calls fail
	known     *place // the incarnation last seen; nil before
	failures  int    // failed calls in a row
	answered  time.Time
	began     time.Time // when the last answered call was begun
	orders    []*order
	tasks     map[placer.TaskID]struct{}      // on the books of this worker
	settling  map[dispatcher.Attempt]struct{} // ended runs that the journal lacks
	wake      chan struct{}                   // holds one
	stop      context.CancelFunc              // nil until started
}

// order is an order on its way to a worker.
type order struct {
	dispatcher.Order
	maybe  bool // an earlier batch with it may have arrived
	flying bool // a batch with it is under way
}

// linkOf returns the link of a worker, making one that isn't listed; the lock is
// held.
func (s *Scheduler) linkOf(worker string) *link {
	l, ok := s.links[worker]
	if ok {
		return l
	}
	l = &link{
		id:       worker,
		worker:   placer.NewWorker(worker, "", placer.Resources{}),
		tasks:    map[placer.TaskID]struct{}{},
		settling: map[dispatcher.Attempt]struct{}{},
		wake:     make(chan struct{}, 1),
	}
	s.links[worker] = l
	s.show(l)
	return l
}

// show tells the placer whether a worker takes tasks.
func (s *Scheduler) show(l *link) {
	state := l.worker.State()
	if !l.fenced || l.suspended || !l.listed {
		state = placer.Draining
	}
	s.placer.SetWorker(placer.NewWorker(l.id, l.worker.Rack(), l.worker.Total(), placer.WithState(state)))
}

// SetWorkers sets the workers of the shard as the platform lists them. One that
// was listed and is no more counts as gone for certain, with all that ran on it.
func (s *Scheduler) SetWorkers(workers []placer.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = true
	present := make(map[string]bool, len(workers))
	for _, worker := range workers {
		present[worker.ID()] = true
		l := s.linkOf(worker.ID())
		changed := !l.listed || l.worker != worker
		l.worker, l.listed = worker, true
		if changed {
			s.show(l)
		}
		s.startLink(s.base, l)
	}
	for id, l := range s.links {
		if l.listed && !present[id] {
			s.logger.Info("Worker gone.", "shard", s.shard, "worker", id, "tasks", len(l.tasks))
			s.remove(l)
		}
	}
	s.kick()
}

// remove forgets a worker that is gone, and what ran on it.
func (s *Scheduler) remove(l *link) {
	s.lapse(l, "worker is gone")
	if l.stop != nil {
		l.stop()
	}
	delete(s.links, l.id)
	s.placer.RemoveWorker(l.id)
	s.dispatcher.Forget(l.id)
}

// startLink begins the exchange with a listed worker, once; the lock is held.
func (s *Scheduler) startLink(base context.Context, l *link) {
	if l.stop != nil || !l.listed || s.stage != serving {
		return
	}
	ctx, cancel := context.WithCancel(base)
	l.stop = cancel
	s.group.Go(func() {
		defer cancel()
		s.exchangeAll(ctx, l)
	})
}

// exchangeAll calls a worker at each heartbeat, and when there are orders.
func (s *Scheduler) exchangeAll(ctx context.Context, l *link) {
	pause := time.Duration(0)
	for {
		// A timer that is due already can't be used again under synctest.
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-s.over:
			timer.Stop()
			return
		case <-timer.C:
		case <-l.wake:
			timer.Stop()
			time.Sleep(gatherDelay)
		}
		s.exchange(ctx, l)
		pause = s.heartbeat
	}
}

// exchange makes one call to a worker.
func (s *Scheduler) exchange(ctx context.Context, l *link) {
	began := time.Now()
	batch, lease, ok := s.gather(l, began)
	if !ok {
		return
	}
	orders := make([]dispatcher.Order, len(batch))
	for i, o := range batch {
		orders[i] = o.Order
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	answer, err := s.dispatcher.Deliver(ctx, l.id, s.term, lease, orders)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range batch {
		o.flying = false
	}
	if s.links[l.id] != l || s.stage == deposed || s.stage == closed {
		return
	}
	if err != nil {
		s.onFailure(l, batch, err)
		return
	}
	s.onAnswer(l, batch, answer, began)
}

// gather returns the orders for a call, and the lease. Without a fresh proof of
// ownership the call only fences and reads back: another owner may be at work.
func (s *Scheduler) gather(l *link, now time.Time) ([]*order, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stage != serving && s.stage != closing {
		return nil, 0, false
	}
	if !s.proven(now) {
		s.prove()
		return nil, 0, true
	}
	if !l.fenced {
		return nil, s.lease, true
	}
	batch := make([]*order, 0, len(l.orders))
	for _, o := range append([]*order(nil), l.orders...) {
		if o.Kind() == dispatcher.Start && !s.mayStart(l, o) {
			continue
		}
		o.flying = true
		batch = append(batch, o)
	}
	return batch, s.lease, true
}

// mayStart reports whether a start order is still right. One that is not is
// taken back: at once if it surely was not sent, else when the worker's next
// answer shows that it never arrived.
func (s *Scheduler) mayStart(l *link, o *order) bool {
	id := o.Attempt().Task()
	j, t := s.book.taskOf(id)
	if !t.here(l, o.Attempt()) {
		l.drop(o)
		return false
	}
	if !s.drained && s.stage == serving && !j.withdrawn() {
		t.stage = taskSent
		return true
	}
	l.drop(o)
	if o.maybe || o.flying {
		t.stage = taskRecovered
		return false
	}
	s.unstart(l, j, id.Index(), "starts have stopped")
	return false
}

// proven reports whether no other owner can have been at work for longer than
// the contact time: the journal or most workers have taken this term since.
func (s *Scheduler) proven(now time.Time) bool {
	since := now.Add(-s.contact)
	if !s.outbox.success.Before(since) {
		return true
	}
	fresh, all := 0, 0
	for _, l := range s.links {
		if !l.listed {
			continue
		}
		all++
		if !l.began.Before(since) && !l.began.IsZero() {
			fresh++
		}
	}
	return 2*fresh > all
}

// prove asks the journal for a proof of ownership, one at a time.
func (s *Scheduler) prove() {
	if s.outbox.empty() {
		s.write(record{Kind: recordBeat, Term: s.term}, false, nil)
	}
}

// drop takes an order off the link.
func (l *link) drop(o *order) {
	for i, known := range l.orders {
		if known == o {
			l.orders = append(l.orders[:i], l.orders[i+1:]...)
			return
		}
	}
}

// dropStart takes the start order of a run off the link.
func (l *link) dropStart(attempt dispatcher.Attempt) {
	for _, o := range l.orders {
		if o.Kind() == dispatcher.Start && o.Attempt() == attempt {
			l.drop(o)
			return
		}
	}
}

// send queues an order, unless it is queued already.
func (l *link) send(o dispatcher.Order) {
	for _, known := range l.orders {
		if known.Kind() == o.Kind() && known.Attempt() == o.Attempt() {
			return
		}
	}
	l.orders = append(l.orders, &order{Order: o})
	l.poke()
}

// poke makes the exchange happen soon.
func (l *link) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}
