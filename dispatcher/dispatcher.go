package dispatcher

import (
	"context"
	"sync"
	"time"

	"filberthaven.example/messenger"
)

// Transport takes a batch to a worker and brings its answer.
type Transport func(ctx context.Context, worker string, batch Batch) (Response, error)

// Dispatcher is the owner's side: it numbers batches and echoes tokens. Batches
// to one worker go one at a time.
type Dispatcher struct {
	transport Transport

	mu    sync.Mutex
	links map[string]*link // by worker
}

// link is the state of the exchange with one worker.
type link struct {
	mu       sync.Mutex
	term     uint64
	sequence uint64 // of the last batch sent in term
	token    uint64 // of the last answer in term
}

// Option changes a Dispatcher under construction.
type Option func(*Dispatcher)

// WithTransport replaces the messenger, for workers in the same process.
func WithTransport(transport Transport) Option {
	return func(d *Dispatcher) { d.transport = transport }
}

// WithMessenger sends over the messenger to the address (host:port) of a worker.
func WithMessenger(m *messenger.Messenger, address func(worker string) (string, bool)) Option {
	return func(d *Dispatcher) { d.transport = overMessenger(m, address) }
}

// New returns a Dispatcher; one of WithTransport and WithAddresses is needed to
// reach a worker.
func New(options ...Option) *Dispatcher {
	d := &Dispatcher{transport: unreachable, links: map[string]*link{}}
	for _, option := range options {
		option(d)
	}
	return d
}

// unreachable is the transport of a Dispatcher without one.
func unreachable(context.Context, string, Batch) (Response, error) {
	return Response{}, ErrNotDelivered
}

// Fence tells the worker the term and reads back its state. The lease is left
// as it is.
func (d *Dispatcher) Fence(ctx context.Context, worker string, term uint64) (Report, error) {
	answer, err := d.Deliver(ctx, worker, term, 0, nil)
	return answer.report, err
}

// Renew prolongs the worker's lease to lease after its last answer.
func (d *Dispatcher) Renew(ctx context.Context, worker string, term uint64, lease time.Duration) (Report, error) {
	answer, err := d.Deliver(ctx, worker, term, lease, nil)
	return answer.report, err
}

// Deliver sends all orders for a worker in one call, which renews its lease as
// well. On ErrUnknown they may have been carried out; with any other error they
// surely were not.
func (d *Dispatcher) Deliver(ctx context.Context, worker string, term uint64, lease time.Duration, orders []Order) (Response, error) {
	l := d.link(worker)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term {
		l.term, l.sequence, l.token = term, 0, 0
	}
	l.sequence++
	answer, err := d.transport(ctx, worker, Batch{term: term, sequence: l.sequence, token: l.token, lease: lease, orders: orders})
	if err != nil {
		return Response{}, err
	}
	l.token = answer.token
	return answer, nil
}

// Forget drops what is kept about a worker that has gone.
func (d *Dispatcher) Forget(worker string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.links, worker)
}

func (d *Dispatcher) link(worker string) *link {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.links[worker]
	if !ok {
		l = &link{}
		d.links[worker] = l
	}
	return l
}
