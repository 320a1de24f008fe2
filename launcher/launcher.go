// Package launcher starts a whole fleet in one process on loopback: the entry VMs of
// several data centres, and an emulated platform, workers and executors.
//
// New starts a Fleet and waits until its entry VMs are ready and its shards have owners
// that serve. Check exercises it from end to end, and Close stops it.
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
	DefaultExecutors = 4 // in a data centre
	// startTimeout limits the wait until all entry VMs and shards are ready.
	startTimeout      = 30 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

// ErrNotStarted means that the fleet was not ready in time.
var ErrNotStarted = errors.New("fleet not ready in time")

// Fleet is a running fleet.
type Fleet struct {
	logger hclog.Logger
	spec   fleetSpec
	starts map[string]*atomic.Int64 // number of task starts, by data centre

	store     *emulator.Store
	platform  *emulator.Platform
	checker   *emulator.InvariantChecker
	address   string         // host:port of the platform
	servers   []*http.Server // of the platform, workers and executors
	vms       []*VM
	executors []*emulator.Executor
	workers   []workerServer
	keys      Keys
	group     sync.WaitGroup // running entry VMs
	cancel    context.CancelFunc
}

// VM is a running entry VM.
type VM struct {
	id      string
	centre  string
	server  *server.Server
	cancel  context.CancelFunc
	stopped chan error // receives the error of Run when it returns
}

// ID returns the id of the VM.
func (v *VM) ID() string { return v.id }

// Centre returns the data centre.
func (v *VM) Centre() string { return v.centre }

// Address returns the address (host:port) for callers.
func (v *VM) Address() string { return v.server.Address() }

// Stop shuts the entry VM down cleanly and returns the error of its Run. It must be
// called once.
func (v *VM) Stop() error {
	v.cancel()
	return <-v.stopped
}

// Keys holds the secret API keys that were generated for a fleet.
type Keys struct {
	operator string
	team     string
	teamID   string // public id of the team's key
}

// Operator returns an operator's key.
func (k Keys) Operator() string { return k.operator }

// Team returns the key of the demo team, or of the example's first team.
func (k Keys) Team() string { return k.team }

// Option changes a Fleet under construction.
type Option func(*Fleet)

// WithLogger sets the logger of the entry VMs.
func WithLogger(logger hclog.Logger) Option { return func(f *Fleet) { f.logger = logger } }

// WithSize sets the numbers of entry VMs, workers and executors in each data centre.
func WithSize(entries, workers, executors int) Option {
	return func(f *Fleet) { f.spec.entries, f.spec.workers, f.spec.executors = entries, workers, executors }
}

// WithoutEntries starts no entry VMs. The caller runs them in other processes and adds
// them with SetEntry.
func WithoutEntries() Option { return func(f *Fleet) { f.spec.entries = 0 } }

// WithCentres sets the data centres.
func WithCentres(names ...string) Option { return func(f *Fleet) { f.spec.centres = names } }

// WithoutLimit removes the limit of the demo team.
func WithoutLimit() Option { return func(f *Fleet) { f.spec.limit = "none" } }

// WithExample takes the declarations and the sizes from the example of that name.
func WithExample(name string) Option { return func(f *Fleet) { f.spec.example = name } }

// New starts a fleet and waits until its entry VMs are ready and its shards have owners
// that serve.
func New(ctx context.Context, options ...Option) (*Fleet, error) {
	f := &Fleet{
		logger: hclog.NewNullLogger(), spec: demoSpec(), checker: emulator.NewInvariantChecker(), starts: map[string]*atomic.Int64{},
	}
	for _, option := range options {
		option(f)
	}
	if err := f.spec.load(); err != nil {
		return nil, err
	}
	for _, centre := range f.spec.centres {
		f.starts[centre] = &atomic.Int64{}
	}
	ctx, f.cancel = context.WithCancel(ctx)
	steps := []func(context.Context) error{f.startPlatform, f.writeDeclarations, f.startWorkersAndExecutors, f.startEntries, f.waitReady}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Close shuts all entry VMs down cleanly, and then stops the workers and servers.
func (f *Fleet) Close() {
	var group sync.WaitGroup
	for _, vm := range f.vms {
		group.Go(vm.cancel)
	}
	group.Wait()
	f.group.Wait()
	f.cancel()
	for _, w := range f.workers {
		w.worker.Close()
	}
	for _, srv := range f.servers {
		_ = srv.Close()
	}
}

// Store returns the emulated key-value service, for injecting faults.
func (f *Fleet) Store() *emulator.Store { return f.store }

// Platform returns the URL of the platform.
func (f *Fleet) Platform() string { return "http://" + f.address }

// InvariantChecker returns the checker that records invariant violations by tasks.
func (f *Fleet) InvariantChecker() *emulator.InvariantChecker { return f.checker }

// StartsIn returns the number of task starts in a data centre.
func (f *Fleet) StartsIn(centre string) int64 { return f.starts[centre].Load() }

// Executors returns the emulated executors.
func (f *Fleet) Executors() []*emulator.Executor { return f.executors }

// VMs returns the entry VMs.
func (f *Fleet) VMs() []*VM { return f.vms }

// Keys returns the keys of the fleet.
func (f *Fleet) Keys() Keys { return f.keys }

// Service returns the service that all executors offer.
func (f *Fleet) Service() string { return f.spec.service }

// Centres returns the data centres.
func (f *Fleet) Centres() []string { return f.spec.centres }

// serve runs a server on a free loopback port until Close, and returns its address.
func (f *Fleet) serve(srv *http.Server) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", oops.In("launcher").Wrapf(err, "listen on loopback")
	}
	f.servers = append(f.servers, srv)
	go func() { _ = srv.Serve(listener) }()
	return listener.Addr().String(), nil
}

// newServer returns the server of an emulated platform or worker.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: startTimeout}
}

// startPlatform starts the emulated platform and key-value service.
func (f *Fleet) startPlatform(context.Context) error {
	f.store = emulator.NewStore()
	f.platform = emulator.NewPlatform(f.store)
	var err error
	f.address, err = f.serve(newServer(f.platform))
	return err
}

// writeDeclarations stores the first revision of the declarations, and sets f.keys to the
// keys that it declares.
func (f *Fleet) writeDeclarations(ctx context.Context) error {
	files, keys := f.spec.declarations()
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
	centres := make([]server.Centre, 0, len(f.spec.centres))
	for _, name := range f.spec.centres {
		centres = append(centres, server.NewCentre(name, 1))
	}
	for i := range f.spec.entries {
		for _, name := range f.spec.centres {
			id := fmt.Sprintf("%s-entry-%d", name, i+1)
			if err := f.startEntry(ctx, id, name, centres); err != nil {
				return err
			}
		}
	}
	return nil
}

// startEntry starts an entry VM and adds it to the platform's list.
func (f *Fleet) startEntry(ctx context.Context, id, centre string, centres []server.Centre) error {
	settings, err := server.NewSettings(server.WithID(id), server.WithCentre(centre),
		server.WithCentres(centres...), server.WithPlatform(f.Platform()))
	if err != nil {
		return err
	}
	srv, err := server.New(settings, server.WithLogger(f.logger.With("vm", id)))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	vm := &VM{id: id, centre: centre, server: srv, cancel: cancel, stopped: make(chan error, 1)}
	f.vms = append(f.vms, vm)
	f.SetEntry(id, centre, srv.InternalAddress(), "live", srv.Incarnation())
	f.group.Go(func() { vm.stopped <- srv.Run(ctx) })
	return nil
}

// waitReady waits until ready returns true. Without entry VMs it returns at once.
func (f *Fleet) waitReady(ctx context.Context) error {
	if f.spec.entries == 0 {
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
		case <-time.After(readyPollInterval):
		}
	}
}

// SetEntry adds an entry VM to the platform's list, or updates its entry.
func (f *Fleet) SetEntry(id, centre, address, state string, incarnation uint64) {
	f.platform.SetVM(emulator.VM{ID: id, Role: "entry", Address: address, Centre: centre, State: state, Incarnation: incarnation})
}

// ready reports whether each entry VM is ready and has slots of executors, and the shard
// of each data centre has an owner that serves.
func (f *Fleet) ready() bool {
	serving := map[string]bool{}
	for _, vm := range f.vms {
		if vm.server.Ready() != nil || f.spec.executors > 0 && vm.server.GrantedSlots(f.spec.service) == 0 {
			return false
		}
		for _, shard := range vm.server.ServingShards() {
			serving[shard] = true
		}
	}
	return len(serving) == len(f.spec.centres)
}
