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

// What an executor takes at once, unless changed.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
)

// Names of headers between the gateway and executors.
const (
	correlationHeader = "Filberthaven-Correlation"
	requestHeader     = "Filberthaven-Request"
)

// ExecutorFault is what an executor does wrong.
type ExecutorFault uint8

// The faults of an executor.
const (
	// NoFault means none.
	NoFault ExecutorFault = iota
	// FailAll answers 500 to all requests.
	FailAll
	// Die runs the request and closes its connection without an answer.
	Die
	// DieInBody closes the connection in the middle of the answer.
	DieInBody
	// Stall takes requests and answers only when they are given up.
	Stall
	// Cross answers with the correlation id of the request before.
	Cross
)

// Executor is a stand-in for an endpoint: an http.Handler that witnesses what
// reaches it.
type Executor struct {
	slots       int
	connections int
	work        http.Handler

	fault    atomic.Uint32
	delay    atomic.Int64 // nanoseconds before each answer
	inFlight atomic.Int64
	open     atomic.Int64
	peak     atomic.Int64 // of inFlight
	breaches atomic.Int64 // requests and connections beyond the bounds
	served   atomic.Int64

	mu       sync.Mutex
	runs     map[string]int // by the caller's request id
	previous string         // correlation id of the request before
}

// ExecutorOption changes an Executor under construction.
type ExecutorOption func(*Executor)

// WithSlots sets the requests and the connections that are taken at once.
func WithSlots(slots, connections int) ExecutorOption {
	return func(e *Executor) {
		e.slots = slots
		e.connections = connections
	}
}

// WithWork sets what answers requests; else the body is echoed.
func WithWork(work http.Handler) ExecutorOption { return func(e *Executor) { e.work = work } }

// WithDelay sets the time before each answer.
func WithDelay(d time.Duration) ExecutorOption { return func(e *Executor) { e.SetDelay(d) } }

// NewExecutor returns an Executor changed by the options.
func NewExecutor(options ...ExecutorOption) *Executor {
	e := &Executor{slots: DefaultSlots, connections: DefaultConnections, work: http.HandlerFunc(echo), runs: map[string]int{}}
	for _, option := range options {
		option(e)
	}
	return e
}

// SetFault switches a fault on, NoFault off.
func (e *Executor) SetFault(fault ExecutorFault) { e.fault.Store(uint32(fault)) }

// SetDelay sets the time before each answer.
func (e *Executor) SetDelay(d time.Duration) { e.delay.Store(int64(d)) }

// Breaches returns how often more requests or connections came at once than the
// executor takes.
func (e *Executor) Breaches() int64 { return e.breaches.Load() }

// Peak returns the most requests that were in flight at once.
func (e *Executor) Peak() int64 { return e.peak.Load() }

// Served returns how many requests have reached the executor.
func (e *Executor) Served() int64 { return e.served.Load() }

// Runs returns how often a request with that caller's id was run.
func (e *Executor) Runs(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[request]
}

// Repeated returns the caller's ids that were run more than once.
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

// Server returns an http.Server whose connections the executor counts.
func (e *Executor) Server() *http.Server {
	return &http.Server{Handler: e, ConnState: e.watch, ReadHeaderTimeout: 10 * time.Second}
}

// watch counts connections.
func (e *Executor) watch(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if e.open.Add(1) > int64(e.connections) {
			e.breaches.Add(1)
		}
	case http.StateClosed, http.StateHijacked:
		e.open.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

// ServeHTTP runs one request, with the fault that is switched on.
func (e *Executor) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	e.enter()
	defer e.inFlight.Add(-1)
	previous := e.count(request)
	correlation := request.Header.Get(correlationHeader)
	fault := ExecutorFault(e.fault.Load())
	if fault == Cross {
		correlation = previous
	}
	if correlation != "" {
		w.Header().Set(correlationHeader, correlation)
	}
	pauseFor(request.Context(), time.Duration(e.delay.Load()))
	switch fault {
	case FailAll:
		http.Error(w, "failed", http.StatusInternalServerError)
	case Die:
		panic(http.ErrAbortHandler)
	case DieInBody:
		dieInBody(w)
	case Stall:
		// The server sees the end of a connection only once the body is read.
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
	case NoFault, Cross:
		e.work.ServeHTTP(w, request)
	}
}

// enter counts a request in flight.
func (e *Executor) enter() {
	e.served.Add(1)
	n := e.inFlight.Add(1)
	if n > int64(e.slots) {
		e.breaches.Add(1)
	}
	for peak := e.peak.Load(); n > peak && !e.peak.CompareAndSwap(peak, n); {
		peak = e.peak.Load()
	}
}

// count notes a run and returns the correlation id of the request before.
func (e *Executor) count(request *http.Request) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id := request.Header.Get(requestHeader); id != "" {
		e.runs[id]++
	}
	previous := e.previous
	e.previous = request.Header.Get(correlationHeader)
	return previous
}

// pauseFor returns after d or when the request is given up.
func pauseFor(ctx context.Context, d time.Duration) {
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

// dieInBody sends half of what it announces.
func dieInBody(w http.ResponseWriter) {
	const length = 1024
	w.Header().Set("Content-Length", strconv.Itoa(length))
	_, _ = w.Write(make([]byte, length/2))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// echo answers with the request's body, or with its path if there is none.
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
