// Package server runs one entry VM: it puts the parts together, starts and stops
// them.
package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"filberthaven.example/admitter"
	"filberthaven.example/authenticator"
	"filberthaven.example/configurer"
	"filberthaven.example/elector"
	"filberthaven.example/exporter"
	"filberthaven.example/granter"
	"filberthaven.example/keeper"
	"filberthaven.example/messenger"
	"filberthaven.example/router"
	"filberthaven.example/scheduler"
	"filberthaven.example/tracker"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// livePrefix is the prefix of the keys that each entry VM watches.
const livePrefix = "live/"

// Server is one entry VM.
type Server struct {
	settings    *Settings
	logger      hclog.Logger
	decisions   hclog.Logger // a line for each decision on where a job goes
	registry    metrics.Registry
	incarnation uint64 // larger than that of any earlier process of the VM
	listener    net.Listener
	internal    net.Listener
	debug       net.Listener // nil: no profiles are served
	security    security

	store     keeper.Store
	mirror    *keeper.Mirror
	messenger *messenger.Messenger // to entry VMs
	workers   *messenger.Messenger // to workers
	copy      *configurer.Copy
	spreader  *configurer.Replicator
	collector *Collector
	tracker   *tracker.Tracker
	keys      *authenticator.Authenticator
	admitter  *admitter.Admitter
	holder    *granter.SlotPool
	slotter   *granter.SlotAllocator
	elector   *elector.Elector
	client    *scheduler.Client
	router    *router.Router

	base     context.Context // of everything that outlives a request; set by Run
	tenures  tenures
	calls    *callRates
	claims   sync.Map                    // of claimKey to the holder that was granted the claim
	version  string                      // of the program, for the status
	slotting sync.Mutex                  // held by the tenure that divides slots
	slots    atomic.Pointer[slotRecords] // nil while no slots are divided here
	group    sync.WaitGroup
	started  time.Time
}

// Dependency changes what a Server is built on.
type Dependency func(*Server)

// WithLogger sets the logger. Each part adds its own name.
func WithLogger(logger hclog.Logger) Dependency { return func(s *Server) { s.logger = logger } }

// WithRegistry sets where metrics are kept.
func WithRegistry(registry metrics.Registry) Dependency {
	return func(s *Server) { s.registry = registry }
}

// WithIncarnation sets the number of the process, which has to be larger than
// that of any earlier process of the VM; by default it is the time.
func WithIncarnation(n uint64) Dependency { return func(s *Server) { s.incarnation = n } }

// WithVersion sets the version of the program that the status tells.
func WithVersion(version string) Dependency { return func(s *Server) { s.version = version } }

// New puts an entry VM together and opens its listeners.
func New(settings *Settings, dependencies ...Dependency) (*Server, error) {
	s := &Server{
		settings:    settings,
		logger:      hclog.NewNullLogger(),
		registry:    metrics.NewRegistry(),
		incarnation: uint64(time.Now().UnixNano()),
		tenures:     tenures{shards: map[string]*tenure{}},
		started:     time.Now(),
	}
	for _, dependency := range dependencies {
		dependency(s)
	}
	s.calls = newCallRates(s.registry)
	s.decisions = s.logger.Named("server")
	if err := s.listen(); err != nil {
		return nil, err
	}
	if err := s.build(); err != nil {
		s.closeListeners()
		return nil, err
	}
	return s, nil
}

// listen opens both listeners, so that their ports are known to all parts.
func (s *Server) listen() error {
	var err error
	if s.listener, err = net.Listen("tcp", s.settings.Listen()); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	if s.internal, err = net.Listen("tcp", s.settings.Internal()); err != nil {
		_ = s.listener.Close()
		return fmt.Errorf("listen for entry VMs: %w", err)
	}
	if s.settings.Debug() == "" {
		return nil
	}
	if s.debug, err = net.Listen("tcp", s.settings.Debug()); err != nil {
		s.closeListeners()
		return fmt.Errorf("listen for debugging: %w", err)
	}
	return nil
}

func (s *Server) closeListeners() {
	if s.debug != nil {
		_ = s.debug.Close()
	}
	_ = s.listener.Close()
	_ = s.internal.Close()
}

// Address returns host:port for callers and operators.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Internal returns host:port for entry VMs.
func (s *Server) Internal() string {
	if _, port, err := net.SplitHostPort(s.settings.Advertise()); err == nil && port != "0" {
		return s.settings.Advertise()
	}
	return s.internal.Addr().String()
}

// process names this process among all of the fleet.
func (s *Server) process() string { return fmt.Sprintf("%s@%d", s.settings.ID(), s.incarnation) }

// build puts the parts together, from the platform's side to the callers'.
func (s *Server) build() error {
	steps := []func() error{s.buildPlatform, s.buildConfiguration, s.buildMembership, s.buildShards, s.buildCallers}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// buildPlatform makes the ways to the key-value service and to other processes.
func (s *Server) buildPlatform() error {
	transport := messenger.NewTransport(nil)
	client, err := keeper.New(s.settings.Platform(),
		keeper.WithName(s.settings.ID()),
		keeper.WithRegistry(s.registry),
		keeper.WithTimeout(s.settings.Limits().Call()),
		keeper.WithHTTPClient(&http.Client{Transport: transport}))
	if err != nil {
		return err
	}
	s.store = client.Store()
	s.mirror = keeper.NewMirror(s.store, livePrefix, keeper.WithLogger(s.logger))
	if s.security, err = s.newSecurity(); err != nil {
		return err
	}
	s.messenger, s.workers, err = s.messengers()
	return err
}

// buildConfiguration makes the copy of the declarations and its exchange.
func (s *Server) buildConfiguration() error {
	s.copy = configurer.NewCopy(configurer.WithCopyLogger(s.logger))
	s.mirror.Subscribe(configurer.LiveKey, s.copy.Observe)
	s.spreader = configurer.NewReplicator(s.settings.ID(), s.copy, s.messenger, s.configurerPeers,
		configurer.WithReplicatorLogger(s.logger), configurer.WithLastUse(s.lastUse))
	s.collector = NewCollector(s.messenger, s.ownLoad, s.peerAddresses, s.allShards)
	var err error
	s.keys, err = authenticator.New(authenticator.WithLookup(s.lookupKey), authenticator.WithLogger(s.logger))
	return err
}

// farRounds is how many rounds of heartbeats pass between two to one entry VM of
// another data centre.
const farRounds = 4

// buildMembership makes the tracker of VMs.
func (s *Server) buildMembership() error {
	var err error
	s.tracker, err = tracker.New(
		tracker.WithPlatform(s.settings.Platform(), &http.Client{Transport: messenger.NewTransport(nil)}),
		tracker.WithMessenger(s.messenger),
		tracker.WithSelf(s.settings.ID(), s.incarnation, s.settings.Centre()),
		tracker.WithRemoteRounds(farRounds),
		tracker.WithRevision(s.copy.Revision),
		tracker.WithOnRevision(s.catchUp),
		tracker.WithLogger(s.logger),
	)
	return err
}

// buildShards makes what owns shards, and what calls their owners.
func (s *Server) buildShards() error {
	var err error
	vm := elector.NewVM(s.settings.ID(), s.incarnation, s.Internal(), s.settings.Centre())
	s.elector, err = elector.New(s.store, s.mirror, vm,
		elector.WithLogger(s.logger), elector.OnElected(s.elected), elector.OnDeposed(s.deposed))
	if err != nil {
		return err
	}
	s.client = scheduler.NewClient(s.messenger, s.ownerAddress)
	s.slotter, err = granter.NewSlotAllocator(
		granter.WithExecutors(s.executors),
		granter.WithIncarnationEnded(s.tracker.IncarnationEnded),
		granter.WithSlotJournal(s.journalSlots),
		granter.WithSlotLogger(s.logger))
	if err != nil {
		return err
	}
	s.holder, err = granter.NewSlotPool(
		granter.WithIdentity(s.settings.ID(), s.incarnation),
		granter.WithOwner(s.slotOwner),
		granter.WithMessenger(s.messenger),
		granter.WithPoolLogger(s.logger))
	return err
}

// buildCallers makes the APIs of callers and operators.
func (s *Server) buildCallers() error {
	var err error
	s.admitter, err = admitter.New(admitter.WithTeamLimit(s.teamSlots), admitter.WithWeight(s.share))
	if err != nil {
		return err
	}
	writer := configurer.NewWriter(s.store, s.copy, configurer.WithWriterLogger(s.logger))
	operators := configurer.NewHandler(writer, s.copy,
		configurer.WithAuthenticate(identify),
		configurer.WithReplicator(s.spreader),
		configurer.WithUsage(s.planUsage),
		configurer.WithHandlerLogger(s.logger))
	page, err := NewPage(s.status)
	if err != nil {
		return err
	}
	s.router, err = router.New(
		router.WithLogger(s.logger),
		router.WithJobs(s.jobs()),
		router.WithRequests(s.requests()),
		router.WithAuthenticate(s.keys.Authenticate),
		router.WithServices(s.servicePolicy),
		router.WithQueues(s.queuePolicy),
		router.WithJobCheck(s.checkJob),
		router.WithReady(s.ready),
		router.WithCentre(s.settings.Centre()),
		router.WithPeers(router.NewPeerTransport(s.security.client()), s.security.scheme()),
		router.WithMetrics(exporter.Handler(s.registry)),
		router.WithStatus(NewStatusHandler(s.status)),
		router.WithStatusPage(page),
		router.WithOperatorAPI(operators),
	)
	if err != nil {
		return err
	}
	s.tracker.Subscribe(s.followEndpoints)
	return nil
}

// ErrNotReady means that the entry VM has no declarations or no slots yet.
var ErrNotReady = errors.New("no declarations or slots here yet")

// startGrace is how long a starting entry VM waits for slots before it calls itself
// ready without, as one that is cut off from the owner has to.
const startGrace = 3 * time.Second

// ready reports why requests aren't welcome yet.
func (s *Server) ready() error {
	if s.copy.Current() == nil {
		return ErrNotReady
	}
	if len(s.holder.Services()) == 0 && time.Since(s.started) < startGrace {
		return ErrNotReady
	}
	return nil
}

// Ready returns why requests aren't welcome yet, nil when they are.
func (s *Server) Ready() error { return s.ready() }

// Incarnation returns the number of the process.
func (s *Server) Incarnation() uint64 { return s.incarnation }

// Serving returns the shards that this entry VM owns and has recovered.
func (s *Server) Serving() []string {
	var shards []string
	for _, t := range s.tenures.all() {
		select {
		case <-t.scheduler.Ready():
			shards = append(shards, t.shard)
		default:
		}
	}
	return shards
}

// Slots returns how many slots of a service's executors this entry VM was granted.
func (s *Server) Slots(service string) int {
	granted, _, _ := s.holder.Load(service)
	return granted
}
