package server

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"filberthaven.example/configurer"
	"filberthaven.example/dispatcher"
	"filberthaven.example/estimator"
	"filberthaven.example/granter"
	"filberthaven.example/journaler"
	"filberthaven.example/placer"
	"filberthaven.example/scheduler"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

// resignTimeout bounds the hand-over of one shard.
const resignTimeout = 5 * time.Second

// tenure is the ownership of one shard during one term.
type tenure struct {
	shard     string
	term      uint64
	scheduler *scheduler.Scheduler
	journal   *journaler.Journaler
	allotter  *granter.QuotaAllocator
	load      atomic.Pointer[ShardLoad] // nil until the owner has told of it
	closing   atomic.Bool               // a planned stop closes the journal in order
	cancel    context.CancelFunc
	done      chan struct{} // closed when all of its parts have ended
}

// tenures holds the shards that this entry VM owns.
type tenures struct {
	mu     sync.Mutex
	shards map[string]*tenure // by shard; one term each at a time
}

// get returns the tenure of a shard.
func (t *tenures) get(shard string) (*tenure, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found, ok := t.shards[shard]
	return found, ok
}

// all returns all tenures.
func (t *tenures) all() []*tenure {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]*tenure, 0, len(t.shards))
	for _, each := range t.shards {
		list = append(list, each)
	}
	return list
}

// put replaces the tenure of a shard and returns the former one, or nil.
func (t *tenures) put(next *tenure) *tenure {
	t.mu.Lock()
	defer t.mu.Unlock()
	former := t.shards[next.shard]
	t.shards[next.shard] = next
	return former
}

// drop removes the tenure of a shard, if term is zero or its own, and returns it.
func (t *tenures) drop(shard string, term uint64) (*tenure, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found, ok := t.shards[shard]
	if !ok || term != 0 && found.term != term {
		return nil, false
	}
	delete(t.shards, shard)
	return found, true
}

// scheduler returns the scheduler of a shard that this entry VM owns.
func (t *tenures) scheduler(shard string) (*scheduler.Scheduler, bool) {
	found, ok := t.get(shard)
	if !ok {
		return nil, false
	}
	return found.scheduler, true
}

// elected begins the tenure of a shard. It doesn't block.
func (s *Server) elected(shard string, term uint64) {
	next, err := s.newTenure(shard, term)
	if err != nil {
		s.logger.Error("tenure not begun", "shard", shard, "term", term, "error", err)
		return
	}
	ctx, cancel := context.WithCancel(s.base)
	next.cancel = cancel
	former := s.tenures.put(next)
	s.group.Go(func() { s.runTenure(ctx, next, former) })
}

// deposed ends the tenure of a shard. It doesn't block.
func (s *Server) deposed(shard string) {
	if former, ok := s.tenures.drop(shard, 0); ok {
		former.cancel()
	}
}

// newTenure puts the parts of a shard's owner together.
func (s *Server) newTenure(shard string, term uint64) (*tenure, error) {
	allotter, err := granter.NewQuotaAllocator(s.store, s.mirror, shard,
		granter.WithTerm(term), granter.WithQuotaLogger(s.logger))
	if err != nil {
		return nil, err
	}
	journal, err := journaler.New(s.store, shard, journaler.WithLogger(s.logger), journaler.WithRegistry(s.registry),
		journaler.WithRate(journalRate(len(s.allShards()))))
	if err != nil {
		return nil, err
	}
	times, err := estimator.New()
	if err != nil {
		return nil, err
	}
	next := &tenure{shard: shard, term: term, journal: journal, allotter: allotter, done: make(chan struct{})}
	next.scheduler, err = scheduler.New(shard, term,
		scheduler.WithJournal(scheduler.NewJournal(journal)),
		scheduler.WithDispatcher(dispatcher.New(dispatcher.WithMessenger(s.workers, s.workerAddress))),
		scheduler.WithLogger(s.logger.Named("scheduler")),
		scheduler.WithQuota(func(team string) int64 { return s.allotment(allotter, team) }),
		scheduler.WithLimits(s.limits(allotter)),
		scheduler.WithShare(s.share),
		scheduler.WithDrained(!s.inService(centreOf(shard))),
		scheduler.WithUsage(next.noteLoad),
		scheduler.WithRemoteUsage(func() map[string]placer.Resources { return s.usedElsewhere(shard) }),
		scheduler.WithPlacerOptions(estimates(times, s.logger)...),
		scheduler.WithTransfer(s.transferTarget(shard), s.client.Transfer),
	)
	return next, err
}

// fleetSegments is how many segments a second all journals of shards write at most,
// of the writes that the key-value service takes from the fleet.
const fleetSegments rate.Limit = 110

// journalRate returns how many segments a second one journal writes at most when
// there are that many shards. With more shards more records go into one segment.
func journalRate(shards int) rate.Limit {
	return min(journaler.DefaultRate, fleetSegments/rate.Limit(max(shards, 1)))
}

// estimateQuantile is the part of runs that an estimate of the run time covers.
const estimateQuantile = 0.9

// estimates makes a placer learn run times and use what it has learnt. The
// scheduler calls all of them under its lock.
func estimates(times *estimator.Estimator, logger hclog.Logger) []placer.Option {
	return []placer.Option{
		placer.WithRunTime(func(spec placer.JobSpec) time.Duration {
			return times.RunTime(spec.Team(), spec.Name(), estimateQuantile, spec.Estimate())
		}),
		placer.WithLearnedRunTime(func(spec placer.JobSpec) time.Duration {
			return times.RunTime(spec.Team(), spec.Name(), estimateQuantile, 0)
		}),
		placer.WithRunTimeQuantile(func(spec placer.JobSpec, quantile float64) time.Duration {
			return times.RunTime(spec.Team(), spec.Name(), quantile, spec.Estimate())
		}),
		placer.WithOnSuccess(func(spec placer.JobSpec, took time.Duration) {
			if err := times.ObserveRunTime(spec.Team(), spec.Name(), took, spec.Estimate()); err != nil {
				logger.Debug("run time not learnt", "job", spec.ID(), "error", err)
			}
		}),
	}
}

// runTenure runs the owner's parts until the term is over. The former tenure of
// the shard in this process ends first.
func (s *Server) runTenure(ctx context.Context, t *tenure, former *tenure) {
	defer close(t.done)
	if former != nil {
		former.cancel()
		<-former.done
	}
	var group sync.WaitGroup
	group.Go(func() { s.feed(ctx, t) })
	group.Go(func() {
		if err := t.allotter.Run(ctx); ctx.Err() == nil {
			s.logger.Warn("limits not kept any more", "shard", t.shard, "term", t.term, "error", err)
		}
	})
	if s.dividesSlots(t.shard) {
		group.Go(func() { s.divideSlots(ctx, t) })
	}
	err := t.scheduler.Run(ctx)
	if err != nil && ctx.Err() == nil {
		s.logger.Warn("tenure over", "shard", t.shard, "term", t.term, "error", err)
	}
	t.cancel()
	if !t.closing.Load() {
		t.journal.Abort()
	}
	group.Wait()
	s.tenures.drop(t.shard, t.term)
}

// feedInterval is the time between two comparisons of the owner's workers and
// teams with what the list and the declarations say.
const feedInterval = 500 * time.Millisecond

// feed tells the owner its workers, limits and whether its data centre is out.
func (s *Server) feed(ctx context.Context, t *tenure) {
	ticker := time.NewTicker(feedInterval)
	defer ticker.Stop()
	changed := make(chan struct{}, 1)
	cancel := s.copy.Subscribe(func(*configurer.Revision) { notify(changed) })
	defer cancel()
	for {
		s.feedOnce(ctx, t)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// feedOnce tells the owner all that it takes from elsewhere.
func (s *Server) feedOnce(ctx context.Context, t *tenure) {
	centre := centreOf(t.shard)
	if !s.tracker.FetchedAt().IsZero() {
		t.scheduler.SetWorkers(s.shardWorkers(t.shard))
	}
	s.setLimits(t.allotter)
	if err := s.passState(ctx, t, s.centreState(centre)); err != nil && !errors.Is(err, scheduler.ErrNotOwner) && !errors.Is(err, scheduler.ErrNotRun) {
		s.logger.Warn("state of data centre not passed on", "shard", t.shard, "error", err)
	}
}

// passState tells the owner whether its data centre is in service, out or lost.
func (s *Server) passState(ctx context.Context, t *tenure, state configurer.State) error {
	if state == configurer.In {
		return t.scheduler.Resume(ctx)
	}
	if err := t.scheduler.Drain(ctx); err != nil || state != configurer.Lost {
		return err
	}
	return t.scheduler.DeclareLost(ctx)
}

// shardWorkers returns the workers of a shard: those of its data centre whose rack
// falls to it.
func (s *Server) shardWorkers(shard string) []placer.Worker {
	shards := s.centreShards(centreOf(shard))
	var workers []placer.Worker
	for _, vm := range s.tracker.Workers(centreOf(shard)) {
		if rackShard(vm.Rack(), shards) != shard {
			continue
		}
		workers = append(workers, s.placerWorker(vm))
	}
	return workers
}

// resign stops the tenures in order and hands the shards over.
func (s *Server) resign(ctx context.Context, logger hclog.Logger) {
	s.elector.Leave()
	var group sync.WaitGroup
	for _, t := range s.tenures.all() {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, resignTimeout)
			defer cancel()
			t.closing.Store(true)
			if err := t.scheduler.Close(ctx); err != nil {
				logger.Warn("shard not closed in order", "shard", t.shard, "error", err)
			}
			if err := t.journal.Close(ctx); err != nil {
				logger.Warn("journal not closed in order", "shard", t.shard, "error", err)
			}
			if err := s.elector.Resign(ctx, t.shard); err != nil {
				logger.Warn("shard not handed over", "shard", t.shard, "error", err)
			}
			t.cancel()
		})
	}
	group.Wait()
}
