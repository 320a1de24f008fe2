package conductor

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"filberthaven.example/journaler"
	"filberthaven.example/planner"
	"filberthaven.example/platform"
)

// Request is a caller's request, as the entry VM that took it passes it on.
type Request struct {
	Method string `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint"`
	Path   string `cbor:"3,keyasint"`
	Key    string `cbor:"4,keyasint,omitempty"`
	Body   []byte `cbor:"5,keyasint,omitempty"`
}

// Response is what the caller is told.
type Response struct {
	Status     int    `cbor:"1,keyasint"`
	Body       []byte `cbor:"2,keyasint,omitempty"`
	RetryAfter int    `cbor:"3,keyasint,omitempty"` // s, when to come back
	// Retryable means that the request has not run and may be served if it is tried
	// again soon; NotReady that the owner serves nobody yet.
	Retryable bool `cbor:"4,keyasint,omitempty"`
	NotReady  bool `cbor:"5,keyasint,omitempty"`
}

// table finds the queue of a request and the team of a key.
type table struct {
	queues []planner.Queue
	teams  map[string]string // by key
}

func newTable(config planner.Config) table {
	t := table{queues: config.Queues, teams: map[string]string{}}
	for _, team := range config.Teams {
		for _, key := range team.Keys {
			t.teams[key] = team.Name
		}
	}
	return t
}

// queue returns the queue with the longest prefix of the path at that host.
func (t *table) queue(host, path string) (planner.Queue, bool) {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	var best planner.Queue
	found := false
	for _, q := range t.queues {
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.Prefix) && (!found || len(q.Prefix) > len(best.Prefix)) {
			best, found = q, true
		}
	}
	return best, found
}

// returnAfter is when a caller may come back after an outage of the store, in
// seconds.
const returnAfter = 1

func plain(status int, reason string) Response {
	return Response{Status: status, Body: platform.ErrorBody(reason)}
}

func unavailable(reason string) Response {
	a := plain(http.StatusServiceUnavailable, reason)
	a.RetryAfter, a.Retryable = returnAfter, true
	return a
}

// Serve answers a caller's request.
func (c *Conductor) Serve(ctx context.Context, call Request) Response {
	fresh := c.fresh()
	c.mu.Lock()
	if !c.open || !fresh || !c.valid() {
		c.mu.Unlock()
		a := unavailable("the owner is not ready")
		a.NotReady = true
		return a
	}
	queue, found := c.table.queue(call.Host, call.Path)
	team, known := c.table.teams[call.Key]
	c.mu.Unlock()
	rest := strings.TrimPrefix(call.Path, queue.Prefix)
	switch {
	case !found:
		return plain(http.StatusNotFound, "no such queue")
	case !queue.Public && !known:
		return plain(http.StatusUnauthorized, "unknown key")
	case rest == "" && call.Method == http.MethodGet:
		c.mu.Lock()
		n := c.planner.Pending(queue.Name)
		c.mu.Unlock()
		return Response{Status: http.StatusOK, Body: platform.PendingBody(n)}
	case !platform.ValidJobID(rest):
		return plain(http.StatusBadRequest, "not the id of a job")
	}
	if queue.Public {
		team = ""
	}
	switch call.Method {
	case http.MethodPost:
		return c.submit(ctx, queue, team, rest, call.Body)
	case http.MethodGet:
		return c.state(queue, team, rest)
	case http.MethodDelete:
		return c.cancel(ctx, team, rest)
	default:
		return plain(http.StatusMethodNotAllowed, "method not known")
	}
}

func (c *Conductor) state(queue planner.Queue, team, id string) Response {
	c.mu.Lock()
	state, known := c.planner.State(id, queue.Name, team)
	c.mu.Unlock()
	if !known {
		return plain(http.StatusGone, "no such job")
	}
	return Response{Status: http.StatusOK, Body: platform.StateBody(state)}
}

// submit accepts a job once the journal holds it.
func (c *Conductor) submit(ctx context.Context, queue planner.Queue, team, id string, body []byte) Response {
	begun := c.now()
	spec, err := platform.DecodeJob(body)
	if err != nil {
		return plain(http.StatusBadRequest, err.Error())
	}
	spec.ID, spec.Queue, spec.Team, spec.Accepted = id, queue.Name, team, wallClock()
	record, err := planner.Record{Job: &spec, At: spec.Accepted}.Encode()
	if err != nil {
		return plain(http.StatusBadRequest, err.Error())
	}
	stored := make(chan error, 1)
	c.mu.Lock()
	submission, err := c.planner.Submit(spec, begun)
	switch {
	case err == nil && submission.Known && submission.Stored:
		stored <- nil
	case err == nil && submission.Known:
		c.planner.Await(id, planner.Submitted, func(err error) { stored <- err })
	case err == nil:
		err = c.journal.Enqueue(record, func(err error) { c.settle(id, err, stored) })
		if err != nil {
			c.planner.Forget(id)
		}
	}
	c.mu.Unlock()
	if err != nil {
		return c.refuse(id, queue, team, err)
	}
	select {
	case err = <-stored:
	case <-ctx.Done():
		return plain(http.StatusGatewayTimeout, "outcome unknown")
	}
	if err != nil {
		return c.refuse(id, queue, team, err)
	}
	c.figures.acceptTime.Update(c.now() - begun)
	if !submission.Known {
		c.figures.accepted.Inc(1)
		c.log.Info("job accepted", "job", id, "queue", queue.Name, "team", team, "steps", len(spec.Steps), "version", c.version())
	}
	return Response{Status: http.StatusOK, Body: platform.StateBody(planner.Queued)}
}

// settle tells the planner and the caller whether the journal holds a job.
func (c *Conductor) settle(id string, err error, stored chan<- error) {
	c.mu.Lock()
	if err == nil {
		c.planner.Stored(id)
	} else {
		c.planner.Forget(id)
	}
	waiting := c.planner.TakeWaiters(id, planner.Submitted)
	c.mu.Unlock()
	stored <- err
	for _, tell := range waiting {
		tell(err)
	}
	c.wake()
}

func (c *Conductor) version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.Version()
}

// refuse tells why a job was not accepted. Nothing of it runs, unless the answer
// says that the outcome is unknown.
func (c *Conductor) refuse(id string, queue planner.Queue, team string, err error) Response {
	var refusal *planner.RefusalError
	switch {
	case errors.As(err, &refusal):
		c.figures.refused.Inc(1)
		c.log.Info("job refused", "job", id, "queue", queue.Name, "team", team, "reason", refusal.Reason, "after", refusal.RetryAfter,
			"wait", refusal.Wait, "slack", refusal.Slack)
		a := plain(http.StatusTooManyRequests, refusal.Reason)
		a.RetryAfter = int(refusal.RetryAfter / time.Second)
		return a
	case errors.Is(err, planner.ErrInvalidJob):
		c.log.Info("job refused", "job", id, "queue", queue.Name, "team", team, "reason", err)
		return plain(http.StatusBadRequest, err.Error())
	case errors.Is(err, planner.ErrUnsupported):
		c.log.Info("job refused", "job", id, "queue", queue.Name, "team", team, "reason", err)
		return plain(http.StatusServiceUnavailable, err.Error())
	case errors.Is(err, journaler.ErrOutcomeUnknown):
		c.figures.unavailable.Inc(1)
		c.log.Warn("outcome of a job unknown", "job", id, "queue", queue.Name, "team", team, "error", err)
		return plain(http.StatusGatewayTimeout, "outcome unknown")
	default:
		c.figures.unavailable.Inc(1)
		c.log.Warn("job not stored", "job", id, "queue", queue.Name, "team", team, "error", err)
		return unavailable("the store is away")
	}
}

// cancel ends a job; the caller is told once the journal holds that, also when the
// job had ended before.
func (c *Conductor) cancel(ctx context.Context, team, id string) Response {
	stored := make(chan struct{}, 1)
	c.mu.Lock()
	cancelled := c.planner.Cancel(id, team, c.now())
	jobs := c.planner.TakeEnded()
	if cancelled.Known && !cancelled.Stored {
		c.planner.Await(id, planner.Concluded, func(error) { stored <- struct{}{} })
	}
	c.mu.Unlock()
	switch {
	case !cancelled.Known:
		return plain(http.StatusGone, "no such job")
	case cancelled.Stored:
		return Response{Status: http.StatusOK, Body: platform.StateBody(planner.Cancelled)}
	case !cancelled.Ended:
		c.log.Info("job cancelled", "job", id, "team", team)
		c.keep(planner.Record{Cancel: id}, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.show(jobs)
		})
		c.wake()
	}
	select {
	case <-stored:
		return Response{Status: http.StatusOK, Body: platform.StateBody(planner.Cancelled)}
	case <-ctx.Done():
		return plain(http.StatusGatewayTimeout, "outcome unknown")
	}
}
