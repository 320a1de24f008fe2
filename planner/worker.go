package planner

import (
	"slices"
	"time"

	"filberthaven.example/placer"
)

// Registration is what a worker's entry in the platform's list says.
type Registration struct {
	ID          string
	Address     string
	Centre      string // data centre
	Service     string
	Draining    bool
	Incarnation int64 // Unix ms of its start; another value is another incarnation
	Capacity    placer.Resources
	Labels      []string // its kind and its rack
}

// equal reports whether both reports say the same.
func (r Registration) equal(o Registration) bool {
	return r.ID == o.ID && r.Address == o.Address && r.Centre == o.Centre && r.Service == o.Service &&
		r.Draining == o.Draining && r.Incarnation == o.Incarnation && r.Capacity == o.Capacity && slices.Equal(r.Labels, o.Labels)
}

// worker is one executor of tasks.
type worker struct {
	report  Registration
	listed  bool // whether the platform's list has it
	used    placer.Resources
	runs    map[runKey]*run
	seen    uint64        // number of the newest end processed, of this incarnation
	fenced  bool          // it has answered a call of this owner, or all older leases have lapsed
	lapses  time.Duration // when the newest lease given out has surely lapsed
	tried   bool          // a call of this owner was answered or remained without an answer
	silent  int           // calls in a row without an answer
	health  health
	reserve *step // a gang that gathers room here in this round, else nil
}

// runKey names a run on a worker.
type runKey struct {
	task   string
	number int
}

// open reports whether tasks may start on the worker, as far as itself goes.
func (w *worker) open(now time.Duration) bool {
	return w.listed && w.fenced && !w.report.Draining && w.silent < maxSilent && w.health.open(now)
}

// maxSilent is the number of unanswered calls in a row after which nothing
// starts on a worker until it answers: what is sent into a partition is late.
const maxSilent = 1

// free returns the capacity that nothing is charged for.
func (w *worker) free() placer.Resources { return w.report.Capacity.Sub(w.used) }

// has reports whether the worker carries the label.
func (w *worker) has(label string) bool { return slices.Contains(w.report.Labels, label) }

// charge books a run.
func (w *worker) charge(r *run) {
	w.runs[r.key()] = r
	w.used = w.used.Add(r.size)
}

// release takes a run off the books.
func (w *worker) release(r *run) {
	if _, known := w.runs[r.key()]; !known {
		return
	}
	delete(w.runs, r.key())
	w.used = w.used.Sub(r.size)
}

// health tells workers that fail what they start from tasks that fail by
// themselves: failures of several steps in a row, none of which fails elsewhere.
type health struct {
	failures int           // in a row
	until    time.Duration // closed until then
}

const (
	// failureLimit is the number of failed runs in a row that close a worker; a
	// sound one reaches it once in some 10,000 runs at an error share of 5%.
	failureLimit = 3
	// closedFor is how long a worker stays closed before one more run is tried.
	closedFor = 3 * time.Second
)

func (h *health) open(now time.Duration) bool { return now >= h.until }

func (h *health) succeeded() { h.failures = 0 }

func (h *health) failed(now time.Duration) {
	h.failures++
	if h.failures >= failureLimit {
		h.until = now + closedFor
	}
}
