package planner

// Event is a step in the life of a job that callers may wait for.
type Event int

// Events of a job.
const (
	JobStored    Event = iota // the journal holds the job
	JobEndStored              // the journal holds the end of the job
)

// waiterKey identifies an event of one job.
type waiterKey struct {
	id    string
	event Event
}

// Await registers notify for an event of a job; see TakeWaiters.
func (p *Planner) Await(id string, event Event, notify func(error)) {
	key := waiterKey{id, event}
	p.waiters[key] = append(p.waiters[key], notify)
}

// TakeWaiters returns and removes the functions registered for an event of a job.
// The caller calls each with nil once the journal holds the event, or with the
// error if the job could not be stored.
func (p *Planner) TakeWaiters(id string, event Event) []func(error) {
	key := waiterKey{id, event}
	waiting := p.waiters[key]
	delete(p.waiters, key)
	return waiting
}
