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

// ListLimit is the most jobs that List returns.
const ListLimit = 1000

// outcomeOf returns the caller's error for an outcome of the journal.
func outcomeOf(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrJournalUnavailable):
		return fmt.Errorf("%w: %w", ErrNotRun, err)
	default:
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
}

// serves returns ErrNotOwner unless calls are served; the lock is held.
func (s *Scheduler) serves() error {
	if s.stage != serving {
		return fmt.Errorf("%w: shard %s, term %d", ErrNotOwner, s.shard, s.term)
	}
	return nil
}

// digestOf returns a hash of what a caller asks for.
func digestOf(spec placer.JobSpec) (uint64, error) {
	r := newSpecRecord(spec)
	r.ID, r.Submitted = "", 0
	if r.Name == spec.ID() {
		r.Name = ""
	}
	data, err := cbor.Marshal(r)
	return xxhash.Sum64(data), err
}

// Submit accepts a job: the journal holds it when Submit returns nil. The id of
// the spec is replaced. A request id that the team used before gives the first
// job, or ErrMismatch if the content differs. Errors: ErrNotRun, ErrUnknown,
// ErrNotOwner, ErrMismatch, ErrRefused.
func (s *Scheduler) Submit(ctx context.Context, spec placer.JobSpec, requestID string) (Receipt, error) {
	digest, err := digestOf(spec)
	if err != nil {
		return Receipt{}, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	key := requestKey{spec.Team(), requestID}
	s.mu.Lock()
	if err := s.serves(); err != nil {
		s.mu.Unlock()
		return Receipt{}, err
	}
	if known, ok := s.book.requests[key]; ok && requestID != "" {
		s.mu.Unlock()
		return s.repeat(ctx, key, known, digest)
	}
	j, err := s.admit(spec, requestID, digest)
	if err != nil {
		s.mu.Unlock()
		return Receipt{}, err
	}
	outcome := s.record(j, key)
	s.mu.Unlock()
	if err := s.await(ctx, outcome); err != nil {
		return Receipt{}, err
	}
	return Receipt{job: j.spec.ID(), first: true}, nil
}

// admit builds a job unless it can never run here.
func (s *Scheduler) admit(spec placer.JobSpec, requestID string, digest uint64) (*job, error) {
	s.counter++
	id := s.shard + "." + strconv.FormatUint(s.term, idBase) + "." + strconv.FormatUint(s.counter, idBase)
	spec = withIdentity(spec, id, time.Now())
	err := s.placer.Feasible(spec)
	if err != nil && (errors.Is(err, placer.ErrInvalidJob) || s.complete()) {
		s.logger.Info("Job refused.", "shard", s.shard, "team", spec.Team(), "reason", err)
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return &job{spec: spec, request: requestID, digest: digest}, nil
}

// complete reports whether all workers take tasks, so that a job which fits none
// never will.
func (s *Scheduler) complete() bool {
	for _, l := range s.links {
		if !l.fenced || l.suspended {
			return false
		}
	}
	return len(s.links) > 0 && !s.drained
}

// record writes a job to the journal; the channel gives the outcome, once.
func (s *Scheduler) record(j *job, key requestKey) <-chan error {
	outcome := make(chan error, 1)
	pending := make(chan struct{})
	if key.id != "" {
		s.book.requests[key] = &request{job: j.spec.ID(), digest: j.digest, pending: pending}
	}
	s.write(j.record(), false, func(err error) {
		close(pending)
		outcome <- outcomeOf(err)
		switch {
		case err == nil:
			s.insert(j, key)
		case errors.Is(err, ErrJournalUnavailable):
			delete(s.book.requests, key)
		}
	})
	return outcome
}

// insert puts a job that the journal holds into the queue.
func (s *Scheduler) insert(j *job, key requestKey) {
	s.book.jobs[j.spec.ID()] = j
	if key.id != "" {
		s.book.requests[key] = &request{job: j.spec.ID(), digest: j.digest, at: time.Now()}
	}
	if s.stage == serving {
		s.enter(j)
		s.logger.Info("Job accepted.", "shard", s.shard, "job", j.spec.ID(), "team", j.spec.Team(), "tasks", j.spec.Tasks())
	}
}

// repeat answers a request id that is known.
func (s *Scheduler) repeat(ctx context.Context, key requestKey, known *request, digest uint64) (Receipt, error) {
	if known.job == "" || known.digest != digest {
		return Receipt{}, fmt.Errorf("%w: %q of team %s", ErrRequestIDReused, key.id, key.team)
	}
	if known.pending != nil {
		select {
		case <-known.pending:
		case <-ctx.Done():
			return Receipt{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
		case <-s.over:
			return Receipt{}, fmt.Errorf("%w: term ended", ErrOutcomeUnknown)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.book.jobs[known.job]; ok {
		return Receipt{job: known.job}, nil
	}
	if s.stage == deposed || s.stage == closed {
		return Receipt{}, fmt.Errorf("%w: term ended", ErrOutcomeUnknown)
	}
	return Receipt{}, fmt.Errorf("%w: journal unavailable", ErrNotRun)
}

// await waits for the outcome of a record.
func (s *Scheduler) await(ctx context.Context, outcome <-chan error) error {
	select {
	case err := <-outcome:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, ctx.Err())
	case <-s.over:
		select {
		case err := <-outcome:
			return err
		default:
			return fmt.Errorf("%w: term ended", ErrOutcomeUnknown)
		}
	}
}

// find returns a job of the book, or ErrNotFound; the lock is held.
func (s *Scheduler) find(id string) (*job, error) {
	if err := s.serves(); err != nil {
		return nil, err
	}
	j, ok := s.book.jobs[id]
	if !ok {
		return nil, fmt.Errorf("%w: job %q in shard %s", ErrNotFound, id, s.shard)
	}
	return j, nil
}

// Cancel ends a job: nothing of it starts any more, and what runs is stopped. It
// returns once the journal holds that. Errors: ErrNotFound, ErrNotOwner,
// ErrUnknown, ErrMoved, ErrNotRun while the job moves.
func (s *Scheduler) Cancel(ctx context.Context, id string) error {
	s.mu.Lock()
	j, err := s.find(id)
	if err == nil {
		err = j.movedError()
	}
	if err != nil || j.withdrawn() || !j.over.IsZero() {
		s.mu.Unlock()
		return err
	}
	j.cancelled = true
	for _, running := range s.placer.Cancel(id) {
		if l, ok := s.links[running.Worker()]; ok {
			index := running.Task().Index()
			s.stop(l, j, index, stopOrder(j, index))
		}
	}
	s.logger.Info("Job cancelled.", "shard", s.shard, "job", id, "running", j.running)
	outcome := make(chan error, 1)
	s.settleWithdrawn(j, record{Kind: recordCancel, Job: id}, func(err error) { outcome <- outcomeOf(err) })
	s.mu.Unlock()
	s.kick()
	return s.await(ctx, outcome)
}

// Job returns the status of a job. Errors: ErrNotFound, ErrNotOwner.
func (s *Scheduler) Job(id string) (Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, err := s.find(id)
	if err != nil {
		return Status{}, err
	}
	return j.status(), nil
}

// List returns a team's jobs in order of id that follow after, at most limit of
// them and ListLimit. An empty team means all. Errors: ErrNotOwner.
func (s *Scheduler) List(team, after string, limit int) ([]Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.serves(); err != nil {
		return nil, err
	}
	list := make([]Status, 0, min(limit, ListLimit))
	for id, j := range s.book.jobs {
		if (team == "" || j.spec.Team() == team) && id > after {
			list = append(list, j.status())
		}
	}
	slices.SortFunc(list, func(a, b Status) int { return strings.Compare(a.ID(), b.ID()) })
	return list[:max(0, min(limit, ListLimit, len(list)))], nil
}

// Wait returns the status of a job once it has ended or moved, or with the
// context's error before. Errors: ErrNotFound, ErrNotOwner.
func (s *Scheduler) Wait(ctx context.Context, id string) (Status, error) {
	for {
		s.mu.Lock()
		j, err := s.find(id)
		if err != nil {
			s.mu.Unlock()
			return Status{}, err
		}
		if j.recorded() {
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
		case <-s.over:
			return Status{}, fmt.Errorf("%w: term ended", ErrNotOwner)
		}
	}
}

// Explain tells in a sentence what a job waits for. Errors: ErrNotFound,
// ErrNotOwner, ErrMoved.
func (s *Scheduler) Explain(id string) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, err := s.find(id)
	switch {
	case err != nil:
		return "", err
	case j.moved:
		return "", j.movedError()
	case j.recorded():
		return "The job is " + j.state().String() + ".", nil
	case j.gone():
		return "The job moves to shard " + j.target + ".", nil
	case s.drained && j.running == 0:
		return "The shard is drained; the job moves when another shard has room.", nil
	case s.holding && j.spec.Idempotent():
		return "The shard has a new owner, which reads back what its workers run.", nil
	case !j.spec.Idempotent() && s.outbox.down:
		return "The key-value service is down; a task that must not run twice waits for it.", nil
	}
	return s.placer.Explain(id, time.Now()).Reason(), nil
}
