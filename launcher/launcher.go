// Package launcher starts a whole fleet in one process on loopback: a stand-in
// of the platform, workers, executors, and entry VMs of several data centres.
package launcher

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"filberthaven.example/configurer"
	"filberthaven.example/emulator"
	"filberthaven.example/server"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/oops"
)

// Defaults of a fleet.
const (
	DefaultEntries   = 3 // entry VMs in a data centre
	DefaultWorkers   = 4 // in a data centre
	DefaultExecutors = 4 // of each service in a data centre
	// startTimeout bounds the start until all shards have owners.
	startTimeout = 30 * time.Second
	readyPause   = 50 * time.Millisecond
)

// ErrNotStarted means that the fleet was not ready in time.
var ErrNotStarted = errors.New("fleet not ready in time")

// Fleet is a running fleet.
type Fleet struct {
	logger hclog.Logger
	plan   plan                     // what is started, and the declarations
	starts map[string]*atomic.Int64 // of tasks, by data centre

	store    *emulator.Store
	platform *emulator.Platform
	witness  *emulator.InvariantChecker
	address  string // of the platform
	servers  []*http.Server
	vms      []*VM
	stands   []*emulator.Executor
	tasks    []standWorker
	keys     Keys
	group    sync.WaitGroup
	cancel   context.CancelFunc
}

// VM is a running entry VM.
type VM struct {
	id      string
	centre  string
	server  *server.Server
	cancel  context.CancelFunc
	stopped chan error // holds the result of Run
}

// ID returns the identifier.
func (v *VM) ID() string { return v.id }

// Centre returns the data centre.
func (v *VM) Centre() string { return v.centre }

// Address returns host:port for callers.
func (v *VM) Address() string { return v.server.Address() }

// Stop stops the entry VM in order and returns the result of its run.
func (v *VM) Stop() error {
	v.cancel()
	return <-v.stopped
}

// Keys are the secrets that were made for a fleet.
type Keys struct {
	operator string
	team     string
	teamID   string // public part of team
}

// Operator returns an operator's key.
func (k Keys) Operator() string { return k.operator }

// Team returns the key of the demo team.
func (k Keys) Team() string { return k.team }

// Option changes a Fleet under construction.
type Option func(*Fleet)

// WithLogger sets the logger of the entry VMs.
func WithLogger(logger hclog.Logger) Option { return func(f *Fleet) { f.logger = logger } }

// WithSize sets the entry VMs, workers and executors in each data centre.
func WithSize(entries, workers, executors int) Option {
	return func(f *Fleet) { f.plan.entries, f.plan.workers, f.plan.executors = entries, workers, executors }
}

// WithoutEntries makes the fleet's entry VMs processes of their own: it has none until
// SetEntry names them.
func WithoutEntries() Option { return func(f *Fleet) { f.plan.entries = 0 } }

// WithCentres sets the data centres.
func WithCentres(names ...string) Option { return func(f *Fleet) { f.plan.centres = names } }

// WithoutLimit lets the demo team use all workers.
func WithoutLimit() Option { return func(f *Fleet) { f.plan.limit = "none" } }

// WithExample starts one of the examples: its declarations and its sizes.
func WithExample(name string) Option { return func(f *Fleet) { f.plan.example = name } }

// New starts a fleet and returns when all of its shards have owners.
func New(ctx context.Context, options ...Option) (*Fleet, error) {
	f := &Fleet{
		logger: hclog.NewNullLogger(), plan: demoPlan(), witness: emulator.NewInvariantChecker(), starts: map[string]*atomic.Int64{},
	}
	for _, option := range options {
		option(f)
	}
	if err := f.plan.load(); err != nil {
		return nil, err
	}
	for _, centre := range f.plan.centres {
		f.starts[centre] = &atomic.Int64{}
	}
	ctx, f.cancel = context.WithCancel(ctx)
	steps := []func(context.Context) error{f.startPlatform, f.declare, f.startEndpoints, f.startEntries, f.waitReady}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Close stops all entry VMs in order, then the stand-ins.
func (f *Fleet) Close() {
	var group sync.WaitGroup
	for _, vm := range f.vms {
		group.Go(vm.cancel)
	}
	group.Wait()
	f.group.Wait()
	f.cancel()
	for _, each := range f.tasks {
		each.worker.Close()
	}
	for _, each := range f.servers {
		_ = each.Close()
	}
}

// Store returns the stand-in of the key-value service, for faults.
func (f *Fleet) Store() *emulator.Store { return f.store }

// Platform returns the URL of the platform.
func (f *Fleet) Platform() string { return "http://" + f.address }

// InvariantChecker returns what counts broken promises of tasks.
func (f *Fleet) InvariantChecker() *emulator.InvariantChecker { return f.witness }

// StartsIn returns the number of tasks that have started in a data centre.
func (f *Fleet) StartsIn(centre string) int64 { return f.starts[centre].Load() }

// Executors returns the stand-ins of executors.
func (f *Fleet) Executors() []*emulator.Executor { return f.stands }

// VMs returns the entry VMs.
func (f *Fleet) VMs() []*VM { return f.vms }

// Keys returns the keys of the fleet.
func (f *Fleet) Keys() Keys { return f.keys }

// Service returns the service that all executors offer.
func (f *Fleet) Service() string { return f.plan.service }

// Centres returns the data centres.
func (f *Fleet) Centres() []string { return f.plan.centres }

// serve serves a handler on a free loopback port and returns its address.
func (f *Fleet) serve(each *http.Server) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", oops.In("launcher").Wrapf(err, "listen on loopback")
	}
	f.servers = append(f.servers, each)
	go func() { _ = each.Serve(listener) }()
	return listener.Addr().String(), nil
}

// newServer returns a server for a stand-in.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: startTimeout}
}

// startPlatform starts the stand-in of the platform.
func (f *Fleet) startPlatform(context.Context) error {
	f.store = emulator.NewStore()
	f.platform = emulator.NewPlatform(f.store)
	var err error
	f.address, err = f.serve(newServer(f.platform))
	return err
}

// declare writes the first declarations.
func (f *Fleet) declare(ctx context.Context) error {
	files, keys := f.plan.declarations()
	document, err := configurer.Parse(files...)
	if err != nil {
		return err
	}
	writer := configurer.NewWriter(f.store.KV(), configurer.NewCopy())
	if _, err := writer.Apply(ctx, 0, document, "launcher", "first declarations"); err != nil {
		return err
	}
	f.keys = keys
	return nil
}

// startEntries starts the entry VMs of all data centres.
func (f *Fleet) startEntries(ctx context.Context) error {
	centres := make([]server.Centre, 0, len(f.plan.centres))
	for _, name := range f.plan.centres {
		centres = append(centres, server.NewCentre(name, 1))
	}
	for i := range f.plan.entries {
		for _, name := range f.plan.centres {
			id := fmt.Sprintf("%s-entry-%d", name, i+1)
			if err := f.startEntry(ctx, id, name, centres); err != nil {
				return err
			}
		}
	}
	return nil
}

// startEntry starts one entry VM and puts it into the platform's list.
func (f *Fleet) startEntry(ctx context.Context, id, centre string, centres []server.Centre) error {
	settings, err := server.NewSettings(server.WithID(id), server.WithCentre(centre),
		server.WithCentres(centres...), server.WithPlatform(f.Platform()))
	if err != nil {
		return err
	}
	each, err := server.New(settings, server.WithLogger(f.logger.With("vm", id)))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	vm := &VM{id: id, centre: centre, server: each, cancel: cancel, stopped: make(chan error, 1)}
	f.vms = append(f.vms, vm)
	f.SetEntry(id, centre, each.Internal(), "live", each.Incarnation())
	f.group.Go(func() { vm.stopped <- each.Run(ctx) })
	return nil
}

// waitReady waits until all entry VMs are ready and all shards have owners that
// serve.
func (f *Fleet) waitReady(ctx context.Context) error {
	if f.plan.entries == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		if f.ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrNotStarted
		case <-time.After(readyPause):
		}
	}
}

// SetEntry puts an entry VM, or what has become of it, into the platform's list.
func (f *Fleet) SetEntry(id, centre, address, state string, incarnation uint64) {
	f.platform.SetVM(emulator.VM{ID: id, Role: "entry", Address: address, Centre: centre, State: state, Incarnation: incarnation})
}

// ready reports whether each entry VM has the declarations and slots of executors,
// and each data centre an owner that serves.
func (f *Fleet) ready() bool {
	serving := map[string]bool{}
	for _, vm := range f.vms {
		if vm.server.Ready() != nil || f.plan.executors > 0 && vm.server.Slots(f.plan.service) == 0 {
			return false
		}
		for _, shard := range vm.server.Serving() {
			serving[shard] = true
		}
	}
	return len(serving) == len(f.plan.centres)
}
