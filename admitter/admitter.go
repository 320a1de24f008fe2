package admitter

import (
	"container/list"
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Defaults of the bounds.
const (
	// DefaultLimit is the number of requests that run at once.
	DefaultLimit = 256
	// DefaultQueueLength is the number of requests that wait.
	DefaultQueueLength = 512
	// DefaultMaxWait is the longest wait that is estimated for an admitted request.
	DefaultMaxWait = time.Second
	// timeWeight is the weight of a new run time in the moving average.
	timeWeight = 0.05
	// retryBase is the least time that a refused caller is told to wait.
	retryBase = time.Second
)

// Admitter bounds the urgent requests that run and wait on one entry VM. When
// more come than can run, it refuses on arrival those that would wait too long,
// and divides what runs between teams by their shares.
type Admitter struct {
	limit     func() int                // requests that may run at once
	teamLimit func(team string) int     // requests of a team at once; negative: no limit
	share     func(team string) float64 // weight of a team, above 0
	queue     int                       // requests that may wait
	wait      time.Duration             // longest estimated wait
	now       func() time.Time

	mu      sync.Mutex
	running int
	waiting int
	teams   map[string]*team // those with requests that run or wait
	clock   float64          // virtual time of the last start; never falls
	runTime float64          // seconds, moving average; 0: none known
}

// team is one team's requests.
type team struct {
	name    string
	running int
	waiters list.List // of *waiter, first come first
	start   float64   // virtual time of its next start
}

// waiter is one request that waits.
type waiter struct {
	team     *team
	deadline time.Time     // zero: none
	answer   chan error    // holds one element: nil lets the request run
	element  *list.Element // in the team's list; nil when answered
}

// Option changes an Admitter under construction.
type Option func(*Admitter)

// WithLimit sets the number of requests that may run at once; it may change and
// has to be cheap.
func WithLimit(f func() int) Option { return func(a *Admitter) { a.limit = f } }

// WithTeamLimit sets the number of requests of a team that may run and wait at
// once, negative for no limit.
func WithTeamLimit(f func(team string) int) Option { return func(a *Admitter) { a.teamLimit = f } }

// WithWeight sets the weight of a team, above 0.
func WithWeight(f func(team string) float64) Option { return func(a *Admitter) { a.share = f } }

// WithQueue sets the number of requests that may wait, and the longest wait
// that is estimated for one that is let in.
func WithQueue(length int, wait time.Duration) Option {
	return func(a *Admitter) {
		a.queue = length
		a.wait = wait
	}
}

// WithClock sets the clock.
func WithClock(now func() time.Time) Option { return func(a *Admitter) { a.now = now } }

// New returns an Admitter changed by the options.
func New(options ...Option) (*Admitter, error) {
	a := &Admitter{
		limit:     func() int { return DefaultLimit },
		teamLimit: func(string) int { return -1 },
		share:     func(string) float64 { return 1 },
		queue:     DefaultQueueLength,
		wait:      DefaultMaxWait,
		now:       time.Now,
		teams:     map[string]*team{},
	}
	for _, option := range options {
		option(a)
	}
	return a, nil
}

// Admit returns when the request may run; done is then called once at its end.
// Otherwise it returns a *RefusalError, or the error of ctx; the request has
// not run then.
func (a *Admitter) Admit(ctx context.Context, name string) (done func(), err error) {
	a.mu.Lock()
	t := a.teamOf(name)
	if err := a.checkTeam(t); err != nil {
		a.forget(t)
		a.mu.Unlock()
		return nil, err
	}
	if a.waiting == 0 && a.running < a.limit() {
		a.begin(t)
		a.mu.Unlock()
		return a.done(t), nil
	}
	w, err := a.enqueue(ctx, t)
	a.forget(t)
	a.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return a.await(ctx, w)
}

// await returns when the request may run, is refused or ctx is done.
func (a *Admitter) await(ctx context.Context, w *waiter) (func(), error) {
	select {
	case err := <-w.answer:
		if err != nil {
			return nil, err
		}
		return a.done(w.team), nil
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.element != nil {
		a.remove(w)
		a.forget(w.team)
		return nil, ctx.Err()
	}
	if err := <-w.answer; err != nil {
		return nil, err
	}
	a.end(w.team)
	return nil, ctx.Err()
}

// teamOf returns a team's state, new on first use. The lock is held.
func (a *Admitter) teamOf(name string) *team {
	t, ok := a.teams[name]
	if !ok {
		t = &team{name: name, start: a.clock}
		a.teams[name] = t
	}
	return t
}

// forget drops a team without requests. The lock is held.
func (a *Admitter) forget(t *team) {
	if t.running == 0 && t.waiters.Len() == 0 {
		delete(a.teams, t.name)
	}
}

// checkTeam refuses a team at its limit. The lock is held.
func (a *Admitter) checkTeam(t *team) error {
	limit := a.teamLimit(t.name)
	if limit < 0 || t.running+t.waiters.Len() < limit {
		return nil
	}
	return NewRefusal(TeamLimit, "limit", "the team has as many requests in flight as its limit allows", retryAfter(0))
}

// enqueue lets the request wait, or refuses it when the wait would be too long
// or the queue is full of teams with no more than their part. The lock is held.
func (a *Admitter) enqueue(ctx context.Context, t *team) (*waiter, error) {
	estimate := a.estimate(t)
	bound := a.wait
	deadline, bounded := ctx.Deadline()
	if bounded {
		bound = min(bound, deadline.Sub(a.now()))
	}
	if estimate > bound {
		return nil, NewRefusal(Overload, "overload", "the wait would be too long", retryAfter(estimate))
	}
	if a.waiting >= a.queue && !a.displace(t) {
		return nil, NewRefusal(Overload, "overload", "too many requests wait", retryAfter(estimate))
	}
	w := &waiter{team: t, answer: make(chan error, 1)}
	if bounded {
		w.deadline = deadline
	}
	if t.waiters.Len() == 0 {
		t.start = max(t.start, a.clock)
	}
	w.element = t.waiters.PushBack(w)
	a.waiting++
	return w, nil
}

// estimate returns how long a further request of the team would wait: those of
// the team before it, at the team's part of the rate. The lock is held.
func (a *Admitter) estimate(t *team) time.Duration {
	total := a.share(t.name)
	for _, other := range a.teams {
		if other != t && other.waiters.Len() > 0 {
			total += a.share(other.name)
		}
	}
	rate := float64(max(a.limit(), 1)) * a.share(t.name) / total
	return time.Duration(float64(t.waiters.Len()+1) * a.runTime / rate * float64(time.Second))
}

// displace refuses the last request of the team that has most waiting for its
// share, if that is another team with more than t would have. The lock is held.
func (a *Admitter) displace(t *team) bool {
	var most *team
	bound := float64(t.waiters.Len()+1) / a.share(t.name)
	for _, other := range a.teams {
		if part := float64(other.waiters.Len()) / a.share(other.name); other != t && part > bound {
			most, bound = other, part
		}
	}
	if most == nil {
		return false
	}
	w := most.waiters.Back().Value.(*waiter)
	a.remove(w)
	a.forget(most)
	w.answer <- NewRefusal(Overload, "overload", "other teams are entitled to the room", retryAfter(0))
	return true
}

// remove takes a request out of the queue. The lock is held.
func (a *Admitter) remove(w *waiter) {
	w.team.waiters.Remove(w.element)
	w.element = nil
	a.waiting--
}

// begin counts a request as running. The lock is held.
func (a *Admitter) begin(t *team) {
	a.running++
	t.running++
	a.clock = max(a.clock, t.start)
	t.start = max(t.start, a.clock) + 1/a.share(t.name)
}

// end counts a request as ended and starts others. The lock is held.
func (a *Admitter) end(t *team) {
	a.running--
	t.running--
	a.dispatch()
	a.forget(t)
}

// done returns the function that ends a running request.
func (a *Admitter) done(t *team) func() {
	began := a.now()
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.learn(a.now().Sub(began).Seconds())
		a.end(t)
	}
}

// learn takes a run time over. The lock is held.
func (a *Admitter) learn(seconds float64) {
	if a.runTime == 0 {
		a.runTime = seconds
		return
	}
	a.runTime += timeWeight * (seconds - a.runTime)
}

// dispatch starts requests while there is room, the team with the earliest virtual
// start first. Those that can't meet their deadline any more are refused. The
// lock is held.
func (a *Admitter) dispatch() {
	limit := a.limit()
	for a.waiting > 0 && a.running < limit {
		t := a.nextTeam()
		w := t.waiters.Front().Value.(*waiter)
		a.remove(w)
		if !w.deadline.IsZero() && !a.now().Before(w.deadline) {
			w.answer <- NewRefusal(Overload, "overload", "the deadline passed before there was room", retryAfter(0))
			a.forget(t)
			continue
		}
		a.begin(t)
		w.answer <- nil
	}
}

// nextTeam returns the waiting team with the earliest virtual start, by name
// among equals. The lock is held, and there is one.
func (a *Admitter) nextTeam() *team {
	var next *team
	for _, t := range a.teams {
		if t.waiters.Len() == 0 {
			continue
		}
		if next == nil || t.start < next.start || t.start == next.start && t.name < next.name {
			next = t
		}
	}
	return next
}

// Load returns how many requests run and wait.
func (a *Admitter) Load() (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running, a.waiting
}

// InFlight returns the number of requests that run, by team.
func (a *Admitter) InFlight() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	flight := make(map[string]int, len(a.teams))
	for name, t := range a.teams {
		if t.running > 0 {
			flight[name] = t.running
		}
	}
	return flight
}

// retryAfter returns a time to wait that is spread, so that refused callers
// don't come back together.
func retryAfter(estimate time.Duration) time.Duration {
	base := max(estimate, retryBase)
	return base + time.Duration(rand.Int64N(int64(base))) //nolint:gosec // Spreading needs no secrecy.
}
