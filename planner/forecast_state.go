package planner

import (
	"time"

	"filberthaven.example/estimator"
)

// storedSiblings are the finished tasks of a step with known run times.
type storedSiblings struct {
	Occurrence int   `cbor:"1,keyasint,omitempty"` // index of the occurrence
	Step       int   `cbor:"2,keyasint,omitempty"`
	Finished   int   `cbor:"3,keyasint"`
	Mean       int64 `cbor:"4,keyasint"` // of the run times, in ms
}

// storeRunTimes adds the learned run times to a snapshot.
func (p *Planner) storeRunTimes(s *snapshot) (err error) {
	if p.runTimes != nil {
		s.RunTimes, err = p.runTimes.Encode()
	}
	return err
}

// restoreRunTimes restores the learned run times from a snapshot. An earlier version, or an
// owner that does not learn, has stored none. What can't be decoded is learned anew, since the
// forecasts only speed up the work.
func (p *Planner) restoreRunTimes(s snapshot) {
	if p.runTimes == nil || len(s.RunTimes) == 0 {
		return
	}
	if restored, err := estimator.DecodeRunTimes(s.RunTimes); err == nil {
		p.runTimes = restored
	}
}

// storeSiblings appends the finished tasks of a step for a snapshot, unless all have finished.
func (s *step) storeSiblings(list []storedSiblings) []storedSiblings {
	if s.siblings.Finished() == 0 || s.doneTasks == len(s.tasks) {
		return list
	}
	return append(list, storedSiblings{s.occurrence.index, s.index, s.siblings.Finished(), s.siblings.Mean().Milliseconds()})
}

// restoreSiblings restores the finished tasks of the steps of a job.
func (j *job) restoreSiblings(list []storedSiblings) {
	for _, stored := range list {
		if s := j.step(stored.Occurrence, stored.Step); s != nil {
			s.siblings = estimator.NewSiblings(len(s.tasks), stored.Finished, time.Duration(stored.Mean)*time.Millisecond)
		}
	}
}

// LearnedRunTimes returns what is known of the run times of the queues, for logs and metrics.
func (p *Planner) LearnedRunTimes() []estimator.QueueSummary {
	if p.runTimes == nil {
		return nil
	}
	return p.runTimes.Summaries()
}
