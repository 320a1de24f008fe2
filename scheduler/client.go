package scheduler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"filberthaven.example/messenger"
	"filberthaven.example/placer"
)

const (
	maxHops     = 4                      // moves of a job that a call follows
	waitPause   = 200 * time.Millisecond // after a Wait that reached no owner
	waitMargin  = time.Second            // for the way, beyond the wait of a call
	unbounded   = time.Hour              // wait of a context without a deadline
	minWaitCall = 50 * time.Millisecond
)

// Client reaches the owners of shards from any entry VM.
type Client struct {
	messenger *messenger.Messenger
	owner     func(shard string) (address string, ok bool)
}

// NewClient returns a client; owner tells the address (host:port) of a shard's
// present owner.
func NewClient(m *messenger.Messenger, owner func(shard string) (address string, ok bool)) *Client {
	return &Client{messenger: m, owner: owner}
}

// call sends a call to the owner of its shard. Errors keep their kind; one of the
// way is ErrNotRun and ErrNotOwner when the call surely did not arrive, else
// ErrUnknown.
func (c *Client) call(ctx context.Context, call *callMessage) (*answerMessage, error) {
	address, ok := c.owner(call.Shard)
	if !ok {
		return nil, fmt.Errorf("%w: %w: shard %s has none in reach", ErrNotRun, ErrNotOwner, call.Shard)
	}
	answer, err := messenger.Call[callMessage, answerMessage](ctx, c.messenger, address, procedure, call)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return nil, fmt.Errorf("%w: %w: shard %s: %w", ErrNotRun, ErrNotOwner, call.Shard, err)
		}
		return nil, fmt.Errorf("%w: owner of shard %s: %w", ErrOutcomeUnknown, call.Shard, err)
	}
	if err := answer.err(); err != nil {
		return nil, err
	}
	return answer, nil
}

// Submit does what Scheduler.Submit does, at the owner of the shard.
func (c *Client) Submit(ctx context.Context, shard string, spec placer.JobSpec, requestID string) (Receipt, error) {
	answer, err := c.call(ctx, &callMessage{Verb: verbSubmit, Shard: shard, Spec: newSpecRecord(spec), Request: requestID})
	if err != nil {
		return Receipt{}, err
	}
	return Receipt{job: answer.Job, first: answer.First}, nil
}

// Claim does what Scheduler.Claim does, at the owner of the shard.
func (c *Client) Claim(ctx context.Context, shard, team, requestID, holder string, digest uint64) (Claim, error) {
	answer, err := c.call(ctx, &callMessage{Verb: verbClaim, Shard: shard, Team: team, Request: requestID, Holder: holder, Digest: digest})
	if err != nil {
		return Claim{}, err
	}
	return Claim{granted: answer.Granted, holder: answer.Holder, outcome: answer.Outcome}, nil
}

// Settle does what Scheduler.Settle does, at the owner of the shard.
func (c *Client) Settle(ctx context.Context, shard, team, requestID, holder string, outcome Outcome) error {
	_, err := c.call(ctx, &callMessage{Verb: verbSettle, Shard: shard, Team: team, Request: requestID, Holder: holder, Outcome: outcome})
	return err
}

// Transfer hands a job to the owner of its target.
func (c *Client) Transfer(ctx context.Context, t Transfer) error {
	_, err := c.call(ctx, &callMessage{Verb: verbTransfer, Shard: t.target, Record: &t.record})
	return err
}

// Job returns the status of a job, wherever it has moved to.
func (c *Client) Job(ctx context.Context, id string) (Status, error) {
	return c.status(ctx, id, verbJob, 0)
}

// status asks for a job and follows its moves.
func (c *Client) status(ctx context.Context, id string, v verb, wait time.Duration) (Status, error) {
	shard := ShardOf(id)
	for range maxHops {
		answer, err := c.call(ctx, &callMessage{Verb: v, Shard: shard, Job: id, Wait: wait})
		if err != nil {
			return Status{}, err
		}
		if len(answer.Statuses) != 1 {
			return Status{}, fmt.Errorf("%w: job %q", ErrNotFound, id)
		}
		status := answer.Statuses[0].status()
		if status.state != Moved {
			return status, nil
		}
		shard = status.target
	}
	return Status{}, fmt.Errorf("%w: job %q moved more than %d times", ErrNotFound, id, maxHops)
}

// Wait returns the status of a job once it has ended, over changes of owner and
// shard, or with the context's error before. Errors: ErrNotFound.
func (c *Client) Wait(ctx context.Context, id string) (Status, error) {
	for {
		wait := unbounded
		if deadline, ok := ctx.Deadline(); ok {
			wait = max(time.Until(deadline), minWaitCall)
		}
		wait = min(wait, waitLimit)
		bounded, cancel := context.WithTimeout(ctx, wait+waitMargin)
		status, err := c.status(bounded, id, verbWait, wait)
		cancel()
		switch {
		case err == nil && status.state.Final():
			return status, nil
		case errors.Is(err, ErrNotFound):
			return Status{}, err
		case ctx.Err() != nil:
			return Status{}, ctx.Err()
		case err == nil:
			continue
		}
		select {
		case <-ctx.Done():
			return Status{}, ctx.Err()
		case <-time.After(waitPause):
		}
	}
}

// follow calls the shard that has a job.
func (c *Client) follow(ctx context.Context, id string, v verb) (*answerMessage, error) {
	answer, err := c.call(ctx, &callMessage{Verb: v, Shard: ShardOf(id), Job: id})
	for range maxHops {
		if !errors.Is(err, ErrMoved) {
			return answer, err
		}
		shard, found := c.locate(ctx, id)
		if found != nil {
			return nil, found
		}
		answer, err = c.call(ctx, &callMessage{Verb: v, Shard: shard, Job: id})
	}
	return answer, err
}

// locate returns the shard that has a job.
func (c *Client) locate(ctx context.Context, id string) (string, error) {
	shard := ShardOf(id)
	for range maxHops {
		answer, err := c.call(ctx, &callMessage{Verb: verbJob, Shard: shard, Job: id})
		if err != nil {
			return "", err
		}
		if len(answer.Statuses) != 1 || answer.Statuses[0].State != Moved {
			return shard, nil
		}
		shard = answer.Statuses[0].Target
	}
	return "", fmt.Errorf("%w: job %q moved more than %d times", ErrNotFound, id, maxHops)
}

// Cancel does what Scheduler.Cancel does, wherever the job has moved to.
func (c *Client) Cancel(ctx context.Context, id string) error {
	_, err := c.follow(ctx, id, verbCancel)
	return err
}

// Explain does what Scheduler.Explain does, wherever the job has moved to.
func (c *Client) Explain(ctx context.Context, id string) (string, error) {
	answer, err := c.follow(ctx, id, verbExplain)
	if err != nil {
		return "", err
	}
	return answer.Text, nil
}

// List does what Scheduler.List does, at the owner of the shard.
func (c *Client) List(ctx context.Context, shard, team, after string, limit int) ([]Status, error) {
	answer, err := c.call(ctx, &callMessage{Verb: verbList, Shard: shard, Team: team, After: after, Limit: limit})
	if err != nil {
		return nil, err
	}
	list := make([]Status, 0, len(answer.Statuses))
	for _, m := range answer.Statuses {
		list = append(list, m.status())
	}
	return list, nil
}
