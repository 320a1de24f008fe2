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
	logger      hclog.Logger // parent of the components' loggers
	log         hclog.Logger // named "server"
	registry    metrics.Registry
	incarnation uint64       // larger than that of any earlier process of the VM
	listener    net.Listener // for callers and operators
	internal    net.Listener // for other entry VMs
	debug       net.Listener // for profiles; nil: none are served
	security    security

	store         keeper.Store
	mirror        *keeper.Mirror
	messenger     *messenger.Messenger // to entry VMs
	workers       *messenger.Messenger // to workers
	copy          *configurer.Copy
	replicator    *configurer.Replicator
	collector     *Collector
	tracker       *tracker.Tracker
	authenticator *authenticator.Authenticator
	admitter      *admitter.Admitter
	slotPool      *granter.SlotPool
	slotAllocator *granter.SlotAllocator
	elector       *elector.Elector
	client        *scheduler.Client
	router        *router.Router

	baseCtx     context.Context // of work that outlives a request; set by Run
	owned       ownedShards
	calls       *callRates                  // of calls to the key-value service
	claims      sync.Map                    // claimKey to holder (string), of claims granted here and not settled yet
	version     string                      // of the program, shown in the status
	slotsMu     sync.Mutex                  // held from begin to end of an allocation of slots, so that two never overlap
	slotJournal atomic.Pointer[slotJournal] // nil while no slots are allocated here
	group       sync.WaitGroup              // background work that Run waits for
	started     time.Time
}

// Dependency configures a Server under construction.
type Dependency func(*Server)

// WithLogger sets the logger. Each component adds its own name.
func WithLogger(logger hclog.Logger) Dependency { return func(s *Server) { s.logger = logger } }

// WithRegistry sets the registry of the metrics.
func WithRegistry(registry metrics.Registry) Dependency {
	return func(s *Server) { s.registry = registry }
}

// WithIncarnation sets the incarnation of the process, which must be larger than that
// of any earlier process of the VM. The default is the current time in nanoseconds.
func WithIncarnation(n uint64) Dependency { return func(s *Server) { s.incarnation = n } }

// WithVersion sets the version of the program that the status shows.
func WithVersion(version string) Dependency { return func(s *Server) { s.version = version } }

// New builds an entry VM and opens its listeners. Run starts it.
func New(settings *Settings, dependencies ...Dependency) (*Server, error) {
	s := &Server{
		settings:    settings,
		logger:      hclog.NewNullLogger(),
		registry:    metrics.NewRegistry(),
		incarnation: uint64(time.Now().UnixNano()),
		owned:       ownedShards{shards: map[string]*ownedShard{}},
		started:     time.Now(),
	}
	for _, dependency := range dependencies {
		dependency(s)
	}
	s.calls = newCallRates(s.registry)
	s.log = s.logger.Named("server")
	if err := s.listen(); err != nil {
		return nil, err
	}
	if err := s.build(); err != nil {
		s.closeListeners()
		return nil, err
	}
	return s, nil
}

// listen opens the listeners. It runs before build, since the components need the ports.
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

// Address returns the address (host:port) for callers and operators.
func (s *Server) Address() string { return s.listener.Addr().String() }

// InternalAddress returns the address (host:port) at which other entry VMs reach this one.
func (s *Server) InternalAddress() string {
	if _, port, err := net.SplitHostPort(s.settings.Advertise()); err == nil && port != "0" {
		return s.settings.Advertise()
	}
	return s.internal.Addr().String()
}

// processID returns a name of this process that is unique in the fleet.
func (s *Server) processID() string { return fmt.Sprintf("%s@%d", s.settings.ID(), s.incarnation) }

// build creates the components. Each step uses components of earlier steps.
func (s *Server) build() error {
	steps := []func() error{s.buildPlatform, s.buildConfiguration, s.buildMembership, s.buildShards, s.buildCallers}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// buildPlatform creates the client of the key-value service, and the messengers to entry
// VMs and workers.
func (s *Server) buildPlatform() error {
	transport := messenger.NewTransport(nil)
	client, err := keeper.New(s.settings.Platform(),
		keeper.WithName(s.settings.ID()),
		keeper.WithRegistry(s.registry),
		keeper.WithTimeout(s.settings.Limits().CallTimeout()),
		keeper.WithHTTPClient(&http.Client{Transport: transport}))
	if err != nil {
		return err
	}
	s.store = client.Store()
	s.mirror = keeper.NewMirror(s.store, livePrefix, keeper.WithLogger(s.logger))
	if s.security, err = s.newSecurity(); err != nil {
		return err
	}
	s.messenger, s.workers, err = s.newMessengers()
	return err
}

// buildConfiguration creates the copy of the declarations and its replicator, the load
// collector and the authenticator.
func (s *Server) buildConfiguration() error {
	s.copy = configurer.NewCopy(configurer.WithCopyLogger(s.logger))
	s.mirror.Subscribe(configurer.LiveKey, s.copy.Observe)
	s.replicator = configurer.NewReplicator(s.settings.ID(), s.copy, s.messenger, s.configurerPeers,
		configurer.WithReplicatorLogger(s.logger), configurer.WithLastUse(s.lastUse))
	s.collector = NewCollector(s.messenger, s.ownLoad, s.peerAddresses, s.allShards)
	var err error
	s.authenticator, err = authenticator.New(authenticator.WithLookup(s.lookupKey), authenticator.WithLogger(s.logger))
	return err
}

// remoteRounds is the time between two heartbeats to an entry VM of another data centre,
// in rounds of heartbeats.
const remoteRounds = 4

// buildMembership creates the tracker of VMs.
func (s *Server) buildMembership() error {
	var err error
	s.tracker, err = tracker.New(
		tracker.WithPlatform(s.settings.Platform(), &http.Client{Transport: messenger.NewTransport(nil)}),
		tracker.WithMessenger(s.messenger),
		tracker.WithSelf(s.settings.ID(), s.incarnation, s.settings.Centre()),
		tracker.WithRemoteRounds(remoteRounds),
		tracker.WithRevision(s.copy.Revision),
		tracker.WithOnRevision(s.fetchNewer),
		tracker.WithLogger(s.logger),
	)
	return err
}

// buildShards creates the elector, the client of shard owners, and the allocator and
// pool of slots.
func (s *Server) buildShards() error {
	var err error
	vm := elector.NewVM(s.settings.ID(), s.incarnation, s.InternalAddress(), s.settings.Centre())
	s.elector, err = elector.New(s.store, s.mirror, vm,
		elector.WithLogger(s.logger), elector.WithOnElected(s.onElected), elector.WithOnDeposed(s.onDeposed))
	if err != nil {
		return err
	}
	s.client = scheduler.NewClient(s.messenger, s.ownerAddress)
	s.slotAllocator, err = granter.NewSlotAllocator(
		granter.WithExecutors(s.executors),
		granter.WithIncarnationEnded(s.tracker.IncarnationEnded),
		granter.WithSlotJournal(s.appendSlotRecord),
		granter.WithSlotLogger(s.logger))
	if err != nil {
		return err
	}
	s.slotPool, err = granter.NewSlotPool(
		granter.WithIdentity(s.settings.ID(), s.incarnation),
		granter.WithOwner(s.slotOwner),
		granter.WithMessenger(s.messenger),
		granter.WithPoolLogger(s.logger))
	return err
}

// buildCallers creates the APIs of callers and operators.
func (s *Server) buildCallers() error {
	var err error
	s.admitter, err = admitter.New(admitter.WithTeamLimit(s.teamSlots), admitter.WithWeight(s.share))
	if err != nil {
		return err
	}
	writer := configurer.NewWriter(s.store, s.copy, configurer.WithWriterLogger(s.logger))
	operators := configurer.NewHandler(writer, s.copy,
		configurer.WithAuthenticate(authenticate),
		configurer.WithReplicator(s.replicator),
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
		router.WithAuthenticate(s.authenticator.Authenticate),
		router.WithServices(s.servicePolicy),
		router.WithQueues(s.queuePolicy),
		router.WithJobCheck(s.checkJob),
		router.WithReady(s.ready),
		router.WithCentre(s.settings.Centre()),
		router.WithPeers(router.NewPeerTransport(s.security.clientTLS()), s.security.scheme()),
		router.WithMetrics(exporter.Handler(s.registry)),
		router.WithStatus(NewStatusHandler(s.status)),
		router.WithStatusPage(page),
		router.WithOperatorAPI(operators),
	)
	if err != nil {
		return err
	}
	s.tracker.Subscribe(s.updateEndpoints)
	return nil
}

// ErrNotReady means that the entry VM has no declarations yet, or has just started and
// has no slots yet.
var ErrNotReady = errors.New("no declarations or slots here yet")

// startGrace is how long a started entry VM waits for slots before it is ready without
// any. Otherwise an entry VM that can't reach the owner that allocates the slots would
// never become ready.
const startGrace = 3 * time.Second

// ready returns ErrNotReady while the entry VM should get no requests, otherwise nil.
func (s *Server) ready() error {
	if s.copy.Current() == nil {
		return ErrNotReady
	}
	if len(s.slotPool.Services()) == 0 && time.Since(s.started) < startGrace {
		return ErrNotReady
	}
	return nil
}

// Ready returns ErrNotReady while the entry VM should get no requests, otherwise nil.
func (s *Server) Ready() error { return s.ready() }

// Incarnation returns the incarnation of the process.
func (s *Server) Incarnation() uint64 { return s.incarnation }

// ServingShards returns the shards that this entry VM owns and that have recovered.
func (s *Server) ServingShards() []string {
	var shards []string
	for _, o := range s.owned.all() {
		select {
		case <-o.scheduler.Ready():
			shards = append(shards, o.shard)
		default:
		}
	}
	return shards
}

// GrantedSlots returns how many slots of a service's executors are granted to this entry VM.
func (s *Server) GrantedSlots(service string) int {
	granted, _, _ := s.slotPool.Load(service)
	return granted
}
