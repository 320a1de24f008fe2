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
	maxHops        = 4                      // moves of a job that one call follows
	waitRetryDelay = 200 * time.Millisecond // after a failed call of Wait
	waitMargin     = time.Second            // time for the network, on top of the wait at the owner
	defaultWait    = time.Hour              // if the context has no deadline
	minWaitCall    = 50 * time.Millisecond  // shortest wait that a call requests
)

// Client calls the owners of shards from any entry VM.
type Client struct {
	messenger    *messenger.Messenger
	ownerAddress func(shard string) (address string, ok bool)
}

// NewClient returns a client; owner returns the address (host:port) of a shard's
// present owner.
func NewClient(m *messenger.Messenger, owner func(shard string) (address string, ok bool)) *Client {
	return &Client{messenger: m, ownerAddress: owner}
}

// call sends a call to the owner of its shard. Errors of the owner keep their kind.
// A network error is both ErrNotRun and ErrNotOwner when the call certainly did not
// arrive, else ErrOutcomeUnknown.
func (c *Client) call(ctx context.Context, call *callMessage) (*responseMessage, error) {
	address, ok := c.ownerAddress(call.Shard)
	if !ok {
		return nil, fmt.Errorf("%w: %w: shard %s has none in reach", ErrNotRun, ErrNotOwner, call.Shard)
	}
	response, err := messenger.Call[callMessage, responseMessage](ctx, c.messenger, address, procedure, call)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return nil, fmt.Errorf("%w: %w: shard %s: %w", ErrNotRun, ErrNotOwner, call.Shard, err)
		}
		return nil, fmt.Errorf("%w: owner of shard %s: %w", ErrOutcomeUnknown, call.Shard, err)
	}
	if err := response.err(); err != nil {
		return nil, err
	}
	return response, nil
}

// Submit calls Scheduler.Submit at the owner of the shard.
func (c *Client) Submit(ctx context.Context, shard string, spec placer.JobSpec, requestID string) (Receipt, error) {
	response, err := c.call(ctx, &callMessage{Verb: verbSubmit, Shard: shard, Spec: newSpecRecord(spec), Request: requestID})
	if err != nil {
		return Receipt{}, err
	}
	return Receipt{jobID: response.Job, created: response.First}, nil
}

// Claim calls Scheduler.Claim at the owner of the shard.
func (c *Client) Claim(ctx context.Context, shard, team, requestID, holder string, digest uint64) (Claim, error) {
	response, err := c.call(ctx, &callMessage{Verb: verbClaim, Shard: shard, Team: team, Request: requestID, Holder: holder, Digest: digest})
	if err != nil {
		return Claim{}, err
	}
	return Claim{granted: response.Granted, holder: response.Holder, outcome: response.Outcome}, nil
}

// Settle calls Scheduler.Settle at the owner of the shard.
func (c *Client) Settle(ctx context.Context, shard, team, requestID, holder string, outcome Outcome) error {
	_, err := c.call(ctx, &callMessage{Verb: verbSettle, Shard: shard, Team: team, Request: requestID, Holder: holder, Outcome: outcome})
	return err
}

// Transfer calls Scheduler.Accept at the owner of the target shard.
func (c *Client) Transfer(ctx context.Context, t Transfer) error {
	_, err := c.call(ctx, &callMessage{Verb: verbTransfer, Shard: t.target, Record: &t.record})
	return err
}

// Job returns the status of a job, wherever it has moved to.
func (c *Client) Job(ctx context.Context, id string) (Status, error) {
	return c.status(ctx, id, verbJob, 0)
}

// status returns the status of a job from the shard that has it. v is verbJob or verbWait.
func (c *Client) status(ctx context.Context, id string, v verb, wait time.Duration) (Status, error) {
	shard := ShardOf(id)
	for range maxHops {
		response, err := c.call(ctx, &callMessage{Verb: v, Shard: shard, Job: id, Wait: wait})
		if err != nil {
			return Status{}, err
		}
		if len(response.Statuses) != 1 {
			return Status{}, fmt.Errorf("%w: job %q", ErrNotFound, id)
		}
		status := response.Statuses[0].status()
		if status.state != Moved {
			return status, nil
		}
		shard = status.target
	}
	return Status{}, fmt.Errorf("%w: job %q moved more than %d times", ErrNotFound, id, maxHops)
}

// Wait returns the status of a job once it has ended, also when its owner or its shard
// changes meanwhile. Errors: ErrNotFound, and that of the context if it ends before.
func (c *Client) Wait(ctx context.Context, id string) (Status, error) {
	for {
		wait := defaultWait
		if deadline, ok := ctx.Deadline(); ok {
			wait = max(time.Until(deadline), minWaitCall)
		}
		wait = min(wait, maxServedWait)
		callCtx, cancel := context.WithTimeout(ctx, wait+waitMargin)
		status, err := c.status(callCtx, id, verbWait, wait)
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
		case <-time.After(waitRetryDelay):
		}
	}
}

// callFollowingMoves sends a call about a job to the owner of the shard that has the job.
func (c *Client) callFollowingMoves(ctx context.Context, id string, v verb) (*responseMessage, error) {
	response, err := c.call(ctx, &callMessage{Verb: v, Shard: ShardOf(id), Job: id})
	for range maxHops {
		if !errors.Is(err, ErrMoved) {
			return response, err
		}
		shard, locateErr := c.locate(ctx, id)
		if locateErr != nil {
			return nil, locateErr
		}
		response, err = c.call(ctx, &callMessage{Verb: v, Shard: shard, Job: id})
	}
	return response, err
}

// locate returns the shard that has a job.
func (c *Client) locate(ctx context.Context, id string) (string, error) {
	shard := ShardOf(id)
	for range maxHops {
		response, err := c.call(ctx, &callMessage{Verb: verbJob, Shard: shard, Job: id})
		if err != nil {
			return "", err
		}
		if len(response.Statuses) != 1 || response.Statuses[0].State != Moved {
			return shard, nil
		}
		shard = response.Statuses[0].Target
	}
	return "", fmt.Errorf("%w: job %q moved more than %d times", ErrNotFound, id, maxHops)
}

// Cancel calls Scheduler.Cancel for a job, wherever it has moved to.
func (c *Client) Cancel(ctx context.Context, id string) error {
	_, err := c.callFollowingMoves(ctx, id, verbCancel)
	return err
}

// Explain calls Scheduler.Explain for a job, wherever it has moved to.
func (c *Client) Explain(ctx context.Context, id string) (string, error) {
	response, err := c.callFollowingMoves(ctx, id, verbExplain)
	if err != nil {
		return "", err
	}
	return response.Text, nil
}

// List calls Scheduler.List at the owner of the shard.
func (c *Client) List(ctx context.Context, shard, team, after string, limit int) ([]Status, error) {
	response, err := c.call(ctx, &callMessage{Verb: verbList, Shard: shard, Team: team, After: after, Limit: limit})
	if err != nil {
		return nil, err
	}
	list := make([]Status, 0, len(response.Statuses))
	for _, m := range response.Statuses {
		list = append(list, m.status())
	}
	return list, nil
}
