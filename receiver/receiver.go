package receiver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"filberthaven.example/claimer"
	"filberthaven.example/conductor"
	"filberthaven.example/keeper"
	"filberthaven.example/limiter"
	"filberthaven.example/messenger"
	"filberthaven.example/platform"
	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

const (
	// bodyLimit is the largest request body in bytes: ten times the largest job in
	// the users' data sheets, and the limit that their operators set.
	bodyLimit = 256 << 10
	// ownerWait is how long a request waits for an owner that serves it: longer than
	// a hand-over of the ownership, shorter than a caller's timeout.
	ownerWait = 400 * time.Millisecond
	// retryInterval is the delay between two attempts to forward a request.
	retryInterval = 30 * time.Millisecond
	// defaultRequestTimeout is the timeout of a request whose header gives none.
	defaultRequestTimeout = 3 * time.Second
	// attemptTimeout bounds one call to the owner, which writes a submitted job to
	// the store before it responds.
	attemptTimeout = 1500 * time.Millisecond
	// unreachableTimeout is how long the owner may be unreachable before this VM
	// reports to the load balancer that it is not ready.
	unreachableTimeout = 600 * time.Millisecond
	// retryAfterSeconds is the Retry-After of a response if no owner is reachable.
	retryAfterSeconds = 1
	// procedure is the RPC that forwards a request to the owner.
	procedure = "/fleet/call"
)

// Receiver forwards callers' requests to the owner, or serves them while this VM is
// the owner.
type Receiver struct {
	messenger        *messenger.Messenger
	owner            func() (claimer.Member, uint64, bool)
	self             string
	localConductor   atomic.Pointer[conductor.Conductor] // nil unless this VM is the owner
	draining         atomic.Bool
	breaker          breaker
	unreachableSince atomic.Int64 // ns of the steady clock at the first failed call to the owner since a success; 0 if none
	now              func() time.Duration
	log              hclog.Logger
	requestTime      metrics.Timer
	failedOwnerCalls metrics.Counter
	status2xx        metrics.Counter // any status below 400
	status4xx        metrics.Counter
	status5xx        metrics.Counter
}

// New returns a Receiver on the VM called self. owner returns the owner of the fleet, its
// term, and whether an owner is known.
func New(m *messenger.Messenger, self string, owner func() (claimer.Member, uint64, bool), log hclog.Logger, registry metrics.Registry) *Receiver {
	return &Receiver{
		messenger: m, owner: owner, self: self, now: claimer.Now, log: log.Named("receiver"),
		requestTime:      metrics.GetOrRegisterTimer("requests.time", registry),
		failedOwnerCalls: metrics.GetOrRegisterCounter("requests.owner.unreached", registry),
		status2xx:        metrics.GetOrRegisterCounter("requests.2xx", registry),
		status4xx:        metrics.GetOrRegisterCounter("requests.4xx", registry),
		status5xx:        metrics.GetOrRegisterCounter("requests.5xx", registry),
	}
}

// countStatus counts a response in the metric of its status.
func (r *Receiver) countStatus(status int) {
	switch {
	case status >= http.StatusInternalServerError:
		r.status5xx.Inc(1)
	case status >= http.StatusBadRequest:
		r.status4xx.Inc(1)
	default:
		r.status2xx.Inc(1)
	}
}

// SetConductor sets the conductor when this VM becomes the owner, and nil when it
// ceases to be the owner.
func (r *Receiver) SetConductor(c *conductor.Conductor) { r.localConductor.Store(c) }

// Drain makes Ready report false and closes each caller's connection after the next
// response.
func (r *Receiver) Drain() { r.draining.Store(true) }

// Ready reports whether the load balancer should send connections to this VM.
func (r *Receiver) Ready() bool {
	since := r.unreachableSince.Load()
	return !r.draining.Load() && (since == 0 || r.now()-time.Duration(since) < unreachableTimeout)
}

// ReadinessHandler returns the handler of the load balancer's readiness check.
func (r *Receiver) ReadinessHandler() http.Handler {
	mux := chi.NewRouter()
	mux.Get(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !r.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Register registers the handler for requests that other receivers forward to this
// VM as the owner.
func (r *Receiver) Register(mux messenger.Mux) {
	messenger.Handle(r.messenger, mux, procedure, func(ctx context.Context, request *conductor.Request) (*conductor.Response, error) {
		c := r.localConductor.Load()
		if c == nil {
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("this VM is not the owner"))
		}
		response := c.Serve(ctx, *request)
		return &response, nil
	})
}

// ServeHTTP forwards a caller's request and writes the response.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	start := r.now()
	response, complete := r.respond(w, request)
	r.requestTime.Update(r.now() - start)
	r.countStatus(response.Status)
	header := w.Header()
	header["Content-Type"] = []string{"application/json"}
	if response.RetryAfter > 0 {
		header["Retry-After"] = []string{strconv.Itoa(response.RetryAfter)}
	}
	if r.draining.Load() {
		header["Connection"] = []string{"close"}
	}
	if !complete {
		limiter.CloseAfterResponse(w)
	}
	w.WriteHeader(response.Status)
	if _, err := w.Write(response.Body); err != nil {
		r.log.Debug("response not written to the caller", "path", request.URL.Path, "error", err)
	}
}

// respond returns the response to a caller's request, and whether its body was read whole. The
// connection of another one has to be closed, since what has arrived takes memory until it is
// read.
func (r *Receiver) respond(w http.ResponseWriter, request *http.Request) (conductor.Response, bool) {
	forwarded := conductor.Request{
		Method: request.Method, Host: request.Host, Path: request.URL.Path, Key: platform.APIKey(request.Header),
	}
	ctx, cancel := context.WithTimeout(request.Context(), platform.RequestTimeout(request.Header, defaultRequestTimeout))
	defer cancel()
	if request.ContentLength != 0 {
		if c := r.localConductor.Load(); c != nil {
			if response, refused := c.Screen(forwarded); refused {
				return response, false
			}
		}
		var err error
		if forwarded.Body, err = readBody(ctx, w, request); err != nil {
			return bodyFailure(err), false
		}
	}
	return r.forward(ctx, forwarded), true
}

// readBody reads the body of a request, and waits until there is room for the copies that are
// made of it, until ctx is done. A body that comes through no limiter.Limiter is limited in size
// only.
func readBody(ctx context.Context, w http.ResponseWriter, request *http.Request) ([]byte, error) {
	body := limiter.BodyFrom(request)
	if body == nil {
		return io.ReadAll(http.MaxBytesReader(w, request.Body, bodyLimit))
	}
	data, err := body.All(bodyLimit)
	if err != nil {
		return nil, err
	}
	return data, body.Hold(ctx, len(data))
}

// bodyFailure returns the response to a request whose body was not read. The request has not
// run.
func bodyFailure(err error) conductor.Response {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return conductor.Response{Status: http.StatusRequestEntityTooLarge, Body: platform.ErrorBody("body is too large")}
	case limiter.IsRefused(err):
		return conductor.Response{Status: http.StatusServiceUnavailable, Body: platform.ErrorBody(err.Error()), RetryAfter: retryAfterSeconds}
	default:
		return conductor.Response{Status: http.StatusBadRequest, Body: platform.ErrorBody("body can't be read")}
	}
}

// forward sends a request to the owner and returns its response. As the owner may be
// changing, it retries failed attempts until ownerWait has passed or ctx is done. Every
// request may be repeated, because the id of a job is chosen by its caller.
func (r *Receiver) forward(ctx context.Context, request conductor.Request) conductor.Response {
	start := r.now()
	mayHaveRun := false // whether an attempt failed with an unknown outcome
	unknownAt := ""     // id of the owner that the newest such attempt was sent to, and that may yet read it
	for {
		response, owner, err := r.attempt(ctx, request)
		if err == nil && !response.Retryable {
			if owner == unknownAt && isRefusal(request, response) {
				return r.failureResponse(request, response, mayHaveRun, err)
			}
			return response
		}
		if err != nil && !errors.Is(err, errNotRun) {
			mayHaveRun, unknownAt = true, owner
		}
		if ctx.Err() != nil || r.now()-start > ownerWait || errors.Is(err, errOwnerStalled) {
			return r.failureResponse(request, response, mayHaveRun, err)
		}
		keeper.Sleep(ctx, retryInterval)
	}
}

// isRefusal reports whether a response says that a submitted job was not accepted and never
// runs. The next owner knows whether an earlier one has accepted it.
func isRefusal(request conductor.Request, response conductor.Response) bool {
	return request.Method == http.MethodPost && (response.Status == http.StatusTooManyRequests || response.Status == http.StatusServiceUnavailable)
}

// failureResponse returns the response to a request that no owner has served. mayHaveRun
// tells whether any attempt may have run it; response and err come from the last attempt.
func (r *Receiver) failureResponse(request conductor.Request, response conductor.Response, mayHaveRun bool, err error) conductor.Response {
	r.log.Info("request not passed on", "method", request.Method, "path", request.Path, "sure", !mayHaveRun, "error", err)
	switch {
	case mayHaveRun:
		return conductor.Response{Status: http.StatusGatewayTimeout, Body: platform.ErrorBody("outcome unknown")}
	case err == nil:
		return response
	default:
		return conductor.Response{Status: http.StatusServiceUnavailable, Body: platform.ErrorBody("no owner in reach"), RetryAfter: retryAfterSeconds}
	}
}

// Errors of an attempt that is known not to have run the request.
var (
	errNotRun        = errors.New("request not run")
	errNoOwner       = fmt.Errorf("%w: no owner", errNotRun)
	errOwnerNotReady = fmt.Errorf("%w: the owner is not ready", errNotRun)
	// errOwnerStalled means that the owner has been unavailable for longer than
	// ownerWait, so that waiting for it is of no use.
	errOwnerStalled = fmt.Errorf("%w: the owner has been unavailable for too long", errNotRun)
)

// attempt sends a request to the owner once, or serves the request if this VM is the owner. It
// returns the id of that VM, if one is known. The error wraps errNotRun if the request is known
// not to have run.
func (r *Receiver) attempt(ctx context.Context, request conductor.Request) (conductor.Response, string, error) {
	if c := r.localConductor.Load(); c != nil {
		r.unreachableSince.Store(0)
		return c.Serve(ctx, request), r.self, nil
	}
	owner, term, known := r.owner()
	if !known || owner.ID() == r.self {
		return conductor.Response{}, "", errNoOwner
	}
	response, err := r.call(ctx, request, owner, term)
	return response, owner.ID(), err
}

// call sends a request to the owner of that term once. Its errors are those of attempt.
func (r *Receiver) call(ctx context.Context, request conductor.Request, owner claimer.Member, term uint64) (conductor.Response, error) {
	if !r.breaker.allow(term, r.now()) {
		if r.breaker.openFor(term, r.now()) > ownerWait {
			return conductor.Response{}, errOwnerStalled
		}
		return conductor.Response{}, errOwnerNotReady
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	connected := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	response, err := messenger.Call[conductor.Request, conductor.Response](traced, r.messenger, owner.Address(), procedure, &request)
	if connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeResourceExhausted {
		// The owner has refused the body, and works.
		r.unreachableSince.Store(0)
		r.breaker.record(term, true, r.now())
		refused := bodyFailure(fmt.Errorf("%w by the owner", limiter.ErrRefused))
		refused.Retryable = true // the owner has not read it, so it can't know of an earlier attempt
		return refused, nil
	}
	if err != nil {
		r.failedOwnerCalls.Inc(1)
		r.breaker.record(term, false, r.now())
		r.unreachableSince.CompareAndSwap(0, int64(r.now()))
		// Without a connection the request was not sent, and a VM that responds that it
		// is not the owner has not run it. After any other error it may have run.
		if !connected || connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeUnavailable {
			err = fmt.Errorf("%w: %w", errNotRun, err)
		}
		return conductor.Response{}, err
	}
	r.unreachableSince.Store(0)
	r.breaker.record(term, !response.NotReady, r.now())
	return *response, nil
}

// IsOwner reports whether this VM is the owner of the fleet.
func (r *Receiver) IsOwner() bool { return r.localConductor.Load() != nil }
