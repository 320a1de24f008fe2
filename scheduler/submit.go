package scheduler

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"filberthaven.example/placer"
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// idBase is the base of the numbers in job ids.
const idBase = 36

// ListLimit is the maximum number of jobs that List returns.
const ListLimit = 1000

// callerError wraps the error of a journal write in the error that a caller gets: ErrNotRun
// if the record was certainly not written, else ErrOutcomeUnknown.
func callerError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrJournalUnavailable):
		return fmt.Errorf("%w: %w", ErrNotRun, err)
	default:
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
}

// checkServing returns ErrNotOwner unless calls are served. The caller holds s.mu.
func (s *Scheduler) checkServing() error {
	if s.phase != serving {
		return fmt.Errorf("%w: shard %s, term %d", ErrNotOwner, s.shard, s.term)
	}
	return nil
}

// digestOf returns a hash of a job as its caller submits it. The id, the time of submission
// and a name equal to the id are left out, since they differ between repeats.
func digestOf(spec placer.JobSpec) (uint64, error) {
	r := newSpecRecord(spec)
	r.ID, r.Submitted = "", 0
	if r.Name == spec.ID() {
		r.Name = ""
	}
	data, err := cbor.Marshal(r)
	return xxhash.Sum64(data), err
}

// Submit accepts a job. The job is persisted when Submit returns nil. The id of the spec
// is replaced. For a request id that the team used before, Submit returns the job that
// was accepted then, or ErrRequestIDReused if the content differs. Errors: ErrNotRun,
// ErrOutcomeUnknown, ErrNotOwner, ErrRequestIDReused, ErrRefused.
func (s *Scheduler) Submit(ctx context.Context, spec placer.JobSpec, requestID string) (Receipt, error) {
	digest, err := digestOf(spec)
	if err != nil {
		return Receipt{}, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	key := requestKey{spec.Team(), requestID}
	s.mu.Lock()
	if err := s.checkServing(); err != nil {
		s.mu.Unlock()
		return Receipt{}, err
	}
	if known, ok := s.state.requests[key]; ok && requestID != "" {
		s.mu.Unlock()
		return s.repeatSubmit(ctx, key, known, digest)
	}
	j, err := s.admit(spec, requestID, digest)
	if err != nil {
		s.mu.Unlock()
		return Receipt{}, err
	}
	written := s.recordJob(j, key)
	s.mu.Unlock()
	if err := s.awaitWrite(ctx, written); err != nil {
		return Receipt{}, err
	}
	return Receipt{jobID: j.spec.ID(), created: true}, nil
}

// admit assigns an id to a job, and refuses the job if it can never run in this shard.
func (s *Scheduler) admit(spec placer.JobSpec, requestID string, digest uint64) (*job, error) {
	s.jobSequence++
	id := s.shard + "." + strconv.FormatUint(s.term, idBase) + "." + strconv.FormatUint(s.jobSequence, idBase)
	spec = withIdentity(spec, id, time.Now())
	err := s.placer.Feasible(spec)
	if err != nil && (errors.Is(err, placer.ErrInvalidJob) || s.allWorkersUsable()) {
		s.logger.Info("Job refused.", "shard", s.shard, "team", spec.Team(), "reason", err)
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return &job{spec: spec, requestID: requestID, digest: digest}, nil
}

// allWorkersUsable reports whether the shard has workers and all of them take new
// tasks, so that a job which fits none of them never will.
func (s *Scheduler) allWorkersUsable() bool {
	for _, l := range s.links {
		if !l.fenced || l.suspended {
			return false
		}
	}
	return len(s.links) > 0 && !s.draining
}

// recordJob writes the record of a job, and adds the job to the shard once it is
// persisted. The channel receives the error for the caller, or nil, when the write
// completes.
func (s *Scheduler) recordJob(j *job, key requestKey) <-chan error {
	written := make(chan error, 1)
	pending := make(chan struct{})
	if key.id != "" {
		s.state.requests[key] = &request{jobID: j.spec.ID(), digest: j.digest, pending: pending}
	}
	s.write(j.record(), false, func(err error) {
		close(pending)
		written <- callerError(err)
		switch {
		case err == nil:
			s.insert(j, key)
		case errors.Is(err, ErrJournalUnavailable):
			delete(s.state.requests, key)
		}
	})
	return written
}

// insert adds a persisted job to the state and, while the shard is served, to the
// placer.
func (s *Scheduler) insert(j *job, key requestKey) {
	s.state.jobs[j.spec.ID()] = j
	if key.id != "" {
		s.state.requests[key] = &request{jobID: j.spec.ID(), digest: j.digest, changedAt: time.Now()}
	}
	if s.phase == serving {
		s.addToPlacer(j)
		s.logger.Info("Job accepted.", "shard", s.shard, "job", j.spec.ID(), "team", j.spec.Team(), "tasks", j.spec.Tasks())
	}
}

// repeatSubmit returns the receipt for a request id that was used before. If the record
// of the first job is still being written, it waits for that write.
func (s *Scheduler) repeatSubmit(ctx context.Context, key requestKey, known *request, digest uint64) (Receipt, error) {
	if known.jobID == "" || known.digest != digest {
		return Receipt{}, fmt.Errorf("%w: %q of team %s", ErrRequestIDReused, key.id, key.team)
	}
	if known.pending != nil {
		select {
		case <-known.pending:
		case <-ctx.Done():
			return Receipt{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
		case <-s.ended:
			return Receipt{}, fmt.Errorf("%w: term ended", ErrOutcomeUnknown)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.state.jobs[known.jobID]; ok {
		return Receipt{jobID: known.jobID}, nil
	}
	if s.phase == aborted || s.phase == closed {
		return Receipt{}, fmt.Errorf("%w: term ended", ErrOutcomeUnknown)
	}
	return Receipt{}, fmt.Errorf("%w: journal unavailable", ErrNotRun)
}

// awaitWrite waits for the result of a record's write on the channel written and returns
// it. If the context or the term ends first, it returns ErrOutcomeUnknown.
func (s *Scheduler) awaitWrite(ctx context.Context, written <-chan error) error {
	select {
	case err := <-written:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	case <-s.ended:
		select {
		case err := <-written:
			return err
		default:
			return fmt.Errorf("%w: term ended", ErrOutcomeUnknown)
		}
	}
}

// findJob returns a job of the shard. The caller holds s.mu. Errors: ErrNotFound,
// ErrNotOwner.
func (s *Scheduler) findJob(id string) (*job, error) {
	if err := s.checkServing(); err != nil {
		return nil, err
	}
	j, ok := s.state.jobs[id]
	if !ok {
		return nil, fmt.Errorf("%w: job %q in shard %s", ErrNotFound, id, s.shard)
	}
	return j, nil
}

// Cancel cancels a job: none of its tasks starts again, and those that run are stopped.
// It returns once the cancellation is persisted. Errors: ErrNotFound, ErrNotOwner,
// ErrOutcomeUnknown, ErrMoved, and ErrNotRun while the job moves.
func (s *Scheduler) Cancel(ctx context.Context, id string) error {
	s.mu.Lock()
	j, err := s.findJob(id)
	if err == nil {
		err = j.movedError()
	}
	if err != nil || j.withdrawn() || !j.endedAt.IsZero() {
		s.mu.Unlock()
		return err
	}
	j.cancelled = true
	for _, running := range s.placer.Cancel(id) {
		if l, ok := s.links[running.Worker()]; ok {
			index := running.Task().Index()
			s.stopRun(l, j, index, stopOrder(j, index))
		}
	}
	s.logger.Info("Job cancelled.", "shard", s.shard, "job", id, "running", j.begun)
	written := make(chan error, 1)
	s.recordWithdrawal(j, record{Kind: recordCancel, Job: id}, func(err error) { written <- callerError(err) })
	s.mu.Unlock()
	s.wake()
	return s.awaitWrite(ctx, written)
}

// Job returns the status of a job. Errors: ErrNotFound, ErrNotOwner.
func (s *Scheduler) Job(id string) (Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, err := s.findJob(id)
	if err != nil {
		return Status{}, err
	}
	return j.status(), nil
}

// List returns the jobs of a team with ids greater than after, in order of id, at most
// limit or ListLimit of them, whichever is less. An empty team means all teams. Errors:
// ErrNotOwner.
func (s *Scheduler) List(team, after string, limit int) ([]Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkServing(); err != nil {
		return nil, err
	}
	list := make([]Status, 0, min(limit, ListLimit))
	for id, j := range s.state.jobs {
		if (team == "" || j.spec.Team() == team) && id > after {
			list = append(list, j.status())
		}
	}
	slices.SortFunc(list, func(a, b Status) int { return strings.Compare(a.ID(), b.ID()) })
	return list[:max(0, min(limit, ListLimit, len(list)))], nil
}

// Wait returns the status of a job once it has ended or moved. Errors: ErrNotFound,
// ErrNotOwner, and that of the context if it ends before.
func (s *Scheduler) Wait(ctx context.Context, id string) (Status, error) {
	for {
		s.mu.Lock()
		j, err := s.findJob(id)
		if err != nil {
			s.mu.Unlock()
			return Status{}, err
		}
		if j.endPersisted() {
			defer s.mu.Unlock()
			return j.status(), nil
		}
		if j.ended == nil {
			j.ended = make(chan struct{})
		}
		ended := j.ended
		s.mu.Unlock()
		select {
		case <-ended:
		case <-ctx.Done():
			return Status{}, ctx.Err()
		case <-s.ended:
			return Status{}, fmt.Errorf("%w: term ended", ErrNotOwner)
		}
	}
}

// Explain returns a sentence that says what a job waits for. Errors: ErrNotFound,
// ErrNotOwner, ErrMoved.
func (s *Scheduler) Explain(id string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, err := s.findJob(id)
	switch {
	case err != nil:
		return "", err
	case j.moved:
		return "", j.movedError()
	case j.endPersisted():
		return "The job is " + j.state().String() + ".", nil
	case !j.endedAt.IsZero():
		return "The end of the job is being written to the journal.", nil
	case j.movedOrMoving():
		return "The job moves to shard " + j.target + ".", nil
	case s.draining && j.running == 0:
		return "The shard is drained; the job moves when another shard has room.", nil
	case s.awaitingFences && j.spec.Idempotent():
		return "The shard has a new owner, which reads back what its workers run.", nil
	case !j.spec.Idempotent() && s.outbox.down:
		return "The key-value service is down; a task that must not run twice waits for it.", nil
	}
	explanation := s.placer.Explain(id, time.Now())
	if j.running > 0 && !j.withdrawn() && explanation.Pending()+explanation.Delayed() == 0 {
		return j.explainRuns(), nil
	}
	return explanation.Reason(), nil
}
