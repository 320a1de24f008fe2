package scheduler

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	"filberthaven.example/messenger"
)

// procedure is the path of the call to an owner.
const procedure = "/scheduler/call"

// waitLimit bounds one call of a Wait that goes over the messenger.
const waitLimit = 20 * time.Second

// verb is what a call asks for.
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

// failure is the kind of an error in an answer.
type failure uint8

const (
	failureNone failure = iota
	failureNotRun
	failureUnknown
	failureNotFound
	failureMismatch
	failureNotOwner
	failureRefused
	failureMoved
	failureTimeout
)

// failures pairs the kinds of errors with their sentinels, the most telling
// first.
var failures = []struct {
	failure failure
	err     error
}{
	{failureNotOwner, ErrNotOwner},
	{failureNotRun, ErrNotRun},
	{failureNotFound, ErrNotFound},
	{failureMismatch, ErrRequestIDReused},
	{failureRefused, ErrRefused},
	{failureMoved, ErrMoved},
	{failureUnknown, ErrOutcomeUnknown},
	{failureTimeout, context.DeadlineExceeded},
	{failureTimeout, context.Canceled},
}

// answerMessage is the answer to a call.
type answerMessage struct {
	Failure  failure         `cbor:"1,keyasint,omitempty"`
	Text     string          `cbor:"2,keyasint,omitempty"` // of an error or an explanation
	Job      string          `cbor:"3,keyasint,omitempty"`
	First    bool            `cbor:"4,keyasint,omitempty"`
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
	Over    int64       `cbor:"8,keyasint,omitempty"` // milliseconds since 1970
	Done    int         `cbor:"9,keyasint,omitempty"`
}

// Handle registers the calls of other entry VMs; lookup returns the scheduler of
// a shard that this process owns.
func Handle(m *messenger.Messenger, mux messenger.Mux, lookup func(shard string) (*Scheduler, bool)) {
	messenger.Handle(m, mux, procedure, func(ctx context.Context, call *callMessage) (*answerMessage, error) {
		s, ok := lookup(call.Shard)
		if !ok {
			return newFailure(ErrNotOwner), nil
		}
		answer := &answerMessage{}
		if err := s.answer(ctx, call, answer); err != nil {
			return newFailure(err), nil
		}
		return answer, nil
	})
}

// answer carries out a call.
func (s *Scheduler) answer(ctx context.Context, call *callMessage, answer *answerMessage) (err error) {
	switch call.Verb {
	case verbSubmit:
		return s.answerSubmit(ctx, call, answer)
	case verbClaim:
		claim, err := s.Claim(ctx, call.Team, call.Request, call.Holder, call.Digest)
		answer.Granted, answer.Holder, answer.Outcome = claim.granted, claim.holder, claim.outcome
		return err
	case verbSettle:
		return s.Settle(ctx, call.Team, call.Request, call.Holder, call.Outcome)
	case verbCancel:
		return s.Cancel(ctx, call.Job)
	case verbJob, verbWait:
		return s.answerStatus(ctx, call, answer)
	case verbList:
		list, err := s.List(call.Team, call.After, call.Limit)
		for _, status := range list {
			answer.Statuses = append(answer.Statuses, newStatusMessage(status))
		}
		return err
	case verbExplain:
		answer.Text, err = s.Explain(call.Job)
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

func (s *Scheduler) answerSubmit(ctx context.Context, call *callMessage, answer *answerMessage) error {
	if call.Spec == nil {
		return ErrRefused
	}
	receipt, err := s.Submit(ctx, call.Spec.spec(), call.Request)
	answer.Job, answer.First = receipt.job, receipt.first
	return err
}

func (s *Scheduler) answerStatus(ctx context.Context, call *callMessage, answer *answerMessage) error {
	if call.Verb == verbWait {
		bounded, cancel := context.WithTimeout(ctx, min(call.Wait, waitLimit))
		defer cancel()
		if _, err := s.Wait(bounded, call.Job); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
	}
	status, err := s.Job(call.Job)
	answer.Statuses = []statusMessage{newStatusMessage(status)}
	return err
}

// newFailure returns the answer for an error, which keeps its kind.
func newFailure(err error) *answerMessage {
	answer := &answerMessage{Failure: failureUnknown, Text: err.Error()}
	for _, known := range failures {
		if errors.Is(err, known.err) {
			answer.Failure = known.failure
			break
		}
	}
	return answer
}

// err returns the error of an answer, or nil.
func (m *answerMessage) err() error {
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

// callError is an error from another process; errors.Is finds its kind.
type callError struct {
	kind error
	text string
}

// Error returns the text that the other process gave.
func (e *callError) Error() string { return e.text }

// Unwrap returns the sentinel.
func (e *callError) Unwrap() error { return e.kind }

func newStatusMessage(s Status) statusMessage {
	return statusMessage{
		Spec: newSpecRecord(s.spec), State: s.state, Running: s.running, Ended: s.ended,
		Done: s.done, Failed: s.failed, Lost: s.lost, Target: s.target, Over: millis(s.over),
	}
}

func (m statusMessage) status() Status {
	status := Status{
		state: m.State, running: m.Running, ended: m.Ended, done: m.Done, failed: m.Failed, lost: m.Lost,
		target: m.Target, over: timeOf(m.Over),
	}
	if m.Spec != nil {
		status.spec = m.Spec.spec()
	}
	return status
}
