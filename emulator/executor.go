package emulator

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Default limits on the concurrent requests and connections of an executor.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
)

// Headers that the gateway sends to executors.
const (
	correlationHeader = "Filberthaven-Correlation"
	requestHeader     = "Filberthaven-Request"
)

// ExecutorFault is a fault of an executor.
type ExecutorFault uint8

// The faults of an executor.
const (
	// NoFault means that the executor works correctly.
	NoFault ExecutorFault = iota
	// FailAll responds to all requests with status 500.
	FailAll
	// DropResponse counts the request as run, but closes the connection without a response.
	DropResponse
	// TruncateBody closes the connection after half of the response body.
	TruncateBody
	// Stall accepts requests and does not respond until the caller gives up.
	Stall
	// WrongCorrelation responds with the correlation id of the previous request, as if responses were
	// mixed up.
	WrongCorrelation
)

// Executor is a fake of an endpoint. It is an http.Handler that counts the requests and
// connections that reach it.
type Executor struct {
	slots       int
	connections int
	handler     http.Handler

	fault           atomic.Uint32
	delay           atomic.Int64 // nanoseconds before each response
	inFlight        atomic.Int64
	openConnections atomic.Int64
	peak            atomic.Int64 // the highest inFlight so far
	breaches        atomic.Int64 // requests and connections beyond the limits
	served          atomic.Int64

	mu              sync.Mutex
	runs            map[string]int // number of runs by the request id of the caller
	lastCorrelation string         // correlation id of the previous request
}

// ExecutorOption changes an Executor under construction.
type ExecutorOption func(*Executor)

// WithLimits sets the limits on concurrent requests and connections.
func WithLimits(slots, connections int) ExecutorOption {
	return func(e *Executor) {
		e.slots = slots
		e.connections = connections
	}
}

// WithHandler sets the handler of requests. The default is to echo the request's body.
func WithHandler(handler http.Handler) ExecutorOption {
	return func(e *Executor) { e.handler = handler }
}

// WithDelay sets the delay before each response.
func WithDelay(d time.Duration) ExecutorOption { return func(e *Executor) { e.SetDelay(d) } }

// NewExecutor returns an executor without faults.
func NewExecutor(options ...ExecutorOption) *Executor {
	e := &Executor{slots: DefaultSlots, connections: DefaultConnections, handler: http.HandlerFunc(echo), runs: map[string]int{}}
	for _, option := range options {
		option(e)
	}
	return e
}

// SetFault sets the fault. NoFault ends any fault.
func (e *Executor) SetFault(fault ExecutorFault) { e.fault.Store(uint32(fault)) }

// SetDelay sets the delay before each response.
func (e *Executor) SetDelay(d time.Duration) { e.delay.Store(int64(d)) }

// Breaches returns how many requests and connections exceeded the executor's limits.
func (e *Executor) Breaches() int64 { return e.breaches.Load() }

// Peak returns the highest number of requests in flight so far.
func (e *Executor) Peak() int64 { return e.peak.Load() }

// Received returns how many requests have reached the executor, including failed ones.
func (e *Executor) Received() int64 { return e.served.Load() }

// Runs returns how often the request with that id was run. The id is the one that the
// caller has set.
func (e *Executor) Runs(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[request]
}

// Repeated returns the callers' ids of the requests that were run more than once.
func (e *Executor) Repeated() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var repeated []string
	for request, n := range e.runs {
		if n > 1 {
			repeated = append(repeated, request)
		}
	}
	return repeated
}

// Server returns an HTTP server for the executor that counts its connections.
func (e *Executor) Server() *http.Server {
	return &http.Server{Handler: e, ConnState: e.onConnState, ReadHeaderTimeout: 10 * time.Second}
}

// onConnState counts the open connections.
func (e *Executor) onConnState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if e.openConnections.Add(1) > int64(e.connections) {
			e.breaches.Add(1)
		}
	case http.StateClosed, http.StateHijacked:
		e.openConnections.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

// ServeHTTP runs one request, subject to the current fault.
func (e *Executor) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	e.admit()
	defer e.inFlight.Add(-1)
	previous := e.recordRun(request)
	correlation := request.Header.Get(correlationHeader)
	fault := ExecutorFault(e.fault.Load())
	if fault == WrongCorrelation {
		correlation = previous
	}
	if correlation != "" {
		w.Header().Set(correlationHeader, correlation)
	}
	delayResponse(request.Context(), time.Duration(e.delay.Load()))
	switch fault {
	case FailAll:
		http.Error(w, "failed", http.StatusInternalServerError)
	case DropResponse:
		panic(http.ErrAbortHandler)
	case TruncateBody:
		abortInBody(w)
	case Stall:
		// The server notices that a connection has ended only after the body is read.
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
	case NoFault, WrongCorrelation:
		e.handler.ServeHTTP(w, request)
	}
}

// admit counts a request that is now in flight.
func (e *Executor) admit() {
	e.served.Add(1)
	n := e.inFlight.Add(1)
	if n > int64(e.slots) {
		e.breaches.Add(1)
	}
	for peak := e.peak.Load(); n > peak && !e.peak.CompareAndSwap(peak, n); {
		peak = e.peak.Load()
	}
}

// recordRun counts a run of the request and returns the correlation id of the request
// before.
func (e *Executor) recordRun(request *http.Request) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id := request.Header.Get(requestHeader); id != "" {
		e.runs[id]++
	}
	previous := e.lastCorrelation
	e.lastCorrelation = request.Header.Get(correlationHeader)
	return previous
}

// delayResponse waits for d or until the caller gives up.
func delayResponse(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// abortInBody sends half of the announced body and aborts the response.
func abortInBody(w http.ResponseWriter) {
	const length = 1024
	w.Header().Set("Content-Length", strconv.Itoa(length))
	_, _ = w.Write(make([]byte, length/2))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// echo responds with the body of the request, or with the path if there is no body.
func echo(w http.ResponseWriter, request *http.Request) {
	if request.ContentLength == 0 {
		_, _ = io.WriteString(w, request.URL.Path+"\n")
		return
	}
	if request.ContentLength > 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(request.ContentLength, 10))
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	_, _ = io.Copy(w, request.Body)
}
