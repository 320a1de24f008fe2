package runner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"filberthaven.example/claimer"
	"filberthaven.example/conductor"
	"filberthaven.example/exporter"
	"filberthaven.example/messenger"
	"filberthaven.example/planner"
	"filberthaven.example/platform"
	"filberthaven.example/receiver"
	"filberthaven.example/relayer"
	"filberthaven.example/spooler"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/samber/oops"
)

const (
	// memberWatchTimeout is how long a watch of the owner and the entry VMs waits for a
	// change. It is long because the platform charges for each watch.
	memberWatchTimeout = 10 * time.Second
	// ownerWatchTimeout is how long the owner's watches wait for a change. It is short
	// because a watch that gets no response delays a new configuration by that time, and
	// leaves the owner with less than a second to list the keys anew before it has to stop
	// deciding.
	ownerWatchTimeout = 400 * time.Millisecond
	// headerTimeout limits reading the header of a request.
	headerTimeout = 3 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept open.
	idleTimeout = 15 * time.Second
	// headerLimit is the largest header of a request in bytes.
	headerLimit = 16 << 10
	// shutdownTimeout limits the wait for requests in flight when the VM stops.
	shutdownTimeout = 2500 * time.Millisecond
	// peerConnections is the largest number of connections to one entry VM.
	peerConnections = 16
	// adviceProcedure is the RPC by which the owner requests advice through another VM.
	adviceProcedure = "/fleet/ask"
)

// Runner is one entry VM.
type Runner struct {
	settings     *Settings
	log          hclog.Logger
	registry     metrics.Registry
	store        *platform.Store
	executors    *platform.ExecutorClient
	adviceClient *platform.AdviceClient
	messenger    *messenger.Messenger
	calibrator   *conductor.Calibrator
	claimer      *claimer.Claimer
	receiver     *receiver.Receiver
	relayer      *relayer.Relayer
}

// adviceRequest is the request to an entry VM for the advice which of the workers may run
// a step.
type adviceRequest struct {
	Step    string   `cbor:"1,keyasint"`
	Workers []string `cbor:"2,keyasint"`
}

// adviceResponse is the response to an adviceRequest.
type adviceResponse struct {
	Tickets map[string]string `cbor:"1,keyasint"` // by worker; only eligible ones have a ticket
	Valid   time.Duration     `cbor:"2,keyasint"` // how long the tickets are valid
}

// NewLogger returns a logger with the configured level and format that writes through
// the spooler.
func NewLogger(settings *Settings, s *spooler.Spooler) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: "filberthaven", Level: hclog.LevelFromString(settings.Level()), JSONFormat: settings.JSON(), Output: s, Exclude: s.Exclude,
	})
}

// New returns an entry VM with those settings. It registers its metrics in registry.
func New(settings *Settings, log hclog.Logger, registry metrics.Registry) (*Runner, error) {
	r := &Runner{settings: settings, log: log, registry: registry, calibrator: conductor.NewCalibrator(claimer.Now)}
	r.store = platform.NewStore(settings.store, memberWatchTimeout, r.registry)
	r.executors = platform.NewExecutorClient(settings.idleConnections())
	if settings.advice != "" {
		r.adviceClient = platform.NewAdviceClient(settings.advice)
	}
	var err error
	if r.messenger, err = messenger.New(messenger.WithClient(platform.NewHTTPClient(peerConnections, platform.DefaultIdle), "http")); err != nil {
		return nil, err
	}
	r.relayer = relayer.New(r.store.KV(), r.store.WithWatchTimeout(ownerWatchTimeout).KV(), settings.id, r.messenger, func() []claimer.Member { return r.claimer.Members() }, log, r.registry)
	r.claimer, err = claimer.New(r.relayer.Store(), settings.id, uuid.NewString(), settings.internal, settings.centre,
		claimer.WithLogger(log), claimer.WithOnElected(r.runFleet), claimer.WithProcessor(settings.processor), claimer.WithBootstrap(settings.bootstrap))
	if err != nil {
		return nil, err
	}
	r.receiver = receiver.New(r.messenger, settings.id, r.claimer.Owner, log, r.registry)
	return r, nil
}

// runFleet runs the fleet in a term in which this VM is the owner, until ctx ends. If the
// fleet fails before that, this VM gives up the ownership, and the VMs of its data centre
// claim it later than the others.
func (r *Runner) runFleet(ctx context.Context, term uint64) {
	c, err := conductor.New(r.relayer.Wrap(r.store.WithWatchTimeout(ownerWatchTimeout).KV()), r.executors, r.settings.id, term,
		conductor.WithLease(r.settings.lease), conductor.WithLogger(r.log), conductor.WithRegistry(r.registry),
		conductor.WithCalibrator(r.calibrator),
		conductor.WithIsOwner(func() bool { return r.claimer.IsOwner(term) }),
		conductor.WithResign(r.claimer.ResignCentre), conductor.WithResignSlow(r.claimer.ResignVM), conductor.WithResignRefused(r.claimer.ResignRefused),
		conductor.WithHasLargerPeer(r.claimer.HasLargerPeer),
		conductor.WithMembers(r.claimer.Members, r.requestAdvice),
		conductor.WithPlannerOptions(planner.WithPreemption(r.settings.preempt), planner.WithCopies(r.settings.copies)))
	if err == nil {
		r.receiver.SetConductor(c)
		err = c.Run(ctx)
		r.receiver.SetConductor(nil)
	}
	if err != nil && ctx.Err() == nil {
		r.log.Error("failed to run the fleet", "term", term, "error", err)
		r.claimer.ResignCentre()
	}
}

// requestAdvice requests the advice for an action through an entry VM, which may be this
// one.
func (r *Runner) requestAdvice(ctx context.Context, member claimer.Member, action planner.Action) (map[string]string, time.Duration, error) {
	if member.ID() == r.settings.id {
		return r.requestAdviceDirectly(ctx, action.Step, action.Workers)
	}
	response, err := messenger.Call[adviceRequest, adviceResponse](ctx, r.messenger, member.Address(), adviceProcedure, &adviceRequest{action.Step, action.Workers})
	if err != nil {
		return nil, 0, err
	}
	return response.Tickets, response.Valid, nil
}

// requestAdviceDirectly requests advice from the platform's advice service.
func (r *Runner) requestAdviceDirectly(ctx context.Context, step string, workers []string) (map[string]string, time.Duration, error) {
	if r.adviceClient == nil {
		return nil, 0, oops.In("runner").Errorf("settings name no advice service")
	}
	return r.adviceClient.Tickets(ctx, step, workers)
}

// internalHandler returns the handler for calls of other entry VMs.
func (r *Runner) internalHandler() http.Handler {
	mux := http.NewServeMux()
	r.receiver.Register(mux)
	r.relayer.Register(mux)
	messenger.Handle(r.messenger, mux, adviceProcedure, func(ctx context.Context, request *adviceRequest) (*adviceResponse, error) {
		tickets, valid, err := r.requestAdviceDirectly(ctx, request.Step, request.Workers)
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return &adviceResponse{tickets, valid}, nil
	})
	return mux
}

// newServer returns an HTTP server with limits on slow connections and large headers.
func (r *Runner) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerLimit,
		ErrorLog: r.log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// Run serves until ctx is done or a server fails. When ctx is done, it shuts down
// gracefully: it gives up the ownership, keeps serving while the load balancer moves
// callers to other VMs, and waits for the requests in flight.
func (r *Runner) Run(ctx context.Context) error {
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	servers, failed, err := r.listen()
	if err != nil {
		return err
	}
	r.log.Info("serving", "vm", r.settings.id, "centre", r.settings.centre, "callers", r.settings.callers, "internal", r.settings.internal)
	var wg sync.WaitGroup
	wg.Go(func() { _ = r.claimer.Run(base) }) // ends with the context only
	select {
	case <-ctx.Done():
		r.stop(base, servers)
	case err = <-failed:
		r.log.Error("server failed", "error", err)
	}
	cancel()
	wg.Wait()
	for _, server := range servers {
		_ = server.Close() // closes the connections left after the drain
	}
	r.log.Info("stopped", "vm", r.settings.id)
	return err
}

// listen starts a server on each configured address, or none. It returns the servers, and a
// channel that receives an error when one of them fails.
func (r *Runner) listen() ([]*http.Server, <-chan error, error) {
	var servers []*http.Server
	var listeners []net.Listener
	failed := make(chan error, 4)
	for _, binding := range []struct {
		address string
		handler http.Handler
	}{
		{r.settings.callers, r.receiver},
		{r.settings.ready, r.receiver.ReadinessHandler()},
		{r.settings.internal, r.internalHandler()},
		{r.settings.metrics, exporter.Handler(r.registry)},
	} {
		if binding.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", binding.address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, nil, oops.In("runner").With("address", binding.address).Wrapf(err, "can't listen on address")
		}
		servers, listeners = append(servers, r.newServer(binding.handler)), append(listeners, listener)
	}
	for i, server := range servers {
		go func() {
			if err := server.Serve(listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	return servers, failed, nil
}

// stop gives up the ownership, serves on for the drain time, and shuts the servers down. A
// request that ends within shutdownTimeout is not aborted.
func (r *Runner) stop(ctx context.Context, servers []*http.Server) {
	r.log.Info("stopping", "vm", r.settings.id)
	r.receiver.Drain()
	r.claimer.Leave()
	time.Sleep(r.settings.drain)
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			r.log.Warn("requests still in flight after shutdown timeout", "error", err)
		}
	}
}
