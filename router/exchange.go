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

// stallThreshold is how long a request must have taken for its missed deadline to count
// as a failure of the executor. A shorter deadline says nothing about the executor.
const stallThreshold = time.Second

// processID and requestCount make correlation ids unique.
var (
	processID    = uuid.NewString()
	requestCount atomic.Uint64
)

// newCorrelation returns a correlation id that is unique across processes.
func newCorrelation() string {
	return processID + "-" + strconv.FormatUint(requestCount.Add(1), 36)
}

// exchange sends the request to the slot's executor and the response to the caller. It
// gives the slot back. retryable reports whether another attempt is safe.
func (u *urgentRequest) exchange(ctx context.Context, slot Slot) (err error, retryable bool) { //nolint:revive // The error is the main result.
	start := u.router.now()
	correlation := newCorrelation()
	transport := u.router.pool.transport(slot)
	response, transmission, err := send(ctx, transport, u.executorRequest(ctx, slot, correlation), u.uploadAborter())
	if err != nil {
		sent := transmission.closeAndReportSent()
		slot.free(sent)
		u.reportFailure(ctx, slot.executor, start)
		return u.sendFailure(ctx, err, sent)
	}
	defer response.Body.Close() //nolint:errcheck // A failed close does not change the outcome.
	if echoed := response.Header.Get(CorrelationHeader); echoed != "" && echoed != correlation {
		transmission.closeConn()
		slot.free(true)
		u.reportFailure(ctx, slot.executor, start)
		u.router.stats.mismatched.Add(1)
		u.router.logger.Error("response belongs to another request", "service", u.service, "executor", slot.executor)
		return u.sendFailure(ctx, errMismatched, true)
	}
	u.router.ejector.Report(u.service, slot.executor, !isFailure(response.StatusCode), u.router.now().Sub(start))
	err, retryable = u.writeResponse(ctx, response, Ran, slot.free)
	if err != nil {
		transmission.closeConn()
	}
	return err, retryable
}

// errMismatched means that a response belongs to another request.
var errMismatched = errors.New("response belongs to another request")

// executorRequest returns the request to send to an executor. It leaves out the caller's
// key.
func (u *urgentRequest) executorRequest(ctx context.Context, slot Slot, correlation string) *http.Request {
	header := make(http.Header, len(u.request.Header)+4)
	copyEndToEnd(header, u.request.Header)
	header.Del("Authorization")
	header.Del("Expect")
	header.Set(CorrelationHeader, correlation)
	header.Set(TeamHeader, u.team)
	header.Set(DeadlineHeader, remainingMillis(ctx))
	if u.requestID != "" {
		header.Set(RequestIDHeader, u.requestID)
	}
	return u.newRequest("http", slot.address, u.path, header)
}

// newRequest returns a request with the given target and headers and the caller's
// method, query and body.
func (u *urgentRequest) newRequest(scheme, address, path string, header http.Header) *http.Request {
	target := &url.URL{Scheme: scheme, Host: address, RawQuery: u.request.URL.RawQuery}
	target.Path, target.RawPath = path, path
	if unescaped, err := url.PathUnescape(path); err == nil {
		target.Path = unescaped
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // Otherwise the transport adds its own.
	}
	return &http.Request{
		Method: u.request.Method, URL: target, Host: address, Header: header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: u.payload.reader(u.idempotent), ContentLength: u.payload.length,
	}
}

// sendFailure returns the problem for a request without a usable response. sent says
// whether a byte of the request may have been sent. retryable reports whether another
// attempt is safe.
func (u *urgentRequest) sendFailure(ctx context.Context, err error, sent bool) (problem error, retryable bool) { //nolint:revive // The error is the main result.
	outcome := NotRun
	if sent {
		outcome = Unknown
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return bodyProblem(err).WithOutcome(outcome), false
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return NewProblem(http.StatusGatewayTimeout, "deadline", "the deadline has passed").WithOutcome(outcome), false
	case !sent:
		return NewProblem(http.StatusServiceUnavailable, "unreachable", "the executor could not be reached"), true
	}
	unknown := NewProblem(http.StatusBadGateway, "unknown", "the executor gave no answer; the request may have run")
	return unknown.WithOutcome(Unknown), u.idempotent
}

// reportFailure reports a failure of the executor to the ejector, unless the caller has
// disconnected or the deadline passed before stallThreshold.
func (u *urgentRequest) reportFailure(ctx context.Context, executor string, start time.Time) {
	elapsed := u.router.now().Sub(start)
	if u.request.Context().Err() != nil || (ctx.Err() != nil && elapsed < stallThreshold) {
		return
	}
	u.router.ejector.Report(u.service, executor, false, elapsed)
}

// isFailure reports whether a status means that the executor is at fault.
func isFailure(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// writeResponse sends the response to the caller. It calls free once; aborted says
// whether the executor's response was cut short.
func (u *urgentRequest) writeResponse(ctx context.Context, response *http.Response, outcome Outcome, free func(aborted bool)) (err error, retryable bool) { //nolint:revive // The error is the main result.
	if response.StatusCode == http.StatusSwitchingProtocols {
		free(true)
		return NewProblem(http.StatusBadGateway, "protocol", "the executor changed the protocol").WithOutcome(Unknown), false
	}
	u.status = response.StatusCode
	if u.request.Method == http.MethodHead || (response.ContentLength >= 0 && response.ContentLength <= maxBufferedBytes) {
		return u.writeBuffered(ctx, response, outcome, free)
	}
	u.writeHeader(response, outcome)
	err = u.stream(ctx, response)
	free(err != nil)
	return err, false
}

// writeBuffered reads a small response whole before it sends any of it. If the executor's
// response is incomplete, the caller thus gets a problem with the outcome Unknown instead
// of a truncated response.
func (u *urgentRequest) writeBuffered(ctx context.Context, response *http.Response, outcome Outcome, free func(bool)) (err error, retryable bool) { //nolint:revive // The error is the main result.
	var body []byte
	if u.request.Method != http.MethodHead {
		body = make([]byte, response.ContentLength)
		if _, err := io.ReadFull(response.Body, body); err != nil {
			free(true)
			return u.sendFailure(ctx, err, true)
		}
	}
	free(false)
	u.writeHeader(response, outcome)
	_, _ = u.w.Write(body)
	return nil, false
}

// writeHeader sends the status and the headers of the response.
func (u *urgentRequest) writeHeader(response *http.Response, outcome Outcome) {
	header := u.w.Header()
	copyEndToEnd(header, response.Header)
	header.Set(OutcomeHeader, string(outcome))
	u.w.WriteHeader(response.StatusCode)
}
