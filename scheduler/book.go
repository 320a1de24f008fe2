package scheduler

import (
	"time"

	"filberthaven.example/placer"
)

// book is the durable state of a shard: what replay of its records gives.
type book struct {
	shard    string
	jobs     map[string]*job
	requests map[requestKey]*request
	places   map[place]*place
	closed   bool // the last owner stopped in order
}

// requestKey is a request id of a team.
type requestKey struct{ team, id string }

// request is a known request id: of a job or of a claim.
type request struct {
	job     string // "" for a claim
	digest  uint64
	holder  string        // of a claim
	outcome Outcome       // of a claim
	number  uint32        // rises with each claim and settlement
	at      time.Time     // of the last change
	pending chan struct{} // closed when the first record has an outcome; nil after
}

func newBook(shard string) *book {
	return &book{shard: shard, jobs: map[string]*job{}, requests: map[requestKey]*request{}, places: map[place]*place{}}
}

// place returns the shared value of a worker's incarnation.
func (b *book) place(worker, incarnation string) *place {
	key := place{worker, incarnation}
	known, ok := b.places[key]
	if !ok {
		known = &key
		b.places[key] = known
	}
	return known
}

// apply brings the state up to date with a record. It takes records in any
// order and more than once, but for an accept, which comes first.
func (b *book) apply(r record) {
	b.closed = r.Kind == recordClose
	switch r.Kind {
	case recordAccept:
		b.accept(r)
		return
	case recordClaim, recordSettle:
		b.claim(r)
		return
	}
	j, ok := b.jobs[r.Job]
	if !ok {
		return
	}
	switch r.Kind {
	case recordStart:
		j.start(r.Index, r.Attempt, b.place(r.Worker, r.Incarnation))
	case recordEnd:
		j.end(r.Index, r.Attempt, r.Result)
	case recordCancel:
		j.cancelled = true
	case recordExpire:
		j.expired = true
	case recordMoving, recordMoved:
		if r.Hop >= j.hop {
			j.hop, j.target, j.moved = r.Hop, r.Target, j.moved && r.Hop == j.hop || r.Kind == recordMoved
		}
	}
	j.settle(timeOf(r.At))
}

// settle notes when the job ended.
func (j *job) settle(now time.Time) {
	if j.over.IsZero() && j.isOver() {
		j.over = now
	}
}

// accept puts a job in, or again after it has come back from another shard.
func (b *book) accept(r record) {
	if r.Spec == nil {
		return
	}
	if known, ok := b.jobs[r.Spec.ID]; ok && known.hop >= r.Hop {
		return
	}
	j := &job{spec: r.Spec.spec(), request: r.Request, digest: r.Digest, hop: r.Hop, cancelled: r.Cancelled, expired: r.Expired}
	for _, t := range r.Tasks {
		if t.Running {
			j.start(t.Index, t.Attempt, b.place(t.Worker, t.Incarnation))
			continue
		}
		j.end(t.Index, t.Attempt, t.Result)
	}
	b.jobs[r.Spec.ID] = j
	if r.Request != "" && ShardOf(r.Spec.ID) == b.shard {
		b.requests[requestKey{j.spec.Team(), r.Request}] = &request{job: r.Spec.ID, digest: r.Digest, at: timeOf(r.At)}
	}
	if r.Target != "" {
		j.target, j.moved = r.Target, r.Kind == recordAccept && r.Result == resultDone
	}
	j.settle(timeOf(r.At))
}

func (b *book) claim(r record) {
	key := requestKey{r.Team, r.Request}
	known, ok := b.requests[key]
	if ok && known.number >= r.Attempt {
		return
	}
	b.requests[key] = &request{digest: r.Digest, holder: r.Holder, outcome: Outcome(r.Result), number: r.Attempt, at: timeOf(r.At)}
}

// records returns the state as records, for a snapshot.
func (b *book) records(f func(record)) {
	for _, j := range b.jobs {
		f(j.record())
	}
	for key, q := range b.requests {
		if q.job == "" && q.pending == nil {
			f(q.record(key))
		}
	}
	if b.closed {
		f(record{Kind: recordClose})
	}
}

// record returns the job with the state of its tasks.
func (j *job) record() record {
	r := record{
		Kind: recordAccept, Spec: newSpecRecord(j.spec), Request: j.request, Digest: j.digest, Hop: j.hop,
		Cancelled: j.cancelled, Expired: j.expired, Target: j.target, At: millis(j.over),
	}
	if j.moved {
		r.Result = resultDone
	}
	for i, t := range j.tasks {
		if t.attempt == 0 {
			continue
		}
		state := taskRecord{Index: i, Attempt: t.attempt, Running: t.running, Result: max(t.final, resultAgain)}
		if t.place != nil {
			state.Worker, state.Incarnation = t.place.worker, t.place.incarnation
		}
		r.Tasks = append(r.Tasks, state)
	}
	return r
}

func (q *request) record(key requestKey) record {
	return record{
		Kind: recordClaim, Team: key.team, Request: key.id, Digest: q.digest, Holder: q.holder,
		Result: result(q.outcome), Attempt: q.number, At: millis(q.at),
	}
}

// trim forgets what ended before a time.
func (b *book) trim(before time.Time) {
	for id, j := range b.jobs {
		if j.recorded() && j.over.Before(before) {
			delete(b.jobs, id)
			delete(b.requests, requestKey{j.spec.Team(), j.request})
		}
	}
	for key, q := range b.requests {
		if q.job == "" && q.pending == nil && q.at.Before(before) {
			delete(b.requests, key)
		}
	}
}

// taskOf returns a job and its task, or nil when the book lacks it.
func (b *book) taskOf(id placer.TaskID) (*job, *task) {
	j, ok := b.jobs[id.Job()]
	if !ok {
		return nil, nil
	}
	return j, j.task(id.Index())
}
