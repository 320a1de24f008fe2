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

// servicePrefix begins the paths of urgent requests.
const servicePrefix = "/v1/services/"

// queueWait bounds the wait for a slot when no other data centre has room.
const queueWait = time.Second

// expired is a context that is done: a call with it does not wait.
var expired = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

// errAborted means that the answer had begun and can't be completed; the
// caller's connection ends, so that it sees a cut answer.
var errAborted = errors.New("answer cut off")

// urgent is one urgent request on its way.
type urgent struct {
	router     *Router
	w          http.ResponseWriter
	request    *http.Request // the caller's
	service    string
	path       string // escaped, begins with a slash
	team       string
	caller     string // the caller's own id, may be empty
	policy     Policy
	timeout    time.Duration // above 0
	idempotent bool
	passed     bool // came from another entry VM, goes no further
	claimed    bool // the caller's id is recorded and not settled
	payload    *payload
	tried      []string // executors that failed this request
	executor   string   // the last one chosen
	status     int      // of the answer
}

// serveRequest passes an urgent request to an executor and its answer back.
func (r *Router) serveRequest(w http.ResponseWriter, request *http.Request) {
	start := r.now()
	u, err := r.newUrgent(w, request)
	if err == nil {
		err = u.serve(request.Context())
	}
	decision := Decision{service: u.service, team: u.team, executor: u.executor, status: u.status, outcome: Ran}
	if err != nil {
		decision.outcome = u.refuse(err)
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

// newUrgent checks the request. The result is never nil.
func (r *Router) newUrgent(w http.ResponseWriter, request *http.Request) (*urgent, error) {
	u := &urgent{router: r, w: w, request: request}
	if err := u.parsePath(); err != nil {
		return u, err
	}
	policy, known := r.service(u.service)
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

// parsePath finds the service and the path that its executors see.
func (u *urgent) parsePath() error {
	switch u.request.Method {
	case http.MethodConnect, http.MethodTrace:
		return NewProblem(http.StatusMethodNotAllowed, "method", "method not allowed")
	}
	rest, ok := strings.CutPrefix(u.request.URL.EscapedPath(), servicePrefix)
	if !ok {
		return ErrNotFound
	}
	// HTTP/2 lets a space through, which would end the target of HTTP/1.
	if strings.ContainsFunc(u.request.URL.RawQuery, func(c rune) bool { return c <= ' ' || c == unicode.MaxASCII }) {
		return NewProblem(http.StatusBadRequest, "query", "the query holds a space or a control character")
	}
	name, path, _ := strings.Cut(rest, "/")
	service, err := url.PathUnescape(name)
	if err != nil || !isName(service) {
		return ErrNotFound
	}
	u.service, u.path = service, "/"+path
	return nil
}

// parseHeader reads deadline, request id and whether the request may run again.
func (u *urgent) parseHeader() error {
	left, err := parseDeadline(u.request.Header)
	if err != nil {
		return err
	}
	u.timeout = u.policy.timeout
	if left > 0 {
		u.timeout = min(left, u.timeout)
	}
	u.caller = u.request.Header.Get(RequestIDHeader)
	if !isName(u.caller) {
		return NewProblem(http.StatusBadRequest, "request", RequestIDHeader+" must be a short printable id")
	}
	u.idempotent = isIdempotent(u.request)
	u.passed = u.request.Header.Get(HopHeader) != ""
	return nil
}

// serve admits the request and sends it until it has a final answer.
func (u *urgent) serve(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, u.timeout)
	defer cancel()
	body, err := readPayload(u.w, u.request, u.policy.limit)
	if err != nil {
		return err
	}
	u.payload = body
	defer body.end()
	if body.stream != nil {
		// An executor may begin to answer before it has read the whole body.
		_ = http.NewResponseController(u.w).EnableFullDuplex()
		stop := context.AfterFunc(ctx, body.abort)
		defer stop()
	}
	if u.router.requests.Admit != nil {
		done, err := u.router.requests.Admit(ctx, u.team)
		if err != nil {
			return notRun(err)
		}
		defer done()
	}
	u.router.budget.earn()
	err = u.try(ctx)
	u.settle(ctx, err)
	return err
}

// notRun turns a deadline that has passed before the request was sent into a
// true refusal.
func notRun(err error) error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return NewProblem(http.StatusGatewayTimeout, "deadline", "the deadline passed before the request was sent")
	}
	return err
}

// try sends the request, again where that is safe and the budget allows.
func (u *urgent) try(ctx context.Context) error {
	for attempt := 0; ; attempt++ {
		err, again := u.attempt(ctx, attempt)
		if err == nil || !again || attempt >= retryLimit || !u.payload.replayable() {
			return err
		}
		if !u.router.budget.spend() || pause(ctx, attempt) != nil {
			return err
		}
		u.router.stats.retries.Add(1)
	}
}

// attempt sends the request once. Again reports whether another try is safe.
func (u *urgent) attempt(ctx context.Context, attempt int) (err error, again bool) { //nolint:revive // The error is the answer.
	slot, err := u.acquire(ctx, u.firstWait())
	if errors.Is(err, ErrNoSlot) && u.canForward() {
		if err := u.forward(ctx); !errors.Is(err, ErrNoSlot) {
			return err, false
		}
		slot, err = u.acquire(ctx, queueWait) // All others are full as well.
	}
	if err != nil {
		return notRun(err), false
	}
	if err := u.claim(ctx); err != nil {
		slot.free(false)
		return err, false
	}
	u.executor = slot.executor
	u.router.logger.Info("request routed", "service", u.service, "team", u.team, "executor", slot.executor, "attempt", attempt)
	u.router.ejector.Begin(u.service, slot.executor)
	err, again = u.exchange(ctx, slot)
	if err != nil {
		u.tried = append(u.tried, slot.executor)
	}
	return err, again
}

// firstWait returns how long to wait for a slot: only a little when another
// data centre may have room.
func (u *urgent) firstWait() time.Duration {
	if u.canForward() {
		return u.router.roomWait
	}
	return queueWait
}

// acquire returns a slot, or ErrNoSlot when none gets free in time.
func (u *urgent) acquire(ctx context.Context, wait time.Duration) (Slot, error) {
	// Most requests find a slot at once and need no timer.
	slot, err := u.router.requests.Acquire(expired, u.service, u.avoid) //nolint:contextcheck // It must not wait.
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

// avoid reports whether the executor should not get this request.
func (u *urgent) avoid(executor string) bool {
	for _, tried := range u.tried {
		if tried == executor {
			return true
		}
	}
	return u.router.ejector.Avoid(u.service, executor)
}

// claim records the caller's id of a request that must not run twice.
func (u *urgent) claim(ctx context.Context) error {
	if u.idempotent || u.caller == "" || u.claimed || u.router.requests.Claim == nil {
		return nil
	}
	first, outcome, err := u.router.requests.Claim(ctx, u.team, u.service, u.caller)
	if err != nil {
		return err // A claim that timed out may yet be recorded, so it is unknown.
	}
	if !first {
		return NewProblem(http.StatusConflict, "duplicate", "a request with this id was sent before").WithOutcome(outcome)
	}
	u.claimed = true
	return nil
}

// settle records what became of a claimed request.
func (u *urgent) settle(ctx context.Context, err error) {
	if !u.claimed {
		return
	}
	u.claimed = false
	outcome := Ran
	if err != nil {
		outcome = outcomeOf(err)
	}
	u.router.requests.Settle(context.WithoutCancel(ctx), u.team, u.service, u.caller, outcome)
}

// outcomeOf returns what became of a request that ended with err.
func outcomeOf(err error) Outcome {
	if errors.Is(err, errAborted) {
		return Unknown
	}
	return problemOf(err).outcome
}

// refuse answers with the error, unless the answer has begun.
func (u *urgent) refuse(err error) Outcome {
	if errors.Is(err, errAborted) {
		u.router.logger.Warn("answer cut off", "service", u.service, "team", u.team, "executor", u.executor)
		return Unknown
	}
	problem := problemOf(err)
	u.status = problem.status
	u.router.logger.Info("request refused", "service", u.service, "team", u.team, "code", problem.code,
		"outcome", problem.outcome, "reason", problem.detail)
	u.endUpload()
	problem.write(u.w)
	return problem.outcome
}

// endUpload stops reading a body that is still under way, so that the answer
// doesn't wait for it.
func (u *urgent) endUpload() {
	if u.payload == nil || u.payload.stream == nil {
		return
	}
	u.w.Header().Set("Connection", "close")
	_ = http.NewResponseController(u.w).SetReadDeadline(time.Now())
}

// abortUpload returns what ends the reading of a stream, nil if there is none.
func (u *urgent) abortUpload() func() {
	if u.payload.stream == nil {
		return nil
	}
	return u.payload.abort
}

// leftHeader returns the milliseconds left for the request, at least 1.
func leftHeader(ctx context.Context) string {
	deadline, ok := ctx.Deadline()
	if !ok {
		return ""
	}
	return strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10)
}
