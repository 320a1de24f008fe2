// Package router serves the callers' API and passes urgent requests to executors.
// It is an http.Handler. What it needs of other parts is handed in as functions.
package router

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"filberthaven.example/authenticator"
	"filberthaven.example/placer"
	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
)

// Bounds of requests.
const (
	// MaxJobBytes is the largest body of a job in bytes.
	MaxJobBytes = 64 << 10
	// MaxBodyBytes is the largest body of an urgent request in bytes.
	MaxBodyBytes = 64 << 20
	// DefaultTimeout bounds an urgent request that names no deadline.
	DefaultTimeout = 30 * time.Second
	// DefaultSlotWait is how long a request waits for a slot before another
	// data centre is tried.
	DefaultSlotWait = 50 * time.Millisecond
	// DefaultQuietPeriod is how long no request has come when Shutdown returns, so that
	// the balancer and its callers have gone elsewhere.
	DefaultQuietPeriod = time.Second
	// AnonymousTeam owns what comes without a key to what is open to all.
	AnonymousTeam = "open"
)

// Jobs are the functions that carry out calls on jobs. Each gets the team of
// the caller and answers ErrNotFound for another team's jobs.
type Jobs struct {
	// Submit accepts a job durably and returns its id and whether the request
	// id had been accepted before (the id is then that of the first job).
	Submit func(ctx context.Context, spec placer.JobSpec, requestID string) (id string, duplicate bool, err error)
	// Get returns a job.
	Get func(ctx context.Context, team, id string) (Job, error)
	// List returns up to limit jobs that follow the id after (empty: the
	// first), in order of id, and the id to go on from, empty at the end.
	List func(ctx context.Context, team, after string, limit int) (jobs []Job, next string, err error)
	// Cancel asks for the end of a job and returns it.
	Cancel func(ctx context.Context, team, id string) (Job, error)
	// Wait returns the job when it is terminal, or as it is when ctx is done.
	Wait func(ctx context.Context, team, id string) (Job, error)
	// Explain tells in sentences why the job is in its state.
	Explain func(ctx context.Context, team, id string) (string, error)
}

// Requests are the functions behind urgent requests.
type Requests struct {
	// Acquire returns a slot of an executor that avoid does not reject. It waits
	// until ctx is done, not at all if it is already, and then returns ErrNoSlot.
	Acquire func(ctx context.Context, service string, avoid func(executor string) bool) (Slot, error)
	// Admit lets a request in or returns a *admitter.RefusalError. The function
	// returned is called once at the end. May be nil.
	Admit func(ctx context.Context, team string) (done func(), err error)
	// Claim records a caller's request id durably. First is false when the id
	// was claimed before; outcome is then what became of the first request.
	// ErrUnavailable means that nothing was recorded.
	Claim func(ctx context.Context, team, service, request string) (first bool, outcome Outcome, err error)
	// Settle records what became of a claimed request. NotRun frees the id.
	Settle func(ctx context.Context, team, service, request string, outcome Outcome)
	// NextPeer returns the address (host:port) of an entry VM in another data
	// centre that may have room for the service and is not in tried. May be nil.
	NextPeer func(service string, tried []string) (address string, ok bool)
}

// Policy is what the configuration says of a service.
type Policy struct {
	open    bool          // callers need no key
	timeout time.Duration // bounds each request; above 0
	limit   int64         // largest request body in bytes; above 0
}

// NewPolicy returns a policy. Zero values stand for DefaultTimeout and
// BodyLimit.
func NewPolicy(open bool, timeout time.Duration, limit int64) Policy {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	if limit <= 0 {
		limit = MaxBodyBytes
	}
	return Policy{open: open, timeout: timeout, limit: limit}
}

// Router serves the callers' API.
type Router struct {
	mux          chi.Router
	logger       hclog.Logger
	jobs         Jobs
	requests     Requests
	authenticate func(*http.Request) (authenticator.Principal, error)
	service      func(name string) (Policy, bool)
	queue        func(name string) (open, ok bool)
	check        func(placer.JobSpec) error // nil: all jobs pass
	ready        func() error               // nil: always ready
	newID        func() string
	now          func() time.Time
	centre       string
	peers        *http.Transport // to entry VMs of other data centres
	peerScheme   string          // "http" or "https"
	roomWait     time.Duration
	quiet        time.Duration // without a request before Shutdown returns
	metrics      http.Handler  // nil: no such page
	status       http.Handler  // nil: no such page
	page         http.Handler  // nil: no such page
	operators    http.Handler  // nil: no such API
	pool         *pool
	ejector      *Ejector
	budget       *budget
	closing      atomic.Bool    // set by Shutdown, never unset
	inFlight     inFlight       // requests being served
	stats        Stats          // counters for metrics
	observe      func(Decision) // nil: no observer
}

// Option changes a Router under construction.
type Option func(*Router)

// WithLogger sets where decisions are logged.
func WithLogger(logger hclog.Logger) Option {
	return func(r *Router) { r.logger = logger.Named("router") }
}

// WithJobs sets the functions for jobs.
func WithJobs(jobs Jobs) Option { return func(r *Router) { r.jobs = jobs } }

// WithRequests sets the functions for urgent requests.
func WithRequests(requests Requests) Option { return func(r *Router) { r.requests = requests } }

// WithAuthenticate sets the check of keys.
func WithAuthenticate(f func(*http.Request) (authenticator.Principal, error)) Option {
	return func(r *Router) { r.authenticate = f }
}

// WithServices sets the look-up of services.
func WithServices(f func(name string) (Policy, bool)) Option {
	return func(r *Router) { r.service = f }
}

// WithQueues sets the look-up of queues and whether they are open to all.
func WithQueues(f func(name string) (open, ok bool)) Option {
	return func(r *Router) { r.queue = f }
}

// WithJobCheck sets the check of jobs on arrival, see admitter.
func WithJobCheck(f func(placer.JobSpec) error) Option { return func(r *Router) { r.check = f } }

// WithReady sets what /readyz asks besides whether Shutdown was called.
func WithReady(f func() error) Option { return func(r *Router) { r.ready = f } }

// WithIDGenerator sets the maker of job ids.
func WithIDGenerator(f func() string) Option { return func(r *Router) { r.newID = f } }

// WithClock sets the clock.
func WithClock(now func() time.Time) Option { return func(r *Router) { r.now = now } }

// WithCentre sets the name of the own data centre.
func WithCentre(centre string) Option { return func(r *Router) { r.centre = centre } }

// WithPeers sets the transport and the scheme for requests that are passed to
// entry VMs of other data centres.
func WithPeers(transport *http.Transport, scheme string) Option {
	return func(r *Router) {
		r.peers = transport
		r.peerScheme = scheme
	}
}

// WithSlotWait sets how long a request waits for a slot before another data
// centre is tried.
func WithSlotWait(d time.Duration) Option { return func(r *Router) { r.roomWait = d } }

// WithQuietPeriod sets how long no request may have come when Shutdown returns.
func WithQuietPeriod(d time.Duration) Option { return func(r *Router) { r.quiet = d } }

// WithMetrics mounts /metrics.
func WithMetrics(handler http.Handler) Option { return func(r *Router) { r.metrics = handler } }

// WithStatus mounts /v1/status for keys of any role.
func WithStatus(handler http.Handler) Option { return func(r *Router) { r.status = handler } }

// WithStatusPage mounts the /status page.
func WithStatusPage(handler http.Handler) Option { return func(r *Router) { r.page = handler } }

// WithOperatorAPI mounts the operators' API under /v1/operate. The handler checks
// roles itself, from PrincipalFrom.
func WithOperatorAPI(handler http.Handler) Option { return func(r *Router) { r.operators = handler } }

// WithEjector sets the ejector of failing executors.
func WithEjector(ejector *Ejector) Option { return func(r *Router) { r.ejector = ejector } }

// WithObserver sets a function that is told of each routing decision.
func WithObserver(f func(Decision)) Option { return func(r *Router) { r.observe = f } }

// New returns a Router changed by the options.
func New(options ...Option) (*Router, error) {
	r := &Router{
		logger:     hclog.NewNullLogger(),
		service:    func(string) (Policy, bool) { return Policy{}, false },
		queue:      func(name string) (bool, bool) { return false, name == "default" },
		newID:      func() string { return uuid.Must(uuid.NewV7()).String() },
		now:        time.Now,
		peers:      newPeerTransport(),
		peerScheme: "http",
		roomWait:   DefaultSlotWait,
		quiet:      DefaultQuietPeriod,
		budget:     newBudget(),
	}
	r.authenticate = func(*http.Request) (authenticator.Principal, error) {
		return authenticator.Principal{}, authenticator.ErrNoKey
	}
	for _, option := range options {
		option(r)
	}
	if r.ejector == nil {
		r.ejector = NewEjector(WithEjectorClock(r.now), WithEjectorLogger(r.logger))
	}
	r.pool = newPool()
	r.mux = r.routes()
	return r, nil
}

// routes returns the routing table.
func (r *Router) routes() chi.Router {
	mux := chi.NewRouter()
	mux.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		NewProblem(http.StatusNotFound, "absent", "not found").write(w)
	})
	mux.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		NewProblem(http.StatusMethodNotAllowed, "method", "method not allowed").write(w)
	})
	mux.Get("/healthz", r.health)
	mux.Get("/readyz", r.readiness)
	mux.Post("/v1/jobs", r.submitJob)
	mux.Get("/v1/jobs", r.listJobs)
	mux.Get("/v1/jobs/{id}", r.getJob)
	mux.Delete("/v1/jobs/{id}", r.cancelJob)
	mux.Get("/v1/jobs/{id}/wait", r.waitJob)
	mux.Get("/v1/jobs/{id}/explain", r.explainJob)
	mux.HandleFunc("/v1/services/{service}", r.serveRequest)
	mux.HandleFunc("/v1/services/{service}/*", r.serveRequest)
	if r.metrics != nil {
		mux.Method(http.MethodGet, "/metrics", r.metrics)
	}
	if r.page != nil {
		mux.Method(http.MethodGet, "/status", r.page)
	}
	if r.status != nil {
		mux.Method(http.MethodGet, "/v1/status", r.withPrincipal(r.status))
	}
	if r.operators != nil {
		mux.Mount("/v1/operate", r.withPrincipal(r.operators))
	}
	return mux
}

// ServeHTTP answers a request.
func (r *Router) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if isProbe(request.URL.Path) {
		r.mux.ServeHTTP(w, request)
		return
	}
	if !r.inFlight.enter(r.now()) {
		w.Header().Set("Connection", "close")
	}
	defer r.inFlight.leave()
	r.mux.ServeHTTP(w, request)
}

// isProbe reports whether the path is asked by the balancer and by collectors,
// which go on during a shutdown.
func isProbe(path string) bool {
	return path == "/healthz" || path == "/readyz" || path == "/metrics"
}

// Stats returns the counters.
func (r *Router) Stats() *Stats { return &r.stats }

// health answers that the process runs.
func (r *Router) health(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok\n")
}

// readiness answers whether new requests are welcome.
func (r *Router) readiness(w http.ResponseWriter, _ *http.Request) {
	if r.closing.Load() {
		writeText(w, http.StatusServiceUnavailable, "shutting down\n")
		return
	}
	if r.ready != nil {
		if err := r.ready(); err != nil {
			writeText(w, http.StatusServiceUnavailable, err.Error()+"\n")
			return
		}
	}
	writeText(w, http.StatusOK, "ok\n")
}

// principalKey is the context key of the Principal.
type principalKey struct{}

// PrincipalFrom returns who makes the request, for handlers mounted on the
// Router.
func PrincipalFrom(ctx context.Context) (authenticator.Principal, bool) {
	principal, ok := ctx.Value(principalKey{}).(authenticator.Principal)
	return principal, ok
}

// withPrincipal lets only requests with a valid key through.
func (r *Router) withPrincipal(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		principal, err := r.authenticate(request)
		if err != nil {
			problemOf(err).write(w)
			return
		}
		next.ServeHTTP(w, request.WithContext(context.WithValue(request.Context(), principalKey{}, principal)))
	})
}
