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
	"filberthaven.example/messenger"
	"filberthaven.example/platform"
	"github.com/go-chi/chi/v5"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

const (
	// bodyLimit is the largest body of a request in bytes: ten times the largest
	// job of the users' sheets, and the limit that their operators set.
	bodyLimit = 256 << 10
	// ownerWait is how long a request waits for an owner to appear: longer than a
	// hand-over, shorter than a caller's patience.
	ownerWait = 400 * time.Millisecond
	// ownerPause is the pause between two looks for an owner.
	ownerPause = 30 * time.Millisecond
	// defaultBudget is a caller's patience when it names none.
	defaultBudget = 3 * time.Second
	// attemptTimeout bounds one call to the owner; a job handed in waits for one
	// write to the store there.
	attemptTimeout = 1500 * time.Millisecond
	// unreachedLimit is how long the owner may be out of reach before this VM
	// tells the balancer that it is not ready.
	unreachedLimit = 600 * time.Millisecond
	// returnAfter is when a caller may come back if there is no owner, in seconds.
	returnAfter = 1
	// procedure is the call that passes a request on.
	procedure = "/fleet/call"
)

// Receiver takes callers' requests.
type Receiver struct {
	messenger *messenger.Messenger
	owner     func() (claimer.Member, uint64, bool)
	self      string
	local     atomic.Pointer[conductor.Conductor] // set while this VM is the owner
	stopping  atomic.Bool
	gate      gate
	lost      atomic.Int64 // steady ns since when the owner is out of reach; 0 while it answers
	now       func() time.Duration
	log       hclog.Logger
	passed    metrics.Timer
	failed    metrics.Counter
	succeeded metrics.Counter // answers of status 2xx
	declined  metrics.Counter // 4xx
	broken    metrics.Counter // 5xx
}

// New returns a receiver on the VM called self, which finds the owner by owner.
func New(m *messenger.Messenger, self string, owner func() (claimer.Member, uint64, bool), log hclog.Logger, registry metrics.Registry) *Receiver {
	return &Receiver{
		messenger: m, owner: owner, self: self, now: claimer.Now, log: log.Named("receiver"),
		passed:    metrics.GetOrRegisterTimer("requests.time", registry),
		failed:    metrics.GetOrRegisterCounter("requests.owner.unreached", registry),
		succeeded: metrics.GetOrRegisterCounter("requests.2xx", registry),
		declined:  metrics.GetOrRegisterCounter("requests.4xx", registry),
		broken:    metrics.GetOrRegisterCounter("requests.5xx", registry),
	}
}

// count counts an answer by its status.
func (r *Receiver) count(status int) {
	switch {
	case status >= http.StatusInternalServerError:
		r.broken.Inc(1)
	case status >= http.StatusBadRequest:
		r.declined.Inc(1)
	default:
		r.succeeded.Inc(1)
	}
}

// SetConductor sets the conductor while this VM is the owner, and nil after.
func (r *Receiver) SetConductor(c *conductor.Conductor) { r.local.Store(c) }

// Drain makes the VM not ready and has callers' connections closed after their
// next answer.
func (r *Receiver) Drain() { r.stopping.Store(true) }

// Ready reports whether the balancer should send connections here.
func (r *Receiver) Ready() bool {
	lost := r.lost.Load()
	return !r.stopping.Load() && (lost == 0 || r.now()-time.Duration(lost) < unreachedLimit)
}

// ReadinessHandler serves the balancer's look.
func (r *Receiver) ReadinessHandler() http.Handler {
	mux := chi.NewRouter()
	mux.Get(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !r.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Register registers the calls of other receivers, for while this VM is the owner.
func (r *Receiver) Register(mux messenger.Mux) {
	messenger.Handle(r.messenger, mux, procedure, func(ctx context.Context, call *conductor.Request) (*conductor.Response, error) {
		c := r.local.Load()
		if c == nil {
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("this VM is not the owner"))
		}
		answer := c.Serve(ctx, *call)
		return &answer, nil
	})
}

// ServeHTTP answers a caller.
func (r *Receiver) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	begun := r.now()
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, bodyLimit))
	var answer conductor.Response
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		answer = conductor.Response{Status: http.StatusRequestEntityTooLarge, Body: platform.ErrorBody("body is too large")}
	case err != nil:
		answer = conductor.Response{Status: http.StatusBadRequest, Body: platform.ErrorBody("body can't be read")}
	default:
		ctx, cancel := context.WithTimeout(request.Context(), platform.RequestTimeout(request.Header, defaultBudget))
		answer = r.pass(ctx, conductor.Request{
			Method: request.Method, Host: request.Host, Path: request.URL.Path, Key: platform.APIKey(request.Header), Body: body,
		})
		cancel()
	}
	r.passed.Update(r.now() - begun)
	r.count(answer.Status)
	header := w.Header()
	header["Content-Type"] = []string{"application/json"}
	if answer.RetryAfter > 0 {
		header["Retry-After"] = []string{strconv.Itoa(answer.RetryAfter)}
	}
	if r.stopping.Load() {
		header["Connection"] = []string{"close"}
	}
	w.WriteHeader(answer.Status)
	if _, err := w.Write(answer.Body); err != nil {
		r.log.Debug("caller is gone", "path", request.URL.Path, "error", err)
	}
}

// pass gives a request to the owner. Every request may be repeated, as a job has
// an id of its caller's; so it is tried again while the owner changes, as long as
// the caller has patience.
func (r *Receiver) pass(ctx context.Context, call conductor.Request) conductor.Response {
	waited := r.now()
	maybe := false // an owner may have carried the request out
	for {
		answer, err := r.attempt(ctx, call)
		if err == nil && !answer.Retryable {
			return answer
		}
		maybe = maybe || err != nil && !errors.Is(err, errNotRun)
		if ctx.Err() != nil || r.now()-waited > ownerWait || errors.Is(err, errShut) {
			return r.giveUp(call, answer, maybe, err)
		}
		keeper.Sleep(ctx, ownerPause)
	}
}

// giveUp answers a request that no owner has answered.
func (r *Receiver) giveUp(call conductor.Request, answer conductor.Response, maybe bool, err error) conductor.Response {
	r.log.Info("request not passed on", "method", call.Method, "path", call.Path, "sure", !maybe, "error", err)
	switch {
	case maybe:
		return conductor.Response{Status: http.StatusGatewayTimeout, Body: platform.ErrorBody("outcome unknown")}
	case err == nil:
		return answer
	default:
		return conductor.Response{Status: http.StatusServiceUnavailable, Body: platform.ErrorBody("no owner in reach"), RetryAfter: returnAfter}
	}
}

// Errors of an attempt after which nothing of the request can have run.
var (
	errNotRun  = errors.New("request not run")
	errNoOwner = fmt.Errorf("%w: no owner", errNotRun)
	errGated   = fmt.Errorf("%w: the owner is not ready", errNotRun)
	// errShut means that the owner has not been ready for so long that waiting is
	// of no use.
	errShut = fmt.Errorf("%w: the owner has not been ready for long", errNotRun)
)

func (r *Receiver) attempt(ctx context.Context, call conductor.Request) (conductor.Response, error) {
	if c := r.local.Load(); c != nil {
		r.lost.Store(0)
		return c.Serve(ctx, call), nil
	}
	owner, term, known := r.owner()
	if !known || owner.ID() == r.self {
		return conductor.Response{}, errNoOwner
	}
	if !r.gate.pass(term, r.now()) {
		if r.gate.shut(term, r.now()) > ownerWait {
			return conductor.Response{}, errShut
		}
		return conductor.Response{}, errGated
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	sent := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent = true }})
	answer, err := messenger.Call[conductor.Request, conductor.Response](traced, r.messenger, owner.Address(), procedure, &call)
	if err != nil {
		r.failed.Inc(1)
		r.gate.told(term, false, r.now())
		r.lost.CompareAndSwap(0, int64(r.now()))
		// A connection that breaks after the request was sent leaves its outcome
		// open; only a VM that says it is not the owner has surely not run it.
		if !sent || connect.IsWireError(err) && connect.CodeOf(err) == connect.CodeUnavailable {
			err = errors.Join(errNotRun, err)
		}
		return conductor.Response{}, err
	}
	r.lost.Store(0)
	r.gate.told(term, !answer.NotReady, r.now())
	return *answer, nil
}

// IsOwner reports whether this VM runs the fleet.
func (r *Receiver) IsOwner() bool { return r.local.Load() != nil }
