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
	// memberWait is how long a watch for the owner and the entry VMs waits; each
	// watch is priced.
	memberWait = 10 * time.Second
	// ownerWatch is how long the owner's watches wait: a watch that has gone
	// silent must not hide a configuration for longer.
	ownerWatch = 800 * time.Millisecond
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 3 * time.Second
	// idleTimeout ends callers' idle connections.
	idleTimeout = 15 * time.Second
	// headerLimit is the largest header of a request in bytes.
	headerLimit = 16 << 10
	// stopTimeout bounds the end of what is under way at a planned stop.
	stopTimeout = 2500 * time.Millisecond
	// peerConnections is the number of idle connections kept to an entry VM.
	peerConnections = 16
	// askProcedure is the call by which the owner has a VM ask for advice.
	askProcedure = "/fleet/ask"
)

// Runner is one entry VM.
type Runner struct {
	settings  *Settings
	log       hclog.Logger
	registry  metrics.Registry
	store     *platform.Store
	orders    *platform.ExecutorClient
	adviser   *platform.AdviceClient
	messenger *messenger.Messenger
	claimer   *claimer.Claimer
	receiver  *receiver.Receiver
	relayer   *relayer.Relayer
}

// question asks a VM to ask which workers may run a step.
type question struct {
	Step    string   `cbor:"1,keyasint"`
	Workers []string `cbor:"2,keyasint"`
}

// advised is the answer to a question.
type advised struct {
	Tickets map[string]string `cbor:"1,keyasint"`
	Valid   time.Duration     `cbor:"2,keyasint"`
}

// NewLogger returns the logger that the settings ask for; it writes through the
// spooler.
func NewLogger(settings *Settings, s *spooler.Spooler) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name: "filberthaven", Level: hclog.LevelFromString(settings.Level()), JSONFormat: settings.JSON(), Output: s, Exclude: s.Exclude,
	})
}

// New returns an entry VM with those settings, whose metrics are those of the
// registry.
func New(settings *Settings, log hclog.Logger, registry metrics.Registry) (*Runner, error) {
	r := &Runner{settings: settings, log: log, registry: registry}
	r.store = platform.NewStore(settings.store, memberWait, r.registry)
	r.orders = platform.NewExecutorClient()
	if settings.advice != "" {
		r.adviser = platform.NewAdviceClient(settings.advice)
	}
	var err error
	if r.messenger, err = messenger.New(messenger.WithClient(platform.NewHTTPClient(peerConnections), "http")); err != nil {
		return nil, err
	}
	r.relayer = relayer.New(r.store.KV(), r.store.WithWatchTimeout(ownerWatch).KV(), settings.id, r.messenger, func() []claimer.Member { return r.claimer.Members() }, log, r.registry)
	r.claimer, err = claimer.New(r.relayer.Store(), settings.id, uuid.NewString(), settings.internal, settings.centre,
		claimer.WithLogger(log), claimer.WithOnElected(r.own), claimer.WithProcessor(settings.processor), claimer.WithBootstrap(settings.bootstrap))
	if err != nil {
		return nil, err
	}
	r.receiver = receiver.New(r.messenger, settings.id, r.claimer.Owner, log, r.registry)
	return r, nil
}

// own runs the fleet while this VM is the owner.
func (r *Runner) own(ctx context.Context, term uint64) {
	c, err := conductor.New(r.relayer.Wrap(r.store.WithWatchTimeout(ownerWatch).KV()), r.orders, r.settings.id, term,
		conductor.WithLease(r.settings.lease), conductor.WithLogger(r.log), conductor.WithRegistry(r.registry),
		conductor.WithValid(func() bool { return r.claimer.IsOwner(term) }),
		conductor.WithResign(r.claimer.ResignCentre), conductor.WithSlow(r.claimer.ResignVM),
		conductor.WithMembers(r.claimer.Members, r.ask))
	if err == nil {
		r.receiver.SetConductor(c)
		err = c.Run(ctx)
		r.receiver.SetConductor(nil)
	}
	if err != nil && ctx.Err() == nil {
		r.log.Error("fleet can't be run", "term", term, "error", err)
		r.claimer.ResignCentre()
	}
}

// ask has a VM ask for advice until ctx ends.
func (r *Runner) ask(ctx context.Context, member claimer.Member, a planner.Action) (map[string]string, time.Duration, error) {
	if member.ID() == r.settings.id {
		return r.askHere(ctx, a.Step, a.Workers)
	}
	answer, err := messenger.Call[question, advised](ctx, r.messenger, member.Address(), askProcedure, &question{a.Step, a.Workers})
	if err != nil {
		return nil, 0, err
	}
	return answer.Tickets, answer.Valid, nil
}

func (r *Runner) askHere(ctx context.Context, step string, workers []string) (map[string]string, time.Duration, error) {
	if r.adviser == nil {
		return nil, 0, oops.In("runner").Errorf("settings name no advice service")
	}
	return r.adviser.Eligible(ctx, step, workers)
}

// internalHandler serves the calls of other entry VMs.
func (r *Runner) internalHandler() http.Handler {
	mux := http.NewServeMux()
	r.receiver.Register(mux)
	r.relayer.Register(mux)
	messenger.Handle(r.messenger, mux, askProcedure, func(ctx context.Context, q *question) (*advised, error) {
		tickets, valid, err := r.askHere(ctx, q.Step, q.Workers)
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return &advised{tickets, valid}, nil
	})
	return mux
}

// newServer returns an HTTP server with the limits of callers' requests.
func (r *Runner) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerLimit,
		ErrorLog: r.log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// Run serves until ctx is done; then it stops in order: the ownership goes to
// another VM, the balancer sends callers elsewhere, requests under way end.
func (r *Runner) Run(ctx context.Context) error {
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	servers, failed, err := r.listen()
	if err != nil {
		return err
	}
	r.log.Info("serving", "vm", r.settings.id, "centre", r.settings.centre, "callers", r.settings.callers, "internal", r.settings.internal)
	var parts sync.WaitGroup
	parts.Go(func() { _ = r.claimer.Run(base) }) // ends with the context only
	select {
	case <-ctx.Done():
		r.stop(base, servers)
	case err = <-failed:
		r.log.Error("server ended", "error", err)
	}
	cancel()
	parts.Wait()
	for _, server := range servers {
		_ = server.Close() // what is left after the drain
	}
	r.log.Info("stopped", "vm", r.settings.id)
	return err
}

// listen opens all listeners.
func (r *Runner) listen() ([]*http.Server, <-chan error, error) {
	var servers []*http.Server
	failed := make(chan error, 4)
	for _, part := range []struct {
		address string
		handler http.Handler
	}{
		{r.settings.callers, r.receiver},
		{r.settings.ready, r.receiver.ReadinessHandler()},
		{r.settings.internal, r.internalHandler()},
		{r.settings.metrics, exporter.Handler(r.registry)},
	} {
		if part.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", part.address)
		if err != nil {
			return nil, nil, oops.In("runner").With("address", part.address).Wrapf(err, "address can't be listened on")
		}
		server := r.newServer(part.handler)
		servers = append(servers, server)
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	return servers, failed, nil
}

// stop ends in order and cuts no request.
func (r *Runner) stop(ctx context.Context, servers []*http.Server) {
	r.log.Info("stopping", "vm", r.settings.id)
	r.receiver.Drain()
	r.claimer.Leave()
	time.Sleep(r.settings.drain)
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			r.log.Warn("requests were still under way at the end", "error", err)
		}
	}
}
