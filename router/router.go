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

// Limits and defaults of requests.
const (
	// MaxJobBytes is the largest body of a job submission in bytes.
	MaxJobBytes = 64 << 10
	// MaxBodyBytes is the largest body of an urgent request in bytes.
	MaxBodyBytes = 64 << 20
	// DefaultTimeout limits an urgent request whose service sets no timeout.
	DefaultTimeout = 30 * time.Second
	// DefaultSlotWait is how long a request waits for a slot before another
	// data centre is tried.
	DefaultSlotWait = 50 * time.Millisecond
	// DefaultQuietPeriod is the time without a new request after which Shutdown
	// assumes that the load balancer and the callers use other entry VMs.
	DefaultQuietPeriod = time.Second
	// AnonymousTeam is the team of requests without a key to open services and queues.
	AnonymousTeam = "open"
)

// Jobs holds the functions that carry out calls on jobs. Each receives the caller's
// team and returns ErrNotFound for the job of another team.
type Jobs struct {
	// Submit stores a job durably and returns its id. duplicate reports whether a
	// job with the request id was accepted before; id is then the id of that job.
	Submit func(ctx context.Context, spec placer.JobSpec, requestID string) (id string, duplicate bool, err error)
	// Get returns a job.
	Get func(ctx context.Context, team, id string) (Job, error)
	// List returns a page of at most limit jobs in order of id: those whose id is
	// greater than after; all if after is empty. next is the value of after for the
	// next page, empty on the last page.
	List func(ctx context.Context, team, after string, limit int) (jobs []Job, next string, err error)
	// Cancel requests the end of a job and returns the job.
	Cancel func(ctx context.Context, team, id string) (Job, error)
	// Wait returns the job once it is terminal, or in its current state when ctx is
	// done.
	Wait func(ctx context.Context, team, id string) (Job, error)
	// Explain returns sentences that say why the job is in its state.
	Explain func(ctx context.Context, team, id string) (string, error)
}

// Requests holds the functions that urgent requests depend on.
type Requests struct {
	// Acquire returns a slot of an executor for which avoid is false. It waits for
	// one until ctx is done, and does not wait if ctx is already done. Without a
	// slot it returns ErrNoSlot or the error of ctx.
	Acquire func(ctx context.Context, service string, avoid func(executor string) bool) (Slot, error)
	// Admit admits a request or returns an *admitter.RefusalError. done is called
	// once when the request ends. A nil Admit admits all requests.
	Admit func(ctx context.Context, team string) (done func(), err error)
	// Claim records a request id durably. first is false if the id was claimed
	// before; outcome is then the outcome of the first request. ErrUnavailable
	// means that nothing was recorded. A nil Claim records no ids.
	Claim func(ctx context.Context, team, service, request string) (first bool, outcome Outcome, err error)
	// Settle records the outcome of a claimed request. NotRun releases the id.
	Settle func(ctx context.Context, team, service, request string, outcome Outcome)
	// NextPeer returns the address (host:port) of an entry VM in another data
	// centre that may have a free slot of the service and is not in tried. ok is
	// false if there is none. With a nil NextPeer no request is forwarded.
	NextPeer func(service string, tried []string) (address string, ok bool)
}

// Policy is the configuration of a service.
type Policy struct {
	open    bool          // callers need no key
	timeout time.Duration // of each request; above 0
	limit   int64         // largest request body in bytes; above 0
}

// NewPolicy returns a policy. limit is the largest request body in bytes. A timeout or
// limit of 0 or less stands for DefaultTimeout or MaxBodyBytes.
func NewPolicy(open bool, timeout time.Duration, limit int64) Policy {
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	if limit <= 0 {
		limit = MaxBodyBytes
	}
	return Policy{open: open, timeout: timeout, limit: limit}
}

// Router serves the callers' HTTP API.
type Router struct {
	mux          chi.Router
	logger       hclog.Logger
	jobs         Jobs
	requests     Requests
	authenticate func(*http.Request) (authenticator.Principal, error)
	policyOf     func(name string) (Policy, bool)
	queue        func(name string) (open, ok bool) // open: takes jobs without a key; ok: the queue exists
	checkJob     func(placer.JobSpec) error        // nil: accepts all jobs
	ready        func() error                      // nil: always ready
	newID        func() string
	now          func() time.Time
	centre       string          // name of this data centre
	peers        *http.Transport // to entry VMs of other data centres
	peerScheme   string          // "http" or "https"
	slotWait     time.Duration
	quietPeriod  time.Duration // time without a new request before Shutdown returns
	metrics      http.Handler  // nil: not mounted
	status       http.Handler  // nil: not mounted
	statusPage   http.Handler  // nil: not mounted
	operatorAPI  http.Handler  // nil: not mounted
	pool         *transportPool
	ejector      *Ejector
	budget       *retryBudget
	draining     atomic.Bool    // set by Drain, never reset
	inFlight     inFlight       // requests being served
	stats        Stats          // counters for metrics
	observe      func(Decision) // nil: no observer
}

// Option configures a Router.
type Option func(*Router)

// WithLogger sets the logger.
func WithLogger(logger hclog.Logger) Option {
	return func(r *Router) { r.logger = logger.Named("router") }
}

// WithJobs sets the functions that carry out calls on jobs.
func WithJobs(jobs Jobs) Option { return func(r *Router) { r.jobs = jobs } }

// WithRequests sets the functions that urgent requests depend on.
func WithRequests(requests Requests) Option { return func(r *Router) { r.requests = requests } }

// WithAuthenticate sets the function that authenticates requests by their key.
func WithAuthenticate(f func(*http.Request) (authenticator.Principal, error)) Option {
	return func(r *Router) { r.authenticate = f }
}

// WithServices sets the function that looks up the policy of a service. The function
// returns false for an unknown service.
func WithServices(f func(name string) (Policy, bool)) Option {
	return func(r *Router) { r.policyOf = f }
}

// WithQueues sets the function that looks up a queue. open says that jobs without a key
// are accepted, ok that the queue exists.
func WithQueues(f func(name string) (open, ok bool)) Option {
	return func(r *Router) { r.queue = f }
}

// WithJobCheck sets the function that returns an error for a submitted job that must be
// refused, such as one that calls admitter.CheckJob.
func WithJobCheck(f func(placer.JobSpec) error) Option { return func(r *Router) { r.checkJob = f } }

// WithReady sets a function whose error makes /readyz fail. /readyz also fails after
// Drain or Shutdown.
func WithReady(f func() error) Option { return func(r *Router) { r.ready = f } }

// WithIDGenerator sets the function that generates job ids.
func WithIDGenerator(f func() string) Option { return func(r *Router) { r.newID = f } }

// WithClock sets the function that returns the current time.
func WithClock(now func() time.Time) Option { return func(r *Router) { r.now = now } }

// WithCentre sets the name of this process's data centre.
func WithCentre(centre string) Option { return func(r *Router) { r.centre = centre } }

// WithPeers sets the transport and the scheme, "http" or "https", for requests that are
// forwarded to entry VMs of other data centres.
func WithPeers(transport *http.Transport, scheme string) Option {
	return func(r *Router) {
		r.peers = transport
		r.peerScheme = scheme
	}
}

// WithSlotWait sets how long a request waits for a slot before another data
// centre is tried.
func WithSlotWait(d time.Duration) Option { return func(r *Router) { r.slotWait = d } }

// WithQuietPeriod sets the time without a new request after which Shutdown returns.
func WithQuietPeriod(d time.Duration) Option { return func(r *Router) { r.quietPeriod = d } }

// WithMetrics mounts the handler of /metrics.
func WithMetrics(handler http.Handler) Option { return func(r *Router) { r.metrics = handler } }

// WithStatus mounts the handler of /v1/status, which any valid key may call.
func WithStatus(handler http.Handler) Option { return func(r *Router) { r.status = handler } }

// WithStatusPage mounts the handler of the /status page.
func WithStatusPage(handler http.Handler) Option { return func(r *Router) { r.statusPage = handler } }

// WithOperatorAPI mounts the operators' API under /v1/operate. The Router authenticates
// its requests; the handler checks roles with PrincipalFrom.
func WithOperatorAPI(handler http.Handler) Option { return func(r *Router) { r.operatorAPI = handler } }

// WithEjector sets the Ejector to use instead of one of the Router's own.
func WithEjector(ejector *Ejector) Option { return func(r *Router) { r.ejector = ejector } }

// WithObserver sets a function that is called with the Decision of each urgent request.
func WithObserver(f func(Decision)) Option { return func(r *Router) { r.observe = f } }

// New returns a Router configured by the options.
func New(options ...Option) (*Router, error) {
	r := &Router{
		logger:      hclog.NewNullLogger(),
		policyOf:    func(string) (Policy, bool) { return Policy{}, false },
		queue:       func(name string) (bool, bool) { return false, name == "default" },
		newID:       func() string { return uuid.Must(uuid.NewV7()).String() },
		now:         time.Now,
		peers:       newPeerTransport(),
		peerScheme:  "http",
		slotWait:    DefaultSlotWait,
		quietPeriod: DefaultQuietPeriod,
		budget:      newRetryBudget(),
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
	r.pool = newTransportPool()
	r.mux = r.routes()
	return r, nil
}

// routes returns the mux of all paths.
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
	if r.statusPage != nil {
		mux.Method(http.MethodGet, "/status", r.statusPage)
	}
	if r.status != nil {
		mux.Method(http.MethodGet, "/v1/status", r.withPrincipal(r.status))
	}
	if r.operatorAPI != nil {
		mux.Mount("/v1/operate", r.withPrincipal(r.operatorAPI))
	}
	return mux
}

// ServeHTTP implements http.Handler. After Drain, it closes the connection of each request
// that isn't a probe once the response is sent.
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

// isProbe reports whether the path is requested by the load balancer or by collectors
// of metrics. These continue to send requests during a shutdown, so Shutdown does not
// wait for such requests.
func isProbe(path string) bool {
	return path == "/healthz" || path == "/readyz" || path == "/metrics"
}

// Stats returns the counters of urgent requests.
func (r *Router) Stats() *Stats { return &r.stats }

// health serves /healthz, which succeeds as long as the process runs.
func (r *Router) health(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok\n")
}

// readiness serves /readyz, which succeeds while the load balancer should send
// requests here.
func (r *Router) readiness(w http.ResponseWriter, _ *http.Request) {
	if r.draining.Load() {
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

// principalKey is the context key of the authenticated Principal.
type principalKey struct{}

// PrincipalFrom returns the authenticated sender of a request, for the handlers of
// WithStatus and WithOperatorAPI.
func PrincipalFrom(ctx context.Context) (authenticator.Principal, bool) {
	principal, ok := ctx.Value(principalKey{}).(authenticator.Principal)
	return principal, ok
}

// withPrincipal passes requests with a valid key on to next, with their Principal in the
// context, and refuses others.
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
