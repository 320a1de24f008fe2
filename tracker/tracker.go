package tracker

import (
	"context"
	"net/http"
	"sync"
	"time"

	"filberthaven.example/messenger"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
)

// Intervals and bounds.
const (
	// DefaultPoll is the time between two reads of the platform's list.
	DefaultPoll = 500 * time.Millisecond
	// DefaultHeartbeat is the time between two heartbeats to one entry VM.
	DefaultHeartbeat = 500 * time.Millisecond
	// DefaultSuspectTimeout is the silence after which a peer is suspected.
	DefaultSuspectTimeout = 2 * time.Second
	// DefaultDeadTimeout is the silence after which a peer is taken for dead.
	DefaultDeadTimeout = 5 * time.Second
	// callTimeout bounds one read of the list and one heartbeat.
	callTimeout = time.Second
	// answerLimit is the largest answer of the platform in bytes.
	answerLimit = 16 << 20
)

// Tracker knows the VMs. Its accessors are safe for concurrent use.
type Tracker struct {
	platform    string // base URL of the platform, empty: no list is read
	client      *http.Client
	messenger   *messenger.Messenger // nil: no heartbeats
	id          string               // own VM
	incarnation uint64               // of the own process
	centre      string               // own data centre
	poll        time.Duration
	beat        time.Duration
	suspect     time.Duration
	dead        time.Duration
	now         func() time.Time
	logger      hclog.Logger
	revision    func() uint64
	onRevision  func(peer, address string, revision uint64)
	list        *list
	far         int // rounds between two heartbeats to another data centre, at least 1
	round       int // of heartbeats; used by one goroutine
	peers       *peers
	mu          sync.Mutex
	next        int                // key of the next subscription
	subscribers map[int]func([]VM) // called with the VMs that changed
	fetched     time.Time          // of the last answer of the platform
}

// Option changes a Tracker under construction.
type Option func(*Tracker)

// WithPlatform sets the base URL of the platform and the client for it.
func WithPlatform(url string, client *http.Client) Option {
	return func(t *Tracker) {
		t.platform = url
		t.client = client
	}
}

// WithMessenger sets what heartbeats travel by.
func WithMessenger(m *messenger.Messenger) Option { return func(t *Tracker) { t.messenger = m } }

// WithSelf sets the own VM, the incarnation of the process and the data centre.
func WithSelf(id string, incarnation uint64, centre string) Option {
	return func(t *Tracker) {
		t.id = id
		t.incarnation = incarnation
		t.centre = centre
	}
}

// WithPoll sets the time between two reads of the platform's list.
func WithPoll(d time.Duration) Option { return func(t *Tracker) { t.poll = d } }

// WithHeartbeat sets the time between two heartbeats to one entry VM.
func WithHeartbeat(d time.Duration) Option { return func(t *Tracker) { t.beat = d } }

// WithRemoteRounds sets how many rounds of heartbeats pass between two to one entry VM of
// another data centre, at least 1. Silence of such a VM is noticed as much later.
// Since each entry VM calls each other, these heartbeats grow with the square of
// the fleet.
func WithRemoteRounds(rounds int) Option { return func(t *Tracker) { t.far = max(1, rounds) } }

// WithTimeouts sets the silence after which a peer is suspected, and after which
// it is taken for dead.
func WithTimeouts(suspect, dead time.Duration) Option {
	return func(t *Tracker) {
		t.suspect = suspect
		t.dead = dead
	}
}

// WithRevision sets the revision of the configuration that heartbeats carry.
func WithRevision(f func() uint64) Option { return func(t *Tracker) { t.revision = f } }

// WithOnRevision sets what is told of a peer's revision of the configuration,
// with the peer's id and address. It must not block.
func WithOnRevision(f func(peer, address string, revision uint64)) Option {
	return func(t *Tracker) { t.onRevision = f }
}

// WithLogger sets where changes are logged.
func WithLogger(logger hclog.Logger) Option {
	return func(t *Tracker) { t.logger = logger.Named("tracker") }
}

// WithClock sets the clock.
func WithClock(now func() time.Time) Option { return func(t *Tracker) { t.now = now } }

// New returns a Tracker changed by the options. Run makes it work.
func New(options ...Option) (*Tracker, error) {
	t := &Tracker{
		client: http.DefaultClient, poll: DefaultPoll, beat: DefaultHeartbeat,
		suspect: DefaultSuspectTimeout, dead: DefaultDeadTimeout, far: 1, now: time.Now,
		logger:      hclog.NewNullLogger(),
		revision:    func() uint64 { return 0 },
		onRevision:  func(string, string, uint64) {},
		list:        newList(),
		peers:       newPeers(),
		subscribers: map[int]func([]VM){},
	}
	for _, option := range options {
		option(t)
	}
	return t, nil
}

// Run reads the list and sends heartbeats until ctx is done.
func (t *Tracker) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if t.platform != "" {
		group.Go(func() error { return t.every(ctx, t.poll, t.fetch) })
	}
	if t.messenger != nil {
		group.Go(func() error { return t.every(ctx, t.beat, t.beatAll) })
	}
	return group.Wait()
}

// every calls f at once and then in intervals, until ctx is done.
func (t *Tracker) every(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// EntryVMs returns the entry VMs of a data centre (empty: of all) that are not
// gone, by id.
func (t *Tracker) EntryVMs(centre string) []VM {
	return t.list.filter(EntryRole, centre, all)
}

// Workers returns the workers of a data centre (empty: of all) that are not
// gone, by id.
func (t *Tracker) Workers(centre string) []VM {
	return t.list.filter(WorkerRole, centre, all)
}

// Endpoints returns the endpoints of a service in a data centre (each empty: of
// all) that are not gone, by id. Those that leave are among them.
func (t *Tracker) Endpoints(service, centre string) []VM {
	return t.list.filter(EndpointRole, centre, func(vm VM) bool { return service == "" || vm.service == service })
}

// all accepts any VM.
func all(VM) bool { return true }

// VM returns one VM, also if it is gone.
func (t *Tracker) VM(id string) (VM, bool) { return t.list.get(id) }

// FetchedAt returns when the platform last answered, zero if it never has.
func (t *Tracker) FetchedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fetched
}

// Subscribe has f called with the VMs that changed, after each change of the
// list. It must not block. The function returned ends that.
func (t *Tracker) Subscribe(f func(changed []VM)) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := t.next
	t.next++
	t.subscribers[key] = f
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.subscribers, key)
	}
}
