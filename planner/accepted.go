package planner

import "time"

// AcceptedQueue is what the journal keeps of the queue in which a job was accepted, for an
// owner whose configuration has the queue no more. The job still runs.
type AcceptedQueue struct {
	Service   string  `cbor:"1,keyasint"`
	Priority  int     `cbor:"2,keyasint,omitempty"`
	Attempts  int     `cbor:"3,keyasint,omitempty"`
	Stretch   float64 `cbor:"4,keyasint,omitempty"`
	Objective int64   `cbor:"5,keyasint,omitempty"` // ms

	Advice    bool  `cbor:"6,keyasint,omitempty"` // the steps need advice
	Base      int64 `cbor:"7,keyasint,omitempty"` // µs, as in AdviceCost
	PerWorker int64 `cbor:"8,keyasint,omitempty"` // µs
	Validity  int64 `cbor:"9,keyasint,omitempty"` // ms
}

// AcceptIn notes the queue in which the job is accepted.
func (s *JobSpec) AcceptIn(q Queue) {
	s.Queue, s.Host, s.Prefix = q.Name, q.Host, q.Prefix
	s.Accepted = &AcceptedQueue{Service: q.Service, Priority: q.Priority, Attempts: q.Attempts, Stretch: q.Stretch, Objective: q.Objective.Milliseconds()}
	if a := q.AdviceCost; a != nil {
		s.Accepted.Advice = true
		s.Accepted.Base, s.Accepted.PerWorker, s.Accepted.Validity = a.Base.Microseconds(), a.PerWorker.Microseconds(), a.TicketValidity.Milliseconds()
	}
}

// acceptedQueue returns the queue in which the job was accepted, and whether the journal has it.
// It has no name: callers find its jobs in any queue.
func (s *JobSpec) acceptedQueue() (Queue, bool) {
	a := s.Accepted
	if a == nil {
		return Queue{}, false
	}
	q := Queue{
		Host: s.Host, Prefix: s.Prefix, Service: a.Service, Priority: a.Priority, Attempts: a.Attempts, Stretch: a.Stretch,
		Objective: time.Duration(a.Objective) * time.Millisecond,
	}
	if a.Advice {
		q.AdviceCost = &AdviceCost{
			Base: time.Duration(a.Base) * time.Microsecond, PerWorker: time.Duration(a.PerWorker) * time.Microsecond,
			TicketValidity: time.Duration(a.Validity) * time.Millisecond,
		}
	}
	return q, true
}
