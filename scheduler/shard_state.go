package scheduler

import (
	"time"

	"filberthaven.example/placer"
)

// shardState is the durable state of a shard, as rebuilt by replaying its journal.
type shardState struct {
	shard         string
	jobs          map[string]*job
	requests      map[requestKey]*request
	incarnations  map[incarnation]*incarnation
	cleanShutdown bool // the previous owner wrote all records before it stopped
}

// requestKey identifies a request: ids are unique within a team.
type requestKey struct{ team, id string }

// request is the use of a request id, either for a job or for a claim.
type request struct {
	jobID     string        // empty for a claim
	digest    uint64        // hash of the content
	holder    string        // claims only
	outcome   Outcome       // claims only
	revision  uint32        // rises with each claim and settlement
	changedAt time.Time     // time of the last change
	pending   chan struct{} // closed when the write of the first record completes; nil afterwards
}

func newShardState(shard string) *shardState {
	return &shardState{shard: shard, jobs: map[string]*job{}, requests: map[requestKey]*request{}, incarnations: map[incarnation]*incarnation{}}
}

// incarnation returns the incarnation of a worker; equal arguments give the same
// pointer.
func (s *shardState) incarnation(worker, id string) *incarnation {
	key := incarnation{worker, id}
	known, ok := s.incarnations[key]
	if !ok {
		known = &key
		s.incarnations[key] = known
	}
	return known
}

// apply updates the state from a record. Records may come in any order and more
// than once, except that the accept record of a job comes before its others.
func (s *shardState) apply(r record) {
	s.cleanShutdown = r.Kind == recordClose
	switch r.Kind {
	case recordAccept:
		s.applyAccept(r)
		return
	case recordClaim, recordSettle:
		s.applyClaim(r)
		return
	}
	j, ok := s.jobs[r.Job]
	if !ok {
		return
	}
	switch r.Kind {
	case recordStart:
		j.applyStart(r.Index, r.Attempt, s.incarnation(r.Worker, r.Incarnation))
	case recordBegun:
		j.applyBegun(r.Index, r.Attempt)
	case recordEnd:
		j.applyEnd(r.Index, r.Attempt, r.Result, r.Losses)
	case recordCancel:
		j.cancelled = true
	case recordExpire:
		j.expired = true
	case recordMoving, recordMoved:
		if r.Hop >= j.hop {
			j.hop, j.target, j.moved = r.Hop, r.Target, j.moved && r.Hop == j.hop || r.Kind == recordMoved
		}
	}
	j.finalize(timeOf(r.At))
}

// finalize sets the time at which the job ended, if it has ended.
func (j *job) finalize(now time.Time) {
	if j.endedAt.IsZero() && j.hasEnded() {
		j.endedAt = now
	}
}

// applyAccept adds a job, or replaces one that has come back from another shard.
func (s *shardState) applyAccept(r record) {
	if r.Spec == nil {
		return
	}
	if known, ok := s.jobs[r.Spec.ID]; ok && known.hop >= r.Hop {
		return
	}
	j := &job{spec: r.Spec.spec(), requestID: r.Request, digest: r.Digest, hop: r.Hop, cancelled: r.Cancelled, expired: r.Expired}
	for _, t := range r.Tasks {
		if t.Running {
			j.applyStart(t.Index, t.Attempt, s.incarnation(t.Worker, t.Incarnation))
			continue
		}
		j.applyEnd(t.Index, t.Attempt, t.Result, 0)
	}
	for index, losses := range r.TaskLosses {
		if t := j.task(index); t != nil {
			t.losses = losses
		}
	}
	j.hasBegun = r.Begun && j.running > 0
	s.jobs[r.Spec.ID] = j
	if r.Request != "" && ShardOf(r.Spec.ID) == s.shard {
		s.requests[requestKey{j.spec.Team(), r.Request}] = &request{jobID: r.Spec.ID, digest: r.Digest, changedAt: timeOf(r.At)}
	}
	if r.Target != "" {
		j.target, j.moved = r.Target, r.Kind == recordAccept && r.Result == resultDone
	}
	j.finalize(timeOf(r.At))
}

func (s *shardState) applyClaim(r record) {
	key := requestKey{r.Team, r.Request}
	known, ok := s.requests[key]
	if ok && known.revision >= r.Attempt {
		return
	}
	s.requests[key] = &request{digest: r.Digest, holder: r.Holder, outcome: Outcome(r.Result), revision: r.Attempt, changedAt: timeOf(r.At)}
}

// records calls f with each record of a snapshot of the state.
func (s *shardState) records(f func(record)) {
	for _, j := range s.jobs {
		f(j.record())
	}
	for key, q := range s.requests {
		if q.jobID == "" && q.pending == nil {
			f(q.record(key))
		}
	}
	if s.cleanShutdown {
		f(record{Kind: recordClose})
	}
}

// record returns an accept record of the job with the state of its tasks.
func (j *job) record() record {
	r := record{
		Kind: recordAccept, Spec: newSpecRecord(j.spec), Request: j.requestID, Digest: j.digest, Hop: j.hop,
		Cancelled: j.cancelled, Expired: j.expired, Target: j.target, At: millis(j.endedAt), Begun: j.hasBegun,
	}
	if j.moved {
		r.Result = resultDone
	}
	for i, t := range j.tasks {
		if t.attempt == 0 {
			continue
		}
		state := taskRecord{Index: i, Attempt: t.attempt, Running: t.running, Result: max(t.finalResult, resultRequeued)}
		if t.incarnation != nil {
			state.Worker, state.Incarnation = t.incarnation.worker, t.incarnation.id
		}
		r.Tasks = append(r.Tasks, state)
		if t.losses > 0 {
			if r.TaskLosses == nil {
				r.TaskLosses = map[int]uint8{}
			}
			r.TaskLosses[i] = t.losses
		}
	}
	return r
}

func (q *request) record(key requestKey) record {
	return record{
		Kind: recordClaim, Team: key.team, Request: key.id, Digest: q.digest, Holder: q.holder,
		Result: result(q.outcome), Attempt: q.revision, At: millis(q.changedAt),
	}
}

// prune removes the jobs that ended, and the claims that last changed, before a time.
// A job whose end is not persisted stays.
func (s *shardState) prune(before time.Time) {
	for id, j := range s.jobs {
		if j.endPersisted() && j.endedAt.Before(before) {
			delete(s.jobs, id)
			delete(s.requests, requestKey{j.spec.Team(), j.requestID})
		}
	}
	for key, q := range s.requests {
		if q.jobID == "" && q.pending == nil && q.changedAt.Before(before) {
			delete(s.requests, key)
		}
	}
}

// taskOf returns a job and its task. Both are nil when the job is unknown. The task is
// also nil when its index is out of range.
func (s *shardState) taskOf(id placer.TaskID) (*job, *task) {
	j, ok := s.jobs[id.Job()]
	if !ok {
		return nil, nil
	}
	return j, j.task(id.Index())
}
