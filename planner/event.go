package planner

// Event is what the journal may come to hold of a job.
type Event int

// Events of a job.
const (
	Submitted Event = iota
	Concluded
)

// occasion is an event of one job.
type occasion struct {
	id    string
	event Event
}

// Await has tell called once the journal holds an event of a job, or with the
// error of the submission.
func (p *Planner) Await(id string, event Event, tell func(error)) {
	key := occasion{id, event}
	p.awaited[key] = append(p.awaited[key], tell)
}

// TakeWaiters returns whom to tell of an event, once.
func (p *Planner) TakeWaiters(id string, event Event) []func(error) {
	key := occasion{id, event}
	waiting := p.awaited[key]
	delete(p.awaited, key)
	return waiting
}
