package dispatcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

// Errors of a delivery. All of them but ErrUnknown mean that no order of the
// batch was carried out.
var (
	// ErrStaleTerm means that the worker has seen a higher term.
	ErrStaleTerm = errors.New("term is lower than the highest seen")
	// ErrStaleBatch means that the worker has seen a later batch of the term.
	ErrStaleBatch = errors.New("batch is older than the last one seen")
	// ErrNoLease means that a start needs a lease, or is too late.
	ErrNoLease = errors.New("start without a lease or too late")
	// ErrRefused means that the worker can't carry out an order.
	ErrRefused = errors.New("refused by the worker")
	// ErrNotDelivered means that the batch surely did not reach the worker.
	ErrNotDelivered = errors.New("batch not delivered")
	// ErrOutcomeUnknown means that the batch may have been carried out.
	ErrOutcomeUnknown = errors.New("outcome of the batch unknown")
)

// startLimit is the longest age of the token that a start echoes: a start that
// was held up for longer is not what its owner wants any more.
const startLimit = 1500 * time.Millisecond

// tokensKept is the number of tokens that a worker remembers.
const tokensKept = 8

// Agent is the worker's part behind a Guard. All fields are set. The Guard
// calls one at a time.
type Agent struct {
	// Fence tells of a term higher than all before.
	Fence func(term uint64)
	// Report returns the state of the worker.
	Report func() Report
	// Start runs a task. A run that is known already, running or ended, is left
	// as it is.
	Start func(term uint64, attempt Attempt, launch TaskSpec) error
	// Stop ends a run, if it is there.
	Stop func(attempt Attempt) error
	// Checkpoint saves the progress of a run and ends it.
	Checkpoint func(attempt Attempt) error
	// Throttle bounds a run to cpu thousandths of a processor.
	Throttle func(attempt Attempt, cpu int64) error
	// Acknowledge forgets an ended run.
	Acknowledge func(attempt Attempt) error
	// Renew tells until when the lease runs.
	Renew func(until time.Time)
	// Expire ends all runs, since the lease has expired.
	Expire func()
}

// Guard is a worker's check of the batches that reach it.
type Guard struct {
	agent Agent

	mu       sync.Mutex
	term     uint64 // the highest seen
	sequence uint64 // the highest seen in term
	tokens   [tokensKept]token
	last     uint64    // the last token issued; never 0
	until    time.Time // the lease ends then; zero before the first
	lapse    *time.Timer
}

// token is the time of an answer to an owner.
type token struct {
	number uint64
	issued time.Time
}

// NewGuard returns a guard before agent. Tokens start at a random number, so
// that those of an earlier incarnation of the worker are not taken for its own.
func NewGuard(agent Agent) *Guard {
	return &Guard{agent: agent, last: rand.Uint64()>>1 + 1}
}

// Deliver carries out a batch: ErrStaleTerm and ErrLate mean that nothing of it
// was done.
func (g *Guard) Deliver(_ context.Context, batch Batch) (Response, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if batch.term < g.term {
		return Response{}, ErrStaleTerm
	}
	if batch.term > g.term {
		g.fence(batch.term)
	}
	if batch.sequence <= g.sequence {
		return Response{}, ErrStaleBatch
	}
	g.sequence = batch.sequence
	g.expire()
	live := g.renew(batch) && g.fresh(batch)
	refused := make([]error, len(batch.orders))
	for i, order := range batch.orders {
		refused[i] = g.carryOut(order, live)
	}
	return Response{token: g.issue(), report: g.agent.Report(), refused: refused}, nil
}

// Close ends the guard's timer.
func (g *Guard) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lapse != nil {
		g.lapse.Stop()
	}
}

func (g *Guard) fence(term uint64) {
	g.term = term
	g.sequence = 0
	g.tokens = [tokensKept]token{}
	g.agent.Fence(term)
}

// renew prolongs the lease and reports whether the batch is covered by one.
func (g *Guard) renew(batch Batch) bool {
	if batch.token == 0 || batch.lease <= 0 {
		return false
	}
	for _, known := range g.tokens {
		if known.number != batch.token {
			continue
		}
		until := known.issued.Add(batch.lease)
		if !time.Now().Before(until) {
			return false
		}
		if until.After(g.until) {
			g.prolong(until)
		}
		return true
	}
	return false
}

// fresh reports whether the batch follows an answer of a short time ago.
func (g *Guard) fresh(batch Batch) bool {
	for _, known := range g.tokens {
		if known.number == batch.token {
			return time.Since(known.issued) <= startLimit
		}
	}
	return false
}

func (g *Guard) prolong(until time.Time) {
	g.until = until
	g.agent.Renew(until)
	if g.lapse == nil {
		g.lapse = time.AfterFunc(time.Until(until), g.onTimer)
		return
	}
	g.lapse.Reset(time.Until(until))
}

func (g *Guard) onTimer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire()
}

// expire ends all runs once the lease has expired.
func (g *Guard) expire() {
	if g.until.IsZero() || time.Now().Before(g.until) {
		return
	}
	g.until = time.Time{}
	g.agent.Expire()
}

func (g *Guard) issue() uint64 {
	g.last++
	g.tokens[g.last%tokensKept] = token{number: g.last, issued: time.Now()}
	return g.last
}

// carryOut does one order. Only a start needs the lease: it is what a paused
// owner must not do late.
func (g *Guard) carryOut(order Order, live bool) error {
	switch order.kind {
	case Start:
		if !live {
			return ErrNoLease
		}
		return g.agent.Start(g.term, order.attempt, order.launch)
	case Stop:
		return g.agent.Stop(order.attempt)
	case Checkpoint:
		return g.agent.Checkpoint(order.attempt)
	case Throttle:
		return g.agent.Throttle(order.attempt, order.cpu)
	case Acknowledge:
		return g.agent.Acknowledge(order.attempt)
	default:
		return ErrRefused
	}
}
