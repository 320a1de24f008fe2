package scheduler

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	"filberthaven.example/messenger"
)

// procedure is the HTTP path of calls to an owner.
const procedure = "/scheduler/call"

// maxServedWait bounds one call of Client.Wait; a longer wait takes several calls.
const maxServedWait = 20 * time.Second

// verb is the operation that a call requests.
type verb uint8

const (
	verbSubmit verb = iota + 1
	verbClaim
	verbSettle
	verbCancel
	verbJob
	verbList
	verbWait
	verbExplain
	verbTransfer
)

// callMessage is a call to the owner of a shard.
type callMessage struct {
	Verb    verb          `cbor:"1,keyasint"`
	Shard   string        `cbor:"2,keyasint"`
	Job     string        `cbor:"3,keyasint,omitempty"`
	Team    string        `cbor:"4,keyasint,omitempty"`
	Request string        `cbor:"5,keyasint,omitempty"`
	Holder  string        `cbor:"6,keyasint,omitempty"`
	Digest  uint64        `cbor:"7,keyasint,omitempty"`
	Outcome Outcome       `cbor:"8,keyasint,omitempty"`
	After   string        `cbor:"9,keyasint,omitempty"`
	Limit   int           `cbor:"10,keyasint,omitempty"`
	Spec    *specRecord   `cbor:"11,keyasint,omitempty"`
	Record  *record       `cbor:"12,keyasint,omitempty"`
	Wait    time.Duration `cbor:"13,keyasint,omitempty"`
}

// failure is the kind of an error in a response.
type failure uint8

const (
	failureNone failure = iota
	failureNotRun
	failureOutcomeUnknown
	failureNotFound
	failureRequestIDReused
	failureNotOwner
	failureRefused
	failureMoved
	failureTimeout
)

// failures maps failure kinds to sentinel errors. If an error matches several, the first
// of them counts.
var failures = []struct {
	failure failure
	err     error
}{
	{failureNotOwner, ErrNotOwner},
	{failureNotRun, ErrNotRun},
	{failureNotFound, ErrNotFound},
	{failureRequestIDReused, ErrRequestIDReused},
	{failureRefused, ErrRefused},
	{failureMoved, ErrMoved},
	{failureOutcomeUnknown, ErrOutcomeUnknown},
	{failureTimeout, context.DeadlineExceeded},
	{failureTimeout, context.Canceled},
}

// responseMessage is the response to a callMessage.
type responseMessage struct {
	Failure  failure         `cbor:"1,keyasint,omitempty"`
	Text     string          `cbor:"2,keyasint,omitempty"` // of an error or an explanation
	Job      string          `cbor:"3,keyasint,omitempty"`
	First    bool            `cbor:"4,keyasint,omitempty"` // the call created the job
	Granted  bool            `cbor:"5,keyasint,omitempty"`
	Holder   string          `cbor:"6,keyasint,omitempty"`
	Outcome  Outcome         `cbor:"7,keyasint,omitempty"`
	Statuses []statusMessage `cbor:"8,keyasint,omitempty"`
}

type statusMessage struct {
	Spec    *specRecord `cbor:"1,keyasint"`
	State   State       `cbor:"2,keyasint"`
	Running int         `cbor:"3,keyasint,omitempty"`
	Ended   int         `cbor:"4,keyasint,omitempty"`
	Failed  int         `cbor:"5,keyasint,omitempty"`
	Lost    int         `cbor:"6,keyasint,omitempty"`
	Target  string      `cbor:"7,keyasint,omitempty"`
	Over    int64       `cbor:"8,keyasint,omitempty"` // end of the job in milliseconds since 1970; 0 before
	Done    int         `cbor:"9,keyasint,omitempty"`
}

// Handle registers the handler for calls of other entry VMs; lookup returns the
// scheduler of a shard that this process owns.
func Handle(m *messenger.Messenger, mux messenger.Mux, lookup func(shard string) (*Scheduler, bool)) {
	messenger.Handle(m, mux, procedure, func(ctx context.Context, call *callMessage) (*responseMessage, error) {
		s, ok := lookup(call.Shard)
		if !ok {
			return newFailure(ErrNotOwner), nil
		}
		response := &responseMessage{}
		if err := s.serveCall(ctx, call, response); err != nil {
			return newFailure(err), nil
		}
		return response, nil
	})
}

// serveCall executes a call and fills in the response.
func (s *Scheduler) serveCall(ctx context.Context, call *callMessage, response *responseMessage) (err error) {
	switch call.Verb {
	case verbSubmit:
		return s.serveSubmit(ctx, call, response)
	case verbClaim:
		claim, err := s.Claim(ctx, call.Team, call.Request, call.Holder, call.Digest)
		response.Granted, response.Holder, response.Outcome = claim.granted, claim.holder, claim.outcome
		return err
	case verbSettle:
		return s.Settle(ctx, call.Team, call.Request, call.Holder, call.Outcome)
	case verbCancel:
		return s.Cancel(ctx, call.Job)
	case verbJob, verbWait:
		return s.serveStatus(ctx, call, response)
	case verbList:
		list, err := s.List(call.Team, call.After, call.Limit)
		for _, status := range list {
			response.Statuses = append(response.Statuses, newStatusMessage(status))
		}
		return err
	case verbExplain:
		response.Text, err = s.Explain(call.Job)
		return err
	case verbTransfer:
		if call.Record == nil {
			return ErrRefused
		}
		return s.Accept(ctx, Transfer{target: call.Shard, record: *call.Record})
	default:
		return connect.NewError(connect.CodeUnimplemented, errors.New("unknown verb"))
	}
}

func (s *Scheduler) serveSubmit(ctx context.Context, call *callMessage, response *responseMessage) error {
	if call.Spec == nil {
		return ErrRefused
	}
	receipt, err := s.Submit(ctx, call.Spec.spec(), call.Request)
	response.Job, response.First = receipt.jobID, receipt.created
	return err
}

func (s *Scheduler) serveStatus(ctx context.Context, call *callMessage, response *responseMessage) error {
	if call.Verb == verbWait {
		waitCtx, cancel := context.WithTimeout(ctx, min(call.Wait, maxServedWait))
		defer cancel()
		if _, err := s.Wait(waitCtx, call.Job); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
	}
	status, err := s.Job(call.Job)
	response.Statuses = []statusMessage{newStatusMessage(status)}
	return err
}

// newFailure returns the response for an error, with its kind and text. An error that
// matches none of failures leaves the outcome of the call unknown.
func newFailure(err error) *responseMessage {
	response := &responseMessage{Failure: failureOutcomeUnknown, Text: err.Error()}
	for _, known := range failures {
		if errors.Is(err, known.err) {
			response.Failure = known.failure
			break
		}
	}
	return response
}

// err returns the error in the response, or nil.
func (m *responseMessage) err() error {
	if m.Failure == failureNone {
		return nil
	}
	for _, known := range failures {
		if known.failure == m.Failure {
			return &callError{kind: known.err, text: m.Text}
		}
	}
	return &callError{kind: ErrOutcomeUnknown, text: m.Text}
}

// callError is an error that an owner returned; errors.Is matches its sentinel.
type callError struct {
	kind error
	text string
}

func (e *callError) Error() string { return e.text }

func (e *callError) Unwrap() error { return e.kind }

func newStatusMessage(s Status) statusMessage {
	return statusMessage{
		Spec: newSpecRecord(s.spec), State: s.state, Running: s.running, Ended: s.ended,
		Done: s.done, Failed: s.failed, Lost: s.lost, Target: s.target, Over: millis(s.endedAt),
	}
}

func (m statusMessage) status() Status {
	status := Status{
		state: m.State, running: m.Running, ended: m.Ended, done: m.Done, failed: m.Failed, lost: m.Lost,
		target: m.Target, endedAt: timeOf(m.Over),
	}
	if m.Spec != nil {
		status.spec = m.Spec.spec()
	}
	return status
}
