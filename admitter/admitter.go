package admitter

import (
	"container/list"
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Defaults of an Admitter.
const (
	// DefaultLimit is the largest number of requests that run at once.
	DefaultLimit = 256
	// DefaultQueueLength is the largest number of requests that wait.
	DefaultQueueLength = 512
	// DefaultMaxWait is the longest estimated wait of a queued request. A request that
	// would wait longer is refused.
	DefaultMaxWait = time.Second
	// runTimeSmoothing is the weight of a new value in the moving average of run
	// times.
	runTimeSmoothing = 0.05
	// minRetryAfter is the shortest delay after which a refused caller may retry.
	minRetryAfter = time.Second
)

// Admitter limits the urgent requests that run and wait on one entry VM. Under
// overload it refuses requests on arrival if their wait would be too long, and
// shares the capacity between teams by weighted fair queueing.
type Admitter struct {
	limit      func() int                // requests that may run at once; called with mu held
	teamLimit  func(team string) int     // requests of a team that may run and wait; negative: no limit
	weight     func(team string) float64 // share of a team in the capacity, relative to other teams; above 0
	maxWaiting int                       // requests that may wait
	maxWait    time.Duration             // longest estimated wait of a queued request
	now        func() time.Time

	mu          sync.Mutex
	running     int
	waiting     int
	teams       map[string]*team // only teams with requests that run or wait
	virtualTime float64          // largest virtual start so far; never decreases
	runTime     float64          // moving average in seconds; 0: no request has ended yet
}

// team holds the requests of one team.
type team struct {
	name      string
	running   int
	waiters   list.List // of *waiter, in order of arrival
	nextStart float64   // virtual time of the team's next start
}

// waiter is a queued request.
type waiter struct {
	team     *team
	deadline time.Time     // zero: none
	result   chan error    // buffered, gets one value: nil admits the request
	element  *list.Element // in the team's list; nil once removed from it
}

// Option configures an Admitter.
type Option func(*Admitter)

// WithLimit sets the function that returns how many requests may run at once.
// The limit may change over time. The function is called with a lock held and must
// be cheap.
func WithLimit(f func() int) Option { return func(a *Admitter) { a.limit = f } }

// WithTeamLimit sets the function that returns how many requests of a team may
// run and wait at once; negative means no limit.
func WithTeamLimit(f func(team string) int) Option { return func(a *Admitter) { a.teamLimit = f } }

// WithWeight sets the function that returns the weight of a team, which must be
// above 0.
func WithWeight(f func(team string) float64) Option { return func(a *Admitter) { a.weight = f } }

// WithQueue sets how many requests may wait, and the longest estimated wait of a queued
// request. A request that would wait longer is refused.
func WithQueue(length int, wait time.Duration) Option {
	return func(a *Admitter) {
		a.maxWaiting = length
		a.maxWait = wait
	}
}

// WithClock sets the function that returns the current time.
func WithClock(now func() time.Time) Option { return func(a *Admitter) { a.now = now } }

// New returns an Admitter with the options applied.
func New(options ...Option) (*Admitter, error) {
	a := &Admitter{
		limit:      func() int { return DefaultLimit },
		teamLimit:  func(string) int { return -1 },
		weight:     func(string) float64 { return 1 },
		maxWaiting: DefaultQueueLength,
		maxWait:    DefaultMaxWait,
		now:        time.Now,
		teams:      map[string]*team{},
	}
	for _, option := range options {
		option(a)
	}
	return a, nil
}

// Admit waits until a request of the named team may run. The caller must call
// done once when the request ends. If the request is refused, Admit returns a
// *RefusalError; if ctx is done first, the error of ctx.
func (a *Admitter) Admit(ctx context.Context, name string) (done func(), err error) {
	a.mu.Lock()
	t := a.teamOf(name)
	if err := a.checkTeam(t); err != nil {
		a.dropIfIdle(t)
		a.mu.Unlock()
		return nil, err
	}
	if a.waiting == 0 && a.running < a.limit() {
		a.start(t)
		a.mu.Unlock()
		return a.done(t), nil
	}
	w, err := a.enqueue(ctx, t)
	a.dropIfIdle(t)
	a.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return a.await(ctx, w)
}

// await waits until the queued request is admitted or refused, or ctx is done.
func (a *Admitter) await(ctx context.Context, w *waiter) (func(), error) {
	select {
	case err := <-w.result:
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
		a.dropIfIdle(w.team)
		return nil, ctx.Err()
	}
	if err := <-w.result; err != nil {
		return nil, err
	}
	a.finish(w.team)
	return nil, ctx.Err()
}

// teamOf returns the named team, and adds it if it had no requests. The caller
// holds the lock.
func (a *Admitter) teamOf(name string) *team {
	t, ok := a.teams[name]
	if !ok {
		t = &team{name: name, nextStart: a.virtualTime}
		a.teams[name] = t
	}
	return t
}

// dropIfIdle removes a team without requests. The caller holds the lock.
func (a *Admitter) dropIfIdle(t *team) {
	if t.running == 0 && t.waiters.Len() == 0 {
		delete(a.teams, t.name)
	}
}

// checkTeam returns a *RefusalError if the team is at its limit. The caller holds
// the lock.
func (a *Admitter) checkTeam(t *team) error {
	limit := a.teamLimit(t.name)
	if limit < 0 || t.running+t.waiters.Len() < limit {
		return nil
	}
	return NewRefusal(TeamLimit, "limit", "the team has as many requests in flight as its limit allows", retryAfter(0))
}

// enqueue queues a request. It refuses the request if the estimated wait exceeds
// maxWait or the time left until the deadline of ctx, or if the queue is full and
// displaceFor frees no place. The caller holds the lock.
func (a *Admitter) enqueue(ctx context.Context, t *team) (*waiter, error) {
	estimate := a.estimate(t)
	bound := a.maxWait
	deadline, bounded := ctx.Deadline()
	if bounded {
		bound = min(bound, deadline.Sub(a.now()))
	}
	if estimate > bound {
		return nil, NewRefusal(Overload, "overload", "the wait would be too long", retryAfter(estimate))
	}
	if a.waiting >= a.maxWaiting && !a.displaceFor(t) {
		return nil, NewRefusal(Overload, "overload", "too many requests wait", retryAfter(estimate))
	}
	w := &waiter{team: t, result: make(chan error, 1)}
	if bounded {
		w.deadline = deadline
	}
	if t.waiters.Len() == 0 {
		t.nextStart = max(t.nextStart, a.virtualTime)
	}
	w.element = t.waiters.PushBack(w)
	a.waiting++
	return w, nil
}

// estimate returns how long a new request of the team would wait. It assumes that
// each team with waiting requests is served at its share of the total rate. The
// caller holds the lock.
func (a *Admitter) estimate(t *team) time.Duration {
	total := a.weight(t.name)
	for _, other := range a.teams {
		if other != t && other.waiters.Len() > 0 {
			total += a.weight(other.name)
		}
	}
	rate := float64(max(a.limit(), 1)) * a.weight(t.name) / total
	return time.Duration(float64(t.waiters.Len()+1) * a.runTime / rate * float64(time.Second))
}

// displaceFor makes a place in the full queue for a request of t. It refuses the
// newest waiting request of the team with the most waiting requests relative to
// its weight. It returns false if no other team has, relative to its weight, more
// waiting requests than t would have with the new one. The caller holds the lock.
func (a *Admitter) displaceFor(t *team) bool {
	var largest *team
	bound := float64(t.waiters.Len()+1) / a.weight(t.name)
	for _, other := range a.teams {
		if backlog := float64(other.waiters.Len()) / a.weight(other.name); other != t && backlog > bound {
			largest, bound = other, backlog
		}
	}
	if largest == nil {
		return false
	}
	w := largest.waiters.Back().Value.(*waiter)
	a.remove(w)
	a.dropIfIdle(largest)
	w.result <- NewRefusal(Overload, "overload", "other teams are entitled to the room", retryAfter(0))
	return true
}

// remove takes a request out of the queue. The caller holds the lock.
func (a *Admitter) remove(w *waiter) {
	w.team.waiters.Remove(w.element)
	w.element = nil
	a.waiting--
}

// start counts a request of the team as running. The caller holds the lock.
func (a *Admitter) start(t *team) {
	a.running++
	t.running++
	a.virtualTime = max(a.virtualTime, t.nextStart)
	t.nextStart = max(t.nextStart, a.virtualTime) + 1/a.weight(t.name)
}

// finish counts a request of the team as ended and starts waiting requests. The
// caller holds the lock.
func (a *Admitter) finish(t *team) {
	a.running--
	t.running--
	a.startWaiting()
	a.dropIfIdle(t)
}

// done returns the function that the caller of Admit calls when its request ends.
func (a *Admitter) done(t *team) func() {
	started := a.now()
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.observeRunTime(a.now().Sub(started).Seconds())
		a.finish(t)
	}
}

// observeRunTime adds a run time to the moving average. The caller holds the lock.
func (a *Admitter) observeRunTime(seconds float64) {
	if a.runTime == 0 {
		a.runTime = seconds
		return
	}
	a.runTime += runTimeSmoothing * (seconds - a.runTime)
}

// startWaiting starts waiting requests up to the limit, in the order of nextTeam.
// It refuses those whose deadline has passed. The caller holds the lock.
func (a *Admitter) startWaiting() {
	limit := a.limit()
	for a.waiting > 0 && a.running < limit {
		t := a.nextTeam()
		w := t.waiters.Front().Value.(*waiter)
		a.remove(w)
		if !w.deadline.IsZero() && !a.now().Before(w.deadline) {
			w.result <- NewRefusal(Overload, "overload", "the deadline passed before there was room", retryAfter(0))
			a.dropIfIdle(t)
			continue
		}
		a.start(t)
		w.result <- nil
	}
}

// nextTeam returns the team with waiting requests whose next virtual start is the
// earliest; the name breaks ties. The caller holds the lock, and at least one
// request waits.
func (a *Admitter) nextTeam() *team {
	var next *team
	for _, t := range a.teams {
		if t.waiters.Len() == 0 {
			continue
		}
		if next == nil || t.nextStart < next.nextStart || t.nextStart == next.nextStart && t.name < next.name {
			next = t
		}
	}
	return next
}

// Load returns the number of running and of waiting requests.
func (a *Admitter) Load() (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running, a.waiting
}

// RunningByTeam returns the number of running requests of each team that has any.
func (a *Admitter) RunningByTeam() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	running := make(map[string]int, len(a.teams))
	for name, t := range a.teams {
		if t.running > 0 {
			running[name] = t.running
		}
	}
	return running
}

// retryAfter returns a randomized delay, at least the estimated wait and
// minRetryAfter, so that refused callers don't all retry at the same time.
func retryAfter(estimate time.Duration) time.Duration {
	base := max(estimate, minRetryAfter)
	return base + time.Duration(rand.Int64N(int64(base))) //nolint:gosec // Jitter needs no secure randomness.
}
