package router

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// servicePrefix is the prefix of the paths of urgent requests.
const servicePrefix = "/v1/services/"

// localSlotWait limits the wait for a local slot when no other data centre can take
// the request.
const localSlotWait = time.Second

// canceledContext is already done, so a call with it does not wait.
var canceledContext = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

// errAborted means that the response had begun and can't be completed. The caller's
// connection is closed, so that the caller notices the incomplete response.
var errAborted = errors.New("response aborted")

// urgentRequest is an urgent request being served.
type urgentRequest struct {
	router          *Router
	w               http.ResponseWriter
	request         *http.Request // as received from the caller
	service         string
	path            string // escaped, begins with a slash
	team            string
	requestID       string // the caller's id of the request, may be empty
	policy          Policy
	timeout         time.Duration // above 0
	idempotent      bool
	forwarded       bool // received from another entry VM; must not be forwarded again
	claimed         bool // requestID is recorded and not yet settled
	payload         *payload
	failedExecutors []string // executors that failed this request
	executor        string   // executor chosen last, empty if none
	status          int      // HTTP status of the response
}

// serveRequest sends an urgent request to an executor and the response back to the
// caller.
func (r *Router) serveRequest(w http.ResponseWriter, request *http.Request) {
	start := r.now()
	u, err := r.newUrgentRequest(w, request)
	if err == nil {
		err = u.serve(request.Context())
	}
	decision := Decision{service: u.service, team: u.team, executor: u.executor, status: u.status, outcome: Ran}
	if err != nil {
		decision.outcome = u.respondError(err)
		decision.status = u.status
	}
	decision.duration = r.now().Sub(start)
	r.stats.count(decision)
	if r.observe != nil {
		r.observe(decision)
	}
	if errors.Is(err, errAborted) {
		panic(http.ErrAbortHandler)
	}
}

// newUrgentRequest validates the request and its key. The result is never nil, even with
// an error.
func (r *Router) newUrgentRequest(w http.ResponseWriter, request *http.Request) (*urgentRequest, error) {
	u := &urgentRequest{router: r, w: w, request: request}
	if err := u.parsePath(); err != nil {
		return u, err
	}
	policy, known := r.policyOf(u.service)
	team, err := r.teamOf(request, known && policy.open)
	if err != nil {
		return u, err
	}
	if !known {
		return u, ErrNotFound
	}
	u.team, u.policy = team, policy
	return u, u.parseHeader()
}

// parsePath sets the service and the path that its executors receive.
func (u *urgentRequest) parsePath() error {
	switch u.request.Method {
	case http.MethodConnect, http.MethodTrace:
		return NewProblem(http.StatusMethodNotAllowed, "method", "method not allowed")
	}
	target, ok := strings.CutPrefix(u.request.URL.EscapedPath(), servicePrefix)
	if !ok {
		return ErrNotFound
	}
	// HTTP/2 allows a space here, which would end the request target in HTTP/1.
	if strings.ContainsFunc(u.request.URL.RawQuery, func(c rune) bool { return c <= ' ' || c == unicode.MaxASCII }) {
		return NewProblem(http.StatusBadRequest, "query", "the query holds a space or a control character")
	}
	name, path, _ := strings.Cut(target, "/")
	service, err := url.PathUnescape(name)
	if err != nil || !isValidName(service) {
		return ErrNotFound
	}
	u.service, u.path = service, "/"+path
	return nil
}

// parseHeader reads the deadline, the request id, whether the request is idempotent and
// whether another entry VM has forwarded it.
func (u *urgentRequest) parseHeader() error {
	remaining, err := parseRemainingTime(u.request.Header)
	if err != nil {
		return err
	}
	u.timeout = u.policy.timeout
	if remaining > 0 {
		u.timeout = min(remaining, u.timeout)
	}
	u.requestID = u.request.Header.Get(RequestIDHeader)
	if !isValidName(u.requestID) {
		return NewProblem(http.StatusBadRequest, "request", RequestIDHeader+" must be a short printable id")
	}
	u.idempotent = isIdempotent(u.request)
	u.forwarded = u.request.Header.Get(HopHeader) != ""
	return nil
}

// serve admits the request, sends it and settles a claimed request id.
func (u *urgentRequest) serve(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, u.timeout)
	defer cancel()
	body, err := readPayload(u.w, u.request, u.policy.limit)
	if err != nil {
		return err
	}
	u.payload = body
	defer body.finish()
	if body.stream != nil {
		// An executor may begin to respond before it has read the whole body.
		_ = http.NewResponseController(u.w).EnableFullDuplex()
		stop := context.AfterFunc(ctx, body.abort)
		defer stop()
	}
	if u.router.requests.Admit != nil {
		done, err := u.router.requests.Admit(ctx, u.team)
		if err != nil {
			return asNotRun(err)
		}
		defer done()
	}
	u.router.budget.deposit()
	err = u.sendWithRetries(ctx)
	u.settle(ctx, err)
	return err
}

// asNotRun turns a context error into a problem with the outcome NotRun, for use before
// the request is sent. It returns other errors unchanged.
func asNotRun(err error) error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return NewProblem(http.StatusGatewayTimeout, "deadline", "the deadline passed before the request was sent")
	}
	return err
}

// sendWithRetries sends the request. After a failure it retries while that is safe and
// the retry budget allows it.
func (u *urgentRequest) sendWithRetries(ctx context.Context) error {
	for attempt := 0; ; attempt++ {
		err, retryable := u.sendOnce(ctx, attempt)
		if err == nil || !retryable || attempt >= maxRetries || !u.payload.replayable() {
			return err
		}
		if !u.router.budget.withdraw() || backOff(ctx, attempt) != nil {
			return err
		}
		u.router.stats.retries.Add(1)
	}
}

// sendOnce makes one attempt to send the request. retryable reports whether another
// attempt is safe.
func (u *urgentRequest) sendOnce(ctx context.Context, attempt int) (err error, retryable bool) { //nolint:revive // The error is the main result.
	slot, err := u.acquireSlot(ctx, u.initialSlotWait())
	if errors.Is(err, ErrNoSlot) && u.canForward() {
		if err := u.forward(ctx); !errors.Is(err, ErrNoSlot) {
			return err, false
		}
		slot, err = u.acquireSlot(ctx, localSlotWait) // No other data centre has a free slot either.
	}
	if err != nil {
		return asNotRun(err), false
	}
	if err := u.claim(ctx); err != nil {
		slot.free(false)
		return err, false
	}
	u.executor = slot.executor
	u.router.logger.Info("request routed", "service", u.service, "team", u.team, "executor", slot.executor, "attempt", attempt)
	u.router.ejector.Begin(u.service, slot.executor)
	err, retryable = u.exchange(ctx, slot)
	if err != nil {
		u.failedExecutors = append(u.failedExecutors, slot.executor)
	}
	return err, retryable
}

// initialSlotWait returns how long to wait for a local slot before the request is
// forwarded or refused. The wait is short if another data centre may take the request.
func (u *urgentRequest) initialSlotWait() time.Duration {
	if u.canForward() {
		return u.router.slotWait
	}
	return localSlotWait
}

// acquireSlot returns a slot, or ErrNoSlot if none becomes free within wait.
func (u *urgentRequest) acquireSlot(ctx context.Context, wait time.Duration) (Slot, error) {
	// Most requests get a slot at once and need no timer.
	slot, err := u.router.requests.Acquire(canceledContext, u.service, u.avoid) //nolint:contextcheck // This call must not wait.
	if err == nil {
		return slot, nil
	}
	bounded, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	slot, err = u.router.requests.Acquire(bounded, u.service, u.avoid)
	if err != nil && ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) {
		return Slot{}, ErrNoSlot
	}
	return slot, err
}

// avoid reports whether the executor should not get this request, because an earlier
// attempt at this executor failed or the executor is ejected.
func (u *urgentRequest) avoid(executor string) bool {
	for _, failed := range u.failedExecutors {
		if failed == executor {
			return true
		}
	}
	return u.router.ejector.Avoid(u.service, executor)
}

// claim records the request id of a request that must not run twice.
func (u *urgentRequest) claim(ctx context.Context) error {
	if u.idempotent || u.requestID == "" || u.claimed || u.router.requests.Claim == nil {
		return nil
	}
	first, outcome, err := u.router.requests.Claim(ctx, u.team, u.service, u.requestID)
	if err != nil {
		return err // A claim that timed out may still be recorded, so the outcome is unknown.
	}
	if !first {
		return NewProblem(http.StatusConflict, "duplicate", "a request with this id was sent before").WithOutcome(outcome)
	}
	u.claimed = true
	return nil
}

// settle records the outcome of a claimed request.
func (u *urgentRequest) settle(ctx context.Context, err error) {
	if !u.claimed {
		return
	}
	u.claimed = false
	outcome := Ran
	if err != nil {
		outcome = outcomeOf(err)
	}
	u.router.requests.Settle(context.WithoutCancel(ctx), u.team, u.service, u.requestID, outcome)
}

// outcomeOf returns the outcome of a request that ended with err.
func outcomeOf(err error) Outcome {
	if errors.Is(err, errAborted) {
		return Unknown
	}
	return problemOf(err).outcome
}

// respondError sends err to the caller, unless a response has begun, and returns the
// outcome of the request.
func (u *urgentRequest) respondError(err error) Outcome {
	if errors.Is(err, errAborted) {
		u.router.logger.Warn("response aborted", "service", u.service, "team", u.team, "executor", u.executor)
		return Unknown
	}
	problem := problemOf(err)
	u.status = problem.status
	u.router.logger.Info("request refused", "service", u.service, "team", u.team, "code", problem.code,
		"outcome", problem.outcome, "reason", problem.detail)
	u.stopUpload()
	problem.write(u.w)
	return problem.outcome
}

// stopUpload stops reading a streamed body, so that an error response doesn't wait for
// the rest of the body.
func (u *urgentRequest) stopUpload() {
	if u.payload == nil || u.payload.stream == nil {
		return
	}
	u.w.Header().Set("Connection", "close")
	_ = http.NewResponseController(u.w).SetReadDeadline(time.Now())
}

// uploadAborter returns the function that stops reading a streamed body, or nil if the
// body was read whole.
func (u *urgentRequest) uploadAborter() func() {
	if u.payload.stream == nil {
		return nil
	}
	return u.payload.abort
}

// remainingMillis returns the time left for the request in milliseconds, at least 1, or
// "" if it has no deadline.
func remainingMillis(ctx context.Context) string {
	deadline, ok := ctx.Deadline()
	if !ok {
		return ""
	}
	return strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10)
}
