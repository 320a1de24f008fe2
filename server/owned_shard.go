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

// resignTimeout limits the hand-over of one shard.
const resignTimeout = 5 * time.Second

// ownedShard is the ownership of one shard during one term.
type ownedShard struct {
	shard     string
	term      uint64
	scheduler *scheduler.Scheduler
	journal   *journaler.Journaler
	quotas    *granter.QuotaAllocator
	load      atomic.Pointer[ShardLoad] // nil until the scheduler has reported its usage
	closing   atomic.Bool               // resignAll closes the journal; runOwnedShard must not abort it
	cancel    context.CancelFunc
	done      chan struct{} // closed when runOwnedShard has ended
}

// ownedShards holds the shards that this entry VM owns.
type ownedShards struct {
	mu     sync.Mutex
	shards map[string]*ownedShard // by name of the shard; the newest term of each
}

// get returns the shard of that name, if this entry VM owns it.
func (o *ownedShards) get(shard string) (*ownedShard, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	found, ok := o.shards[shard]
	return found, ok
}

// all returns all shards that this entry VM owns, in no particular order.
func (o *ownedShards) all() []*ownedShard {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]*ownedShard, 0, len(o.shards))
	for _, found := range o.shards {
		list = append(list, found)
	}
	return list
}

// put stores a newly owned shard. It returns the ownership of an earlier term that it
// replaces, or nil.
func (o *ownedShards) put(next *ownedShard) *ownedShard {
	o.mu.Lock()
	defer o.mu.Unlock()
	former := o.shards[next.shard]
	o.shards[next.shard] = next
	return former
}

// drop removes and returns the shard of that name, if it is owned under the term. A term
// of 0 stands for any.
func (o *ownedShards) drop(shard string, term uint64) (*ownedShard, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	found, ok := o.shards[shard]
	if !ok || term != 0 && found.term != term {
		return nil, false
	}
	delete(o.shards, shard)
	return found, true
}

// scheduler returns the scheduler of the shard, if this entry VM owns it.
func (o *ownedShards) scheduler(shard string) (*scheduler.Scheduler, bool) {
	found, ok := o.get(shard)
	if !ok {
		return nil, false
	}
	return found.scheduler, true
}

// onElected starts the owner of a shard. It does not block.
func (s *Server) onElected(shard string, term uint64) {
	next, err := s.newOwnedShard(shard, term)
	if err != nil {
		s.logger.Error("failed to start owner of shard", "shard", shard, "term", term, "error", err)
		return
	}
	ctx, cancel := context.WithCancel(s.baseCtx)
	next.cancel = cancel
	former := s.owned.put(next)
	s.group.Go(func() { s.runOwnedShard(ctx, next, former) })
}

// onDeposed stops the owner of a shard. It does not block.
func (s *Server) onDeposed(shard string) {
	if former, ok := s.owned.drop(shard, 0); ok {
		former.cancel()
	}
}

// newOwnedShard builds the owner of a shard. runOwnedShard starts it.
func (s *Server) newOwnedShard(shard string, term uint64) (*ownedShard, error) {
	quotas, err := granter.NewQuotaAllocator(s.store, s.mirror, shard,
		granter.WithTerm(term), granter.WithQuotaLogger(s.logger))
	if err != nil {
		return nil, err
	}
	journal, err := journaler.New(s.store, shard, journaler.WithLogger(s.logger), journaler.WithRegistry(s.registry),
		journaler.WithRate(journalRate(len(s.allShards()))))
	if err != nil {
		return nil, err
	}
	runTimes, err := estimator.New()
	if err != nil {
		return nil, err
	}
	next := &ownedShard{shard: shard, term: term, journal: journal, quotas: quotas, done: make(chan struct{})}
	next.scheduler, err = scheduler.New(shard, term,
		scheduler.WithJournal(scheduler.NewJournal(journal)),
		scheduler.WithDispatcher(dispatcher.New(dispatcher.WithMessenger(s.workers, s.workerAddress))),
		scheduler.WithLogger(s.logger.Named("scheduler")),
		scheduler.WithQuota(func(team string) int64 { return s.quota(quotas, team) }),
		scheduler.WithLimits(s.limits(quotas)),
		scheduler.WithShare(s.share),
		scheduler.WithDraining(!s.inService(centreOf(shard))),
		scheduler.WithUsageReporter(next.setLoad),
		scheduler.WithRemoteUsage(func() map[string]placer.Resources { return s.remoteUsage(shard) }),
		scheduler.WithPlacerOptions(estimatorOptions(runTimes, s.logger)...),
		scheduler.WithTransfer(s.transferTarget(shard), s.client.Transfer),
	)
	return next, err
}

// fleetSegmentRate is the maximum rate at which the journals of all shards together
// write segments, per second. It is less than the rate of writes that the key-value
// service accepts from the fleet, since other components write too.
const fleetSegmentRate rate.Limit = 110

// journalRate returns the maximum rate of one journal, in segments per second, in a fleet
// with the given number of shards. The lower the rate, the more records go into a segment.
func journalRate(shards int) rate.Limit {
	return min(journaler.DefaultRate, fleetSegmentRate/rate.Limit(max(shards, 1)))
}

// estimateQuantile is the fraction of runs that are no longer than the estimated run time.
const estimateQuantile = 0.9

// estimatorOptions returns options with which a placer records run times in the
// estimator and uses its estimates. The estimator isn't safe for concurrent use; the
// scheduler holds its lock during all these calls.
func estimatorOptions(runTimes *estimator.Estimator, logger hclog.Logger) []placer.Option {
	return []placer.Option{
		placer.WithRunTime(func(spec placer.JobSpec) time.Duration {
			return runTimes.RunTime(spec.Team(), spec.Name(), estimateQuantile, spec.Estimate())
		}),
		placer.WithLearnedRunTime(func(spec placer.JobSpec) time.Duration {
			return runTimes.RunTime(spec.Team(), spec.Name(), estimateQuantile, 0)
		}),
		placer.WithRunTimeQuantile(func(spec placer.JobSpec, quantile float64) time.Duration {
			return runTimes.RunTime(spec.Team(), spec.Name(), quantile, spec.Estimate())
		}),
		placer.WithOnSuccess(func(spec placer.JobSpec, runTime time.Duration) {
			if err := runTimes.ObserveRunTime(spec.Team(), spec.Name(), runTime, spec.Estimate()); err != nil {
				logger.Debug("failed to record run time of job", "job", spec.ID(), "error", err)
			}
		}),
	}
}

// runOwnedShard runs the owner of a shard until its term ends. Before that it stops
// former, this process's owner of an earlier term, and waits for its end; former may be nil.
func (s *Server) runOwnedShard(ctx context.Context, o *ownedShard, former *ownedShard) {
	defer close(o.done)
	if former != nil {
		former.cancel()
		<-former.done
	}
	var group sync.WaitGroup
	group.Go(func() { s.syncOwner(ctx, o) })
	group.Go(func() {
		if err := o.quotas.Run(ctx); ctx.Err() == nil {
			s.logger.Warn("quota allocation ended", "shard", o.shard, "term", o.term, "error", err)
		}
	})
	if s.allocatesSlots(o.shard) {
		group.Go(func() { s.allocateSlots(ctx, o) })
	}
	err := o.scheduler.Run(ctx)
	if err != nil && ctx.Err() == nil {
		s.logger.Warn("owner of shard ended", "shard", o.shard, "term", o.term, "error", err)
	}
	o.cancel()
	if !o.closing.Load() {
		o.journal.Abort()
	}
	group.Wait()
	s.owned.drop(o.shard, o.term)
}

// syncInterval is the time between two updates by syncOwner.
const syncInterval = 500 * time.Millisecond

// syncOwner keeps the owner's workers, the teams' limits and the state of its data centre
// up to date until ctx is done. It updates them when the declarations change, and at
// intervals.
func (s *Server) syncOwner(ctx context.Context, o *ownedShard) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	changed := make(chan struct{}, 1)
	cancel := s.copy.Subscribe(func(*configurer.Revision) { notify(changed) })
	defer cancel()
	for {
		s.syncOwnerOnce(ctx, o)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// syncOwnerOnce updates the owner's workers, the teams' limits and the state of its data
// centre. The workers stay unchanged until the platform's list has been fetched.
func (s *Server) syncOwnerOnce(ctx context.Context, o *ownedShard) {
	centre := centreOf(o.shard)
	if !s.tracker.FetchedAt().IsZero() {
		o.scheduler.SetWorkers(s.shardWorkers(o.shard))
	}
	s.setLimits(o.quotas)
	if err := s.setCentreState(ctx, o, s.centreState(centre)); err != nil && !errors.Is(err, scheduler.ErrNotOwner) && !errors.Is(err, scheduler.ErrNotRun) {
		s.logger.Warn("failed to set state of data centre", "shard", o.shard, "error", err)
	}
}

// setCentreState passes the declared state of a data centre to the shard's owner, which
// resumes if the data centre is in service and drains otherwise. A lost data centre is also
// declared lost.
func (s *Server) setCentreState(ctx context.Context, o *ownedShard, state configurer.State) error {
	if state == configurer.InService {
		return o.scheduler.Resume(ctx)
	}
	if err := o.scheduler.Drain(ctx); err != nil || state != configurer.Lost {
		return err
	}
	return o.scheduler.DeclareLost(ctx)
}

// shardWorkers returns the workers of a shard: those in its data centre whose rack
// belongs to the shard.
func (s *Server) shardWorkers(shard string) []placer.Worker {
	shards := s.centreShards(centreOf(shard))
	var workers []placer.Worker
	for _, vm := range s.tracker.Workers(centreOf(shard)) {
		if shardFor(vm.Rack(), shards) != shard {
			continue
		}
		workers = append(workers, s.placerWorker(vm))
	}
	return workers
}

// resignAll cleanly closes the owners of all shards and hands the shards over.
func (s *Server) resignAll(ctx context.Context, logger hclog.Logger) {
	s.elector.Leave()
	var group sync.WaitGroup
	for _, o := range s.owned.all() {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, resignTimeout)
			defer cancel()
			o.closing.Store(true)
			if err := o.scheduler.Close(ctx); err != nil {
				logger.Warn("failed to close owner of shard", "shard", o.shard, "error", err)
			}
			if err := o.journal.Close(ctx); err != nil {
				logger.Warn("failed to close journal of shard", "shard", o.shard, "error", err)
			}
			if err := s.elector.Resign(ctx, o.shard); err != nil {
				logger.Warn("failed to hand over shard", "shard", o.shard, "error", err)
			}
			o.cancel()
		})
	}
	group.Wait()
}
