package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"connectrpc.com/connect"
	"filberthaven.example/messenger"
	"filberthaven.example/placer"
)

// procedure is the path of the call that delivers a batch to a worker.
const procedure = "/dispatcher/deliver"

// Results of an order, as encoded in a response.
const (
	orderDone uint8 = iota
	orderNoLease
	orderRefused
)

type batchMessage struct {
	Term     uint64         `cbor:"1,keyasint"`
	Sequence uint64         `cbor:"2,keyasint"`
	Token    uint64         `cbor:"3,keyasint,omitempty"`
	Lease    time.Duration  `cbor:"4,keyasint,omitempty"`
	Orders   []orderMessage `cbor:"5,keyasint,omitempty"`
}

type attemptMessage struct {
	_      struct{} `cbor:",toarray"`
	Job    string
	Index  int
	Number uint32
}

type orderMessage struct {
	Kind       Kind           `cbor:"1,keyasint"`
	Attempt    attemptMessage `cbor:"2,keyasint"`
	Team       string         `cbor:"3,keyasint,omitempty"`
	Name       string         `cbor:"4,keyasint,omitempty"`
	Size       [3]int64       `cbor:"5,keyasint,omitempty"`
	Estimate   time.Duration  `cbor:"6,keyasint,omitempty"`
	Idempotent bool           `cbor:"7,keyasint,omitempty"`
	Service    bool           `cbor:"8,keyasint,omitempty"`
	CPU        int64          `cbor:"9,keyasint,omitempty"`
}

type runningMessage struct {
	_       struct{} `cbor:",toarray"`
	Attempt attemptMessage
	Term    uint64
	Usage   [3]int64
}

type finishedMessage struct {
	_       struct{} `cbor:",toarray"`
	Attempt attemptMessage
	Outcome Outcome
}

type responseMessage struct {
	Token       uint64            `cbor:"1,keyasint"`
	Incarnation string            `cbor:"2,keyasint"`
	Running     []runningMessage  `cbor:"3,keyasint,omitempty"`
	Finished    []finishedMessage `cbor:"4,keyasint,omitempty"`
	Errors      []uint8           `cbor:"5,keyasint,omitempty"`
}

// Handle registers the handler that passes the batches of owners to a worker's
// guard.
func Handle(m *messenger.Messenger, mux messenger.Mux, guard *Guard) {
	messenger.Handle(m, mux, procedure, func(ctx context.Context, message *batchMessage) (*responseMessage, error) {
		response, err := guard.Deliver(ctx, message.batch())
		switch {
		case errors.Is(err, ErrStaleTerm):
			return nil, connect.NewError(connect.CodeFailedPrecondition, err)
		case errors.Is(err, ErrStaleBatch):
			return nil, connect.NewError(connect.CodeAborted, err)
		case err != nil:
			return nil, err
		}
		return newResponseMessage(response), nil
	})
}

// messengerTransport returns a transport that calls workers over HTTP.
func messengerTransport(m *messenger.Messenger, address func(worker string) (string, bool)) Transport {
	return func(ctx context.Context, worker string, batch Batch) (Response, error) {
		target, ok := address(worker)
		if !ok {
			return Response{}, fmt.Errorf("%w: no address of worker %s", ErrNotDelivered, worker)
		}
		message, err := messenger.Call[batchMessage, responseMessage](ctx, m, target, procedure, newBatchMessage(batch))
		if err != nil {
			return Response{}, deliveryError(worker, err)
		}
		return message.response(), nil
	}
}

// deliveryError wraps the error of a call in the error of this package that says
// whether the batch may have been carried out. A call that failed while dialling
// has not reached the worker.
func deliveryError(worker string, err error) error {
	kind := ErrOutcomeUnknown
	var dial *net.OpError
	switch {
	case connect.CodeOf(err) == connect.CodeFailedPrecondition:
		kind = ErrStaleTerm
	case connect.CodeOf(err) == connect.CodeAborted:
		kind = ErrStaleBatch
	case errors.As(err, &dial) && dial.Op == "dial":
		kind = ErrNotDelivered
	}
	return fmt.Errorf("%w: worker %s: %w", kind, worker, err)
}

func newBatchMessage(batch Batch) *batchMessage {
	message := &batchMessage{Term: batch.term, Sequence: batch.sequence, Token: batch.token, Lease: batch.lease}
	for _, order := range batch.orders {
		message.Orders = append(message.Orders, orderMessage{
			Kind:       order.kind,
			Attempt:    newAttemptMessage(order.attempt),
			Team:       order.spec.team,
			Name:       order.spec.name,
			Size:       encodeResources(order.spec.size),
			Estimate:   order.spec.estimate,
			Idempotent: order.spec.idempotent,
			Service:    order.spec.service,
			CPU:        order.cpu,
		})
	}
	return message
}

func (m *batchMessage) batch() Batch {
	batch := Batch{term: m.Term, sequence: m.Sequence, token: m.Token, lease: m.Lease}
	for _, order := range m.Orders {
		batch.orders = append(batch.orders, Order{
			kind:    order.Kind,
			attempt: order.Attempt.attempt(),
			cpu:     order.CPU,
			spec: TaskSpec{
				team:       order.Team,
				name:       order.Name,
				size:       decodeResources(order.Size),
				estimate:   order.Estimate,
				idempotent: order.Idempotent,
				service:    order.Service,
			},
		})
	}
	return batch
}

func newResponseMessage(response Response) *responseMessage {
	message := &responseMessage{Token: response.token, Incarnation: response.report.incarnation}
	for _, running := range response.report.running {
		message.Running = append(message.Running, runningMessage{
			Attempt: newAttemptMessage(running.attempt), Term: running.term, Usage: encodeResources(running.usage),
		})
	}
	for _, finished := range response.report.finished {
		message.Finished = append(message.Finished, finishedMessage{
			Attempt: newAttemptMessage(finished.attempt), Outcome: finished.outcome,
		})
	}
	for _, err := range response.errs {
		message.Errors = append(message.Errors, encodeError(err))
	}
	return message
}

func (m *responseMessage) response() Response {
	response := Response{token: m.Token, report: Report{incarnation: m.Incarnation}}
	for _, running := range m.Running {
		response.report.running = append(response.report.running, NewRunningTask(running.Attempt.attempt(), running.Term, decodeResources(running.Usage)))
	}
	for _, finished := range m.Finished {
		response.report.finished = append(response.report.finished, NewFinishedTask(finished.Attempt.attempt(), finished.Outcome))
	}
	for _, code := range m.Errors {
		response.errs = append(response.errs, decodeError(code))
	}
	return response
}

func encodeError(err error) uint8 {
	switch {
	case err == nil:
		return orderDone
	case errors.Is(err, ErrNoLease):
		return orderNoLease
	default:
		return orderRefused
	}
}

func decodeError(code uint8) error {
	switch code {
	case orderDone:
		return nil
	case orderNoLease:
		return ErrNoLease
	default:
		return ErrRefused
	}
}

func newAttemptMessage(a Attempt) attemptMessage {
	return attemptMessage{Job: a.task.Job(), Index: a.task.Index(), Number: a.number}
}

func (m attemptMessage) attempt() Attempt {
	return NewAttempt(placer.NewTaskID(m.Job, m.Index), m.Number)
}

func encodeResources(r placer.Resources) [3]int64 {
	return [3]int64{r.CPU(), r.Memory(), r.Accelerators()}
}

func decodeResources(m [3]int64) placer.Resources { return placer.NewResources(m[0], m[1], m[2]) }
