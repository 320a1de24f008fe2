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

// Request is a caller's request as forwarded by the entry VM that received it.
type Request struct {
	Method string `cbor:"1,keyasint"`
	Host   string `cbor:"2,keyasint"`
	Path   string `cbor:"3,keyasint"`
	Key    string `cbor:"4,keyasint,omitempty"`
	Body   []byte `cbor:"5,keyasint,omitempty"`
}

// Response is the answer to a Request.
type Response struct {
	Status     int    `cbor:"1,keyasint"`
	Body       []byte `cbor:"2,keyasint,omitempty"`
	RetryAfter int    `cbor:"3,keyasint,omitempty"` // value of the Retry-After header, in seconds
	// Retryable means that the request had no effect and may succeed if it is
	// retried soon. NotReady means that the owner serves no requests now.
	Retryable bool `cbor:"4,keyasint,omitempty"`
	NotReady  bool `cbor:"5,keyasint,omitempty"`
}

// routingTable maps requests to queues and API keys to teams.
type routingTable struct {
	queues []planner.Queue
	teams  map[string]string // team name by API key
}

func newRoutingTable(config planner.Config) routingTable {
	t := routingTable{queues: config.Queues, teams: map[string]string{}}
	for _, team := range config.Teams {
		for _, key := range team.Keys {
			t.teams[key] = team.Name
		}
	}
	return t
}

// queue returns the queue for a request: of the queues of that host, the one whose prefix
// is the longest match for the path. A port in host is ignored.
func (t *routingTable) queue(host, path string) (planner.Queue, bool) {
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

// unavailableRetryAfter is the Retry-After value, in seconds, of responses while the
// owner cannot serve, as during an outage of the store.
const unavailableRetryAfter = 1

func errorResponse(status int, reason string) Response {
	return Response{Status: status, Body: platform.ErrorBody(reason)}
}

// unavailable returns the response to a request that had no effect and may be retried.
func unavailable(reason string) Response {
	response := errorResponse(http.StatusServiceUnavailable, reason)
	response.RetryAfter, response.Retryable = unavailableRetryAfter, true
	return response
}

// Serve authenticates a caller's request and submits, queries or cancels a job, or
// counts the pending jobs of a queue. It returns once the effect of the request is
// persisted, or when ctx ends.
func (c *Conductor) Serve(ctx context.Context, request Request) Response {
	upToDate := c.upToDate()
	c.mu.Lock()
	if !c.ready || !upToDate || !c.isOwner() {
		c.mu.Unlock()
		response := unavailable("the owner is not ready")
		response.NotReady = true
		return response
	}
	queue, found := c.routing.queue(request.Host, request.Path)
	team, known := c.routing.teams[request.Key]
	c.mu.Unlock()
	if response, refused := screen(queue, found, known); refused {
		return response
	}
	jobID := strings.TrimPrefix(request.Path, queue.Prefix)
	switch {
	case jobID == "" && request.Method == http.MethodGet:
		c.mu.Lock()
		n := c.planner.Pending(queue.Name)
		c.mu.Unlock()
		c.log.Info("pending jobs counted", "queue", queue.Name, "pending", n)
		return Response{Status: http.StatusOK, Body: platform.PendingBody(n)}
	case !platform.ValidJobID(jobID):
		return errorResponse(http.StatusBadRequest, "not the id of a job")
	}
	if queue.Public {
		team = ""
	}
	switch request.Method {
	case http.MethodPost:
		return c.submit(ctx, queue, team, jobID, request.Body)
	case http.MethodGet:
		return c.jobState(queue, team, jobID)
	case http.MethodDelete:
		return c.cancel(ctx, team, jobID)
	default:
		return errorResponse(http.StatusMethodNotAllowed, "method not known")
	}
}

// Screen returns the response to a request that is refused whatever its body holds, because of
// an unknown path or key, and whether it is. The owner calls it before it reads the body.
func (c *Conductor) Screen(request Request) (Response, bool) {
	upToDate := c.upToDate()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ready || !upToDate || !c.isOwner() {
		return Response{}, false
	}
	queue, found := c.routing.queue(request.Host, request.Path)
	_, known := c.routing.teams[request.Key]
	return screen(queue, found, known)
}

// screen returns the response to a request without a queue, or without a known key to a queue
// that requires one, and whether there is such a response.
func screen(queue planner.Queue, found, known bool) (Response, bool) {
	switch {
	case !found:
		return errorResponse(http.StatusNotFound, "no such queue"), true
	case !queue.Public && !known:
		return errorResponse(http.StatusUnauthorized, "unknown key"), true
	}
	return Response{}, false
}

func (c *Conductor) jobState(queue planner.Queue, team, id string) Response {
	c.mu.Lock()
	state, known := c.planner.State(id, queue.Name, team)
	c.mu.Unlock()
	if !known {
		return errorResponse(http.StatusGone, "no such job")
	}
	return Response{Status: http.StatusOK, Body: platform.StateBody(state)}
}

// storedState returns the response that tells the state of a job, or that the journal does not
// hold the job, since its submission was refused.
func (c *Conductor) storedState(id string) Response {
	c.mu.Lock()
	state, known := c.planner.StateOf(id)
	c.mu.Unlock()
	if !known {
		return errorResponse(http.StatusGone, "no such job")
	}
	return Response{Status: http.StatusOK, Body: platform.StateBody(state)}
}

// submit admits a job and acknowledges it once the journal holds it. A repeated
// submission waits for the first one, and its response tells the job's state.
func (c *Conductor) submit(ctx context.Context, queue planner.Queue, team, id string, body []byte) Response {
	arrivedAt := c.now()
	spec, err := platform.DecodeJob(body)
	if err != nil {
		return errorResponse(http.StatusBadRequest, err.Error())
	}
	spec.ID, spec.Team, spec.AcceptedAt = id, team, wallClock()
	spec.AcceptIn(queue)
	record, err := planner.Record{Job: &spec, At: spec.AcceptedAt}.Encode()
	if err != nil {
		return errorResponse(http.StatusBadRequest, err.Error())
	}
	stored := make(chan error, 1)
	c.mu.Lock()
	submission, err := c.planner.Submit(spec, arrivedAt)
	switch {
	case err == nil && submission.Known && submission.Stored:
		stored <- nil
	case err == nil && submission.Known:
		c.planner.Await(id, planner.JobStored, func(err error) { stored <- err })
	case err == nil:
		err = c.journal.Enqueue(record, func(err error) { c.finishSubmission(id, err, stored) })
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
		return errorResponse(http.StatusGatewayTimeout, "outcome unknown")
	}
	if err != nil {
		return c.refuse(id, queue, team, err)
	}
	c.metrics.acceptTime.Update(c.now() - arrivedAt)
	if !submission.Known {
		c.metrics.accepted.Inc(1)
		c.log.Info("job accepted", "job", id, "queue", queue.Name, "team", team, "steps", len(spec.Steps), "version", c.configVersion())
	}
	return c.storedState(id)
}

// finishSubmission notifies the planner and all waiting callers that a job was written to
// the journal, or with err that it was not.
func (c *Conductor) finishSubmission(id string, err error, stored chan<- error) {
	c.mu.Lock()
	if err == nil {
		c.planner.MarkStored(id)
	} else {
		c.planner.Forget(id)
	}
	waiters := c.planner.TakeWaiters(id, planner.JobStored)
	c.mu.Unlock()
	stored <- err
	for _, notify := range waiters {
		notify(err)
	}
	c.wake()
}

func (c *Conductor) configVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.planner.Version()
}

// refuse returns the response for a job that was not accepted because of err. The job
// does not run, unless the response says that the outcome is unknown.
func (c *Conductor) refuse(id string, queue planner.Queue, team string, err error) Response {
	var refusal *planner.RefusalError
	switch {
	case errors.As(err, &refusal):
		c.metrics.refused.Inc(1)
		c.log.Info("job refused", "job", id, "queue", queue.Name, "team", team, "reason", refusal.Reason, "after", refusal.RetryAfter,
			"wait", refusal.Wait, "slack", refusal.Slack)
		response := errorResponse(http.StatusTooManyRequests, refusal.Reason)
		response.RetryAfter = int(refusal.RetryAfter / time.Second)
		return response
	case errors.Is(err, planner.ErrInvalidJob):
		c.log.Info("job refused", "job", id, "queue", queue.Name, "team", team, "reason", err)
		return errorResponse(http.StatusBadRequest, err.Error())
	case errors.Is(err, planner.ErrUnsupported):
		c.log.Info("job refused", "job", id, "queue", queue.Name, "team", team, "reason", err)
		return errorResponse(http.StatusServiceUnavailable, err.Error())
	case errors.Is(err, journaler.ErrOutcomeUnknown):
		c.metrics.unavailable.Inc(1)
		c.log.Warn("job may have been stored, outcome unknown", "job", id, "queue", queue.Name, "team", team, "error", err)
		return errorResponse(http.StatusGatewayTimeout, "outcome unknown")
	default:
		c.metrics.unavailable.Inc(1)
		c.log.Warn("job not stored", "job", id, "queue", queue.Name, "team", team, "error", err)
		return unavailable("the store is away")
	}
}

// cancel ends a job and responds once the journal holds its end. The response to a cancel
// of a job that has already ended tells how it ended.
func (c *Conductor) cancel(ctx context.Context, team, id string) Response {
	stored := make(chan struct{}, 1)
	c.mu.Lock()
	cancellation := c.planner.Cancel(id, team, c.now())
	if cancellation.Known && !cancellation.Stored {
		c.planner.Await(id, planner.JobEndStored, func(error) { stored <- struct{}{} })
	}
	if cancellation.Known && !cancellation.Ended {
		c.persist(planner.Record{Cancel: id}, nil)
	}
	c.mu.Unlock()
	switch {
	case !cancellation.Known:
		return errorResponse(http.StatusGone, "no such job")
	case cancellation.Stored:
		return c.storedState(id)
	case !cancellation.Ended:
		c.log.Info("job cancelled", "job", id, "team", team)
		c.wake()
	}
	select {
	case <-stored:
		return c.storedState(id)
	case <-ctx.Done():
		return errorResponse(http.StatusGatewayTimeout, "outcome unknown")
	}
}
