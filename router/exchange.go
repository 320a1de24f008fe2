package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

// stallTime is from when on a request that met its deadline counts as a failure
// of the executor; below it, the deadline was short.
const stallTime = time.Second

// processID and requestCount make correlation ids unique.
var (
	processID    = uuid.NewString()
	requestCount atomic.Uint64
)

// newCorrelation returns an id that no other request has.
func newCorrelation() string {
	return processID + "-" + strconv.FormatUint(requestCount.Add(1), 36)
}

// exchange sends the request to the slot's executor and its answer to the
// caller. Again reports whether another try is safe.
func (u *urgent) exchange(ctx context.Context, slot Slot) (err error, again bool) { //nolint:revive // The error is the answer.
	start := u.router.now()
	correlation := newCorrelation()
	transport := u.router.pool.transport(slot)
	response, delivery, err := send(ctx, transport, u.outgoing(ctx, slot, correlation), u.abortUpload())
	if err != nil {
		reached := delivery.reached()
		slot.free(reached)
		u.reportFailure(ctx, slot.executor, start)
		return u.sendProblem(ctx, err, reached)
	}
	defer response.Body.Close() //nolint:errcheck // Nothing is left to be told.
	if echoed := response.Header.Get(CorrelationHeader); echoed != "" && echoed != correlation {
		delivery.cut()
		slot.free(true)
		u.reportFailure(ctx, slot.executor, start)
		u.router.stats.crossed.Add(1)
		u.router.logger.Error("answer of another request", "service", u.service, "executor", slot.executor)
		return u.sendProblem(ctx, errCrossed, true)
	}
	u.router.ejector.Report(u.service, slot.executor, !isFailure(response.StatusCode), u.router.now().Sub(start))
	err, again = u.deliver(ctx, response, Ran, slot.free)
	if err != nil {
		delivery.cut()
	}
	return err, again
}

// errCrossed means that an answer belongs to another request.
var errCrossed = errors.New("answer of another request")

// outgoing returns the request as the executor sees it. The caller's key stays
// here.
func (u *urgent) outgoing(ctx context.Context, slot Slot, correlation string) *http.Request {
	header := make(http.Header, len(u.request.Header)+4)
	copyEndToEnd(header, u.request.Header)
	header.Del("Authorization")
	header.Del("Expect")
	header.Set(CorrelationHeader, correlation)
	header.Set(TeamHeader, u.team)
	header.Set(DeadlineHeader, leftHeader(ctx))
	if u.caller != "" {
		header.Set(RequestIDHeader, u.caller)
	}
	return u.newRequest("http", slot.address, u.path, header)
}

// newRequest returns a request with the caller's method, query and body.
func (u *urgent) newRequest(scheme, address, path string, header http.Header) *http.Request {
	target := &url.URL{Scheme: scheme, Host: address, RawQuery: u.request.URL.RawQuery}
	target.Path, target.RawPath = path, path
	if plain, err := url.PathUnescape(path); err == nil {
		target.Path = plain
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // The transport adds its own otherwise.
	}
	return &http.Request{
		Method: u.request.Method, URL: target, Host: address, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: u.payload.reader(u.idempotent), ContentLength: u.payload.length,
	}
}

// sendProblem returns the answer for a request that got none. Reached says that a
// byte of it may have left.
func (u *urgent) sendProblem(ctx context.Context, err error, reached bool) (answer error, again bool) { //nolint:revive // The error is the answer.
	outcome := NotRun
	if reached {
		outcome = Unknown
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return bodyProblem(err).WithOutcome(outcome), false
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return NewProblem(http.StatusGatewayTimeout, "deadline", "the deadline has passed").WithOutcome(outcome), false
	case !reached:
		return NewProblem(http.StatusServiceUnavailable, "unreachable", "the executor could not be reached"), true
	}
	problem := NewProblem(http.StatusBadGateway, "unknown", "the executor gave no answer; the request may have run")
	return problem.WithOutcome(Unknown), u.idempotent
}

// reportFailure counts a failure of the executor, unless the caller left or had
// set a short deadline.
func (u *urgent) reportFailure(ctx context.Context, executor string, start time.Time) {
	elapsed := u.router.now().Sub(start)
	if u.request.Context().Err() != nil || (ctx.Err() != nil && elapsed < stallTime) {
		return
	}
	u.router.ejector.Report(u.service, executor, false, elapsed)
}

// isFailure reports whether a status tells of a fault of the executor.
func isFailure(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// deliver sends the answer to the caller. Free is called once, with whether the
// answer was cut off.
func (u *urgent) deliver(ctx context.Context, response *http.Response, outcome Outcome, free func(abandoned bool)) (err error, again bool) { //nolint:revive // The error is the answer.
	if response.StatusCode == http.StatusSwitchingProtocols {
		free(true)
		return NewProblem(http.StatusBadGateway, "protocol", "the executor changed the protocol").WithOutcome(Unknown), false
	}
	u.status = response.StatusCode
	if u.request.Method == http.MethodHead || (response.ContentLength >= 0 && response.ContentLength <= bufferLimit) {
		return u.deliverWhole(ctx, response, outcome, free)
	}
	u.writeHeader(response, outcome)
	err = u.stream(ctx, response)
	free(err != nil)
	return err, false
}

// deliverWhole reads a small answer before any of it is sent on, so that a cut
// one is told truly.
func (u *urgent) deliverWhole(ctx context.Context, response *http.Response, outcome Outcome, free func(bool)) (err error, again bool) { //nolint:revive // The error is the answer.
	var body []byte
	if u.request.Method != http.MethodHead {
		body = make([]byte, response.ContentLength)
		if _, err := io.ReadFull(response.Body, body); err != nil {
			free(true)
			return u.sendProblem(ctx, err, true)
		}
	}
	free(false)
	u.writeHeader(response, outcome)
	_, _ = u.w.Write(body)
	return nil, false
}

// writeHeader sends status and headers of the answer.
func (u *urgent) writeHeader(response *http.Response, outcome Outcome) {
	header := u.w.Header()
	copyEndToEnd(header, response.Header)
	header.Set(OutcomeHeader, string(outcome))
	u.w.WriteHeader(response.StatusCode)
}
