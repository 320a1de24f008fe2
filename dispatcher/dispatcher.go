package dispatcher

import (
	"context"
	"sync"
	"time"

	"filberthaven.example/messenger"
)

// Transport sends a batch to a worker and returns its response.
type Transport func(ctx context.Context, worker string, batch Batch) (Response, error)

// Dispatcher sends an owner's orders to its workers in numbered batches that echo
// the workers' tokens. It sends one batch at a time to each worker.
type Dispatcher struct {
	transport Transport

	mu    sync.Mutex       // guards links
	links map[string]*link // by worker
}

// link is the state kept for one worker.
type link struct {
	mu       sync.Mutex // guards the fields below; held while a batch is in flight
	term     uint64     // of the last batch sent
	sequence uint64     // of the last batch sent in term
	token    uint64     // of the last response in term; 0: none
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithTransport sets the transport, such as direct calls to workers in the same
// process.
func WithTransport(transport Transport) Option {
	return func(d *Dispatcher) { d.transport = transport }
}

// WithMessenger sets a transport that sends batches with the messenger. address
// returns the host:port of a worker, or false if that is not known.
func WithMessenger(m *messenger.Messenger, address func(worker string) (string, bool)) Option {
	return func(d *Dispatcher) { d.transport = messengerTransport(m, address) }
}

// New returns a Dispatcher. Without WithTransport or WithMessenger every delivery
// fails with ErrNotDelivered.
func New(options ...Option) *Dispatcher {
	d := &Dispatcher{transport: unreachable, links: map[string]*link{}}
	for _, option := range options {
		option(d)
	}
	return d
}

// unreachable is the default transport, which reaches no worker.
func unreachable(context.Context, string, Batch) (Response, error) {
	return Response{}, ErrNotDelivered
}

// Fence sends the term to the worker and returns the worker's report. It does
// not change the lease.
func (d *Dispatcher) Fence(ctx context.Context, worker string, term uint64) (Report, error) {
	response, err := d.Deliver(ctx, worker, term, 0, nil)
	return response.report, err
}

// Renew extends the worker's lease, so that it ends one lease duration after the
// worker's last response in the term, and returns the worker's report.
func (d *Dispatcher) Renew(ctx context.Context, worker string, term uint64, lease time.Duration) (Report, error) {
	response, err := d.Deliver(ctx, worker, term, lease, nil)
	return response.report, err
}

// Deliver sends orders to a worker in one batch, which also renews the worker's
// lease unless lease is 0. After ErrOutcomeUnknown the orders may have been
// carried out; after any other error none was.
func (d *Dispatcher) Deliver(ctx context.Context, worker string, term uint64, lease time.Duration, orders []Order) (Response, error) {
	l := d.link(worker)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term != term {
		l.term, l.sequence, l.token = term, 0, 0
	}
	l.sequence++
	response, err := d.transport(ctx, worker, Batch{term: term, sequence: l.sequence, token: l.token, lease: lease, orders: orders})
	if err != nil {
		return Response{}, err
	}
	l.token = response.token
	return response, nil
}

// Forget removes the state kept for a worker that is gone.
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
