package scheduler

import (
	"bytes"
	"context"
	"errors"
	"time"

	"filberthaven.example/placer"
	"github.com/samber/oops"
)

// openRetryDelay is the delay between attempts to open a journal that is down.
const openRetryDelay = 200 * time.Millisecond

// recover replays the journal, adds its jobs to the placer and starts the calls to
// the workers.
func (s *Scheduler) recover(ctx context.Context) error {
	if s.journal.SetSnapshotter != nil {
		s.journal.SetSnapshotter(s.snapshot)
	}
	snapshot, records, err := s.openJournal(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := decodeRecords(snapshot, s.state.apply); err != nil {
		return oops.With("shard", s.shard).Wrapf(err, "snapshot")
	}
	for i, data := range records {
		if err := decodeRecords(data, s.state.apply); err != nil {
			return oops.With("shard", s.shard, "record", i).Wrapf(err, "journal")
		}
	}
	s.cleanTakeover, s.state.cleanShutdown = s.state.cleanShutdown || len(s.state.jobs) == 0 && len(records) == 0, false
	s.runCtx = ctx
	s.outbox.wakeup = make(chan struct{}, 1)
	s.outbox.provenAt = time.Now()
	s.awaitingFences = !s.cleanTakeover
	if s.cleanTakeover {
		s.quorumAt = time.Now()
	}
	for _, j := range s.state.jobs {
		s.restoreJob(j)
	}
	s.pauseRecovered()
	s.phase = serving
	for _, l := range s.links {
		s.startLink(ctx, l)
	}
	s.resumeMoves(ctx)
	close(s.ready)
	s.logger.Info("Shard recovered.", "shard", s.shard, "term", s.term, "jobs", len(s.state.jobs), "orderly", s.cleanTakeover)
	return nil
}

// openJournal opens the journal, and retries while it is down.
func (s *Scheduler) openJournal(ctx context.Context) ([]byte, [][]byte, error) {
	for {
		snapshot, records, err := s.journal.Open(ctx, s.term)
		if err == nil || !errors.Is(err, ErrJournalUnavailable) && !errors.Is(err, ErrJournalUnknown) {
			return snapshot, records, err
		}
		select {
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		case <-time.After(openRetryDelay):
		}
	}
}

// restoreJob adds a job and the state of its tasks to the placer, unless the job has
// ended or belongs to another shard.
func (s *Scheduler) restoreJob(j *job) {
	if !j.endedAt.IsZero() || j.movedOrMoving() {
		return
	}
	if !s.addToPlacer(j) {
		return
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		id := placer.NewTaskID(j.spec.ID(), i)
		switch {
		case t.finalResult != 0:
			s.logPlacerError(s.placer.MarkEnded(id, toPlacerOutcome(t.finalResult)))
		case t.running:
			l := s.linkOf(t.incarnation.worker)
			l.tasks[id] = struct{}{}
			if j.hasBegun {
				s.markBegun(j, t)
			}
			s.logPlacerError(s.placer.RestoreTask(id, l.id, time.Now()))
		}
	}
	if j.withdrawn() {
		s.placer.Cancel(j.spec.ID())
	}
}

// addToPlacer adds a job to the placer after updating its team there, and reports
// whether the placer accepted the job.
func (s *Scheduler) addToPlacer(j *job) bool {
	s.updateTeam(j.spec.Team(), s.unfencedCPU())
	if err := s.placer.RestoreJob(j.spec); err != nil {
		s.logger.Error("Placer rejected an accepted job.", "shard", s.shard, "job", j.spec.ID(), "error", err)
		return false
	}
	return true
}

func toPlacerOutcome(r result) placer.Outcome {
	switch r {
	case resultDone:
		return placer.Succeeded
	case resultCancelled:
		return placer.Cancelled
	default:
		return placer.Failed
	}
}

// logPlacerError logs an error of the placer, if any: it means that the state of the
// placer differs from that of the scheduler.
func (s *Scheduler) logPlacerError(err error) {
	if err != nil {
		s.logger.Error("State of placer and scheduler differs.", "shard", s.shard, "error", err)
	}
}

// pauseRecovered pauses the idempotent jobs of the previous owner after an unclean
// takeover. While the journal was down, that owner may have started tasks of these jobs
// without a record.
func (s *Scheduler) pauseRecovered() {
	if !s.awaitingFences {
		return
	}
	for _, j := range s.state.jobs {
		if j.spec.Idempotent() && j.endedAt.IsZero() && !j.movedOrMoving() && !j.withdrawn() {
			s.logPlacerError(s.placer.SetPaused(j.spec.ID(), true))
		}
	}
}

// resumeRecovered resumes the jobs that pauseRecovered has paused, once every worker is
// fenced or its lease has expired, and no batch of an earlier owner can be in flight any
// more.
func (s *Scheduler) resumeRecovered(now time.Time) {
	if !s.awaitingFences || !s.workersListed || s.quorumAt.IsZero() || now.Before(s.quorumAt.Add(s.ownershipTimeout)) {
		return
	}
	for _, l := range s.links {
		if !l.fenced && !l.leaseExpired {
			return
		}
	}
	s.awaitingFences = false
	s.placer.SetAllPaused(false)
	s.logger.Info("Workers fenced, paused jobs resumed.", "shard", s.shard, "term", s.term)
}

// snapshot returns the whole durable state as a sequence of encoded records.
func (s *Scheduler) snapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var buffer bytes.Buffer
	s.state.records(func(r record) {
		data, err := r.encode()
		if err != nil {
			s.endTerm(err)
			return
		}
		buffer.Write(data)
	})
	return buffer.Bytes()
}
