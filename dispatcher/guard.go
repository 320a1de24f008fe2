package dispatcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

// Errors of a delivery. ErrNoLease and ErrRefused concern one order, the others
// the whole batch. After ErrOutcomeUnknown the batch may have been carried out;
// after any other error the order or the batch was not.
var (
	// ErrStaleTerm means that the worker has seen a higher term.
	ErrStaleTerm = errors.New("term is lower than the highest seen")
	// ErrStaleBatch means that the worker has seen a batch of the term with the
	// same or a higher number.
	ErrStaleBatch = errors.New("batch is older than the last one seen")
	// ErrNoLease means that a start was refused because its batch did not renew the
	// lease, or echoed a token older than maxStartTokenAge.
	ErrNoLease = errors.New("start without a lease or too late")
	// ErrRefused means that the worker did not carry out an order.
	ErrRefused = errors.New("refused by the worker")
	// ErrNotDelivered means that the batch did not reach the worker.
	ErrNotDelivered = errors.New("batch not delivered")
	// ErrOutcomeUnknown means that the batch may have been carried out.
	ErrOutcomeUnknown = errors.New("outcome of the batch unknown")
)

// maxStartTokenAge is the maximum age of the token that a batch with a start
// echoes. The owner may no longer want a start that was delayed for longer.
const maxStartTokenAge = 1500 * time.Millisecond

// maxTokens is the number of issued tokens that a worker remembers.
const maxTokens = 8

// Agent holds the functions of the worker that a Guard protects. All fields must
// be set. The Guard makes one call at a time.
type Agent struct {
	// Fence is called with each term that is higher than all before it.
	Fence func(term uint64)
	// Report returns the state of the worker.
	Report func() Report
	// Start starts a run of a task. It changes nothing if the worker already knows
	// that run, whether it runs or has ended.
	Start func(term uint64, attempt Attempt, spec TaskSpec) error
	// Stop ends a run, if the worker has it.
	Stop func(attempt Attempt) error
	// Checkpoint saves the progress of a run and ends it.
	Checkpoint func(attempt Attempt) error
	// Throttle limits a run to cpu thousandths of a processor.
	Throttle func(attempt Attempt, cpu int64) error
	// Acknowledge removes an ended run from the reports.
	Acknowledge func(attempt Attempt) error
	// Renew is called when the lease is extended, with its new end.
	Renew func(until time.Time)
	// Expire ends all runs. It is called when the lease has expired.
	Expire func()
}

// Guard checks the batches that reach a worker and passes their orders to its
// Agent.
type Guard struct {
	agent Agent

	mu          sync.Mutex // guards the fields below
	term        uint64     // the highest seen
	sequence    uint64     // the highest seen in term
	tokens      [maxTokens]token
	lastToken   uint64      // number of the last token issued; never 0
	leaseEnd    time.Time   // zero: no lease
	expiryTimer *time.Timer // nil before the first lease
}

// token is the number of a response and the time when it was issued.
type token struct {
	number uint64
	issued time.Time
}

// NewGuard returns a guard for agent. Its tokens start at a random number, so
// that it does not accept tokens of an earlier incarnation of the worker.
func NewGuard(agent Agent) *Guard {
	return &Guard{agent: agent, lastToken: rand.Uint64()>>1 + 1}
}

// Deliver carries out the orders of a batch. It carries out none if it returns
// ErrStaleTerm or ErrStaleBatch.
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
	mayStart := g.renew(batch) && g.hasFreshToken(batch)
	errs := make([]error, len(batch.orders))
	for i, order := range batch.orders {
		errs[i] = g.execute(order, mayStart)
	}
	return Response{token: g.issueToken(), report: g.agent.Report(), errs: errs}, nil
}

// Close stops the timer that ends all runs when the lease expires.
func (g *Guard) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.expiryTimer != nil {
		g.expiryTimer.Stop()
	}
}

func (g *Guard) fence(term uint64) {
	g.term = term
	g.sequence = 0
	g.tokens = [maxTokens]token{}
	g.agent.Fence(term)
}

// renew reports whether the batch renews the lease: it echoes a remembered token,
// and a lease that began when that token was issued has not ended yet. If so, renew
// extends the lease, but never shortens it.
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
		if until.After(g.leaseEnd) {
			g.extend(until)
		}
		return true
	}
	return false
}

// hasFreshToken reports whether the batch echoes a remembered token that is not
// older than maxStartTokenAge.
func (g *Guard) hasFreshToken(batch Batch) bool {
	for _, known := range g.tokens {
		if known.number == batch.token {
			return time.Since(known.issued) <= maxStartTokenAge
		}
	}
	return false
}

func (g *Guard) extend(until time.Time) {
	g.leaseEnd = until
	g.agent.Renew(until)
	if g.expiryTimer == nil {
		g.expiryTimer = time.AfterFunc(time.Until(until), g.onTimer)
		return
	}
	g.expiryTimer.Reset(time.Until(until))
}

func (g *Guard) onTimer() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expire()
}

// expire ends all runs if the lease has expired.
func (g *Guard) expire() {
	if g.leaseEnd.IsZero() || time.Now().Before(g.leaseEnd) {
		return
	}
	g.leaseEnd = time.Time{}
	g.agent.Expire()
}

func (g *Guard) issueToken() uint64 {
	g.lastToken++
	g.tokens[g.lastToken%maxTokens] = token{number: g.lastToken, issued: time.Now()}
	return g.lastToken
}

// execute carries out one order. Only a start needs a lease, because an owner that
// was paused may send a start that is no longer wanted.
func (g *Guard) execute(order Order, mayStart bool) error {
	switch order.kind {
	case Start:
		if !mayStart {
			return ErrNoLease
		}
		return g.agent.Start(g.term, order.attempt, order.spec)
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
