package limiter

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/semaphore"
)

const (
	// DefaultBudget is the number of bytes of all bodies together.
	DefaultBudget = 32 << 20
	// DefaultStall is how long a body may make no progress: most of the time-out of 3 s of
	// ordinary callers.
	DefaultStall = 2 * time.Second
	// sweepInterval is the time between two checks for bodies without progress.
	sweepInterval = 100 * time.Millisecond
	// smallBody is the size in bytes up to which a body is never shed in favour of others.
	// Ordinary jobs have 1 to 5 KB.
	smallBody = 16 << 10
	// copyShare is the part of the budget for copies of bodies that are forwarded or decoded,
	// as a divisor.
	copyShare = 4
	// copyFactor is the number of copies of a body while it is forwarded or decoded: the
	// encoder's buffer, which grows by doubling, and the encoded message.
	copyFactor = 3
	// logInterval is the shortest time between two log lines of the same kind.
	logInterval = time.Second
)

// Errors of a body that is refused. The request has not run.
var (
	// ErrRefused is wrapped by all of them.
	ErrRefused = errors.New("body refused")
	// ErrNoRoom means that the budget is used up.
	ErrNoRoom = fmt.Errorf("%w: too many bodies at once", ErrRefused)
	// ErrSlow means that the body made no progress or did not arrive in time.
	ErrSlow = fmt.Errorf("%w: the body came too slowly", ErrRefused)
)

// Limiter bounds the bytes of the bodies that are read at once.
type Limiter struct {
	budget int64 // bytes, above 0
	stall  time.Duration
	now    func() time.Time
	log    hclog.Logger
	copies *semaphore.Weighted
	room   int64 // capacity of copies in bytes

	mu       sync.Mutex // guards the fields below and those of the bodies
	used     int64      // bytes charged
	leaving  int64      // of these, bytes of bodies that are shed and have not ended
	bodies   map[*Body]struct{}
	sweeping bool // a sweep is scheduled
	logged   map[string]*logState

	usedBytes  metrics.Counter // goes up and down, as open does
	shedBodies metrics.Counter
	slowBodies metrics.Counter
	closed     metrics.Counter
	open       metrics.Counter
}

// logState bounds the rate of the log lines of one kind.
type logState struct {
	last       time.Time
	suppressed int // lines since last
}

// Option changes a Limiter under construction.
type Option func(*Limiter)

// WithBudget sets the number of bytes of all bodies together.
func WithBudget(bytes int64) Option { return func(l *Limiter) { l.budget = max(bytes, 1) } }

// WithStall sets how long a body may make no progress.
func WithStall(d time.Duration) Option { return func(l *Limiter) { l.stall = d } }

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(l *Limiter) { l.log = log.Named("limiter") }
}

// WithRegistry sets the registry of the metrics.
func WithRegistry(registry metrics.Registry) Option {
	return func(l *Limiter) { l.register(registry) }
}

// New returns a Limiter, changed by the options. It needs no closing.
func New(options ...Option) (*Limiter, error) {
	l := &Limiter{
		budget: DefaultBudget, stall: DefaultStall, now: time.Now, log: hclog.NewNullLogger(),
		bodies: map[*Body]struct{}{}, logged: map[string]*logState{},
	}
	l.register(metrics.NewRegistry())
	for _, option := range options {
		option(l)
	}
	l.room = max(l.budget/copyShare, 1)
	l.copies = semaphore.NewWeighted(l.room)
	return l, nil
}

func (l *Limiter) register(registry metrics.Registry) {
	l.usedBytes = metrics.GetOrRegisterCounter("limits.bytes", registry)
	l.shedBodies = metrics.GetOrRegisterCounter("limits.shed", registry)
	l.slowBodies = metrics.GetOrRegisterCounter("limits.slow", registry)
	l.closed = metrics.GetOrRegisterCounter("limits.closed", registry)
	l.open = metrics.GetOrRegisterCounter("limits.connections", registry)
}

// Used returns the number of bytes charged now.
func (l *Limiter) Used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// charge adds n bytes to the charge of a body. If the budget is used up, it sheds the bodies
// that are furthest behind. It returns the cause if the body itself is shed. A small body is
// read beyond the budget rather than shed.
func (l *Limiter) charge(b *Body, n int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for b.cause == nil && l.used-l.leaving+n > l.budget {
		victim := l.furthestBehind(b, b.charged+n)
		if victim == b && !b.streams && b.charged+n <= smallBody {
			break // the number of connections bounds what small bodies take beyond the budget
		}
		l.shed(victim, ErrNoRoom)
	}
	if b.cause != nil {
		return b.cause
	}
	if _, ok := l.bodies[b]; !ok {
		return http.ErrBodyReadAfterClose // a charge after the end would never end
	}
	b.charged += n
	l.add(n)
	return nil
}

// add changes the number of bytes charged.
func (l *Limiter) add(n int64) {
	l.used += n
	l.usedBytes.Inc(n)
}

// furthestBehind returns the body to shed so that the body b can grow to size: the one without
// progress for longest, and of those alike the one with most left to come. Small bodies are
// shed only if none else is left. It returns b itself if there is no other.
func (l *Limiter) furthestBehind(b *Body, size int64) *Body {
	now := l.now()
	best := b
	for other := range l.bodies {
		if other == b || other.cause != nil || other.complete || other.streams || other.charged <= smallBody {
			continue
		}
		if best == b && size <= smallBody || other.isBehind(best, now) {
			best = other
		}
	}
	return best
}

// shed refuses a body that is being read. Its charge remains until its handler returns.
func (l *Limiter) shed(b *Body, cause error) {
	b.cause = cause
	l.leaving += b.charged
	counter, message := l.shedBodies, "body refused: too many bodies at once"
	if errors.Is(cause, ErrSlow) {
		counter, message = l.slowBodies, "body refused: it came too slowly"
	}
	counter.Inc(1)
	l.report(message, "path", b.path, "read", b.read, "expected", b.expected, "used", l.used, "budget", l.budget)
	b.interrupt()
}

// report logs a message at most once in logInterval, with the number of those not logged.
func (l *Limiter) report(message string, args ...any) {
	state, ok := l.logged[message]
	if !ok {
		state = &logState{}
		l.logged[message] = state
	}
	now := l.now()
	if now.Sub(state.last) < logInterval {
		state.suppressed++
		return
	}
	// A blocked reader of the log must not hold up requests, which wait for the lock.
	go l.log.Warn(message, append(args, "more", state.suppressed)...)
	state.last, state.suppressed = now, 0
}

// begin registers a body, whose reading begins.
func (l *Limiter) begin(b *Body) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.progress = l.now()
	l.bodies[b] = struct{}{}
	if !l.sweeping {
		l.sweeping = true
		time.AfterFunc(sweepInterval, l.sweep)
	}
}

// end ends the charge of a body.
func (l *Limiter) end(b *Body) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.bodies[b]; !ok {
		return
	}
	delete(l.bodies, b)
	if b.cause != nil {
		l.leaving -= b.charged
	}
	l.add(-b.charged)
	b.charged = 0
}

// sweep refuses the bodies that make no progress or are late. It runs while bodies are read.
func (l *Limiter) sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for b := range l.bodies {
		late := !b.deadline.IsZero() && now.After(b.deadline)
		if b.cause == nil && !b.complete && b.reading && (late || now.Sub(b.progress) > l.stall) {
			l.shed(b, ErrSlow)
		}
	}
	l.sweeping = len(l.bodies) > 0
	if l.sweeping {
		time.AfterFunc(sweepInterval, l.sweep)
	}
}
