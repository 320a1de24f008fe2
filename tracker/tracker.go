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

// Intervals and limits.
const (
	// DefaultPollInterval is the interval between two requests for the platform's list.
	DefaultPollInterval = 500 * time.Millisecond
	// DefaultHeartbeat is the interval between two heartbeats to one entry VM.
	DefaultHeartbeat = 500 * time.Millisecond
	// DefaultSuspectTimeout is the time without a call or response after which a
	// peer is suspected to be dead.
	DefaultSuspectTimeout = 2 * time.Second
	// DefaultDeadTimeout is the time without a call or response after which a peer
	// counts as dead.
	DefaultDeadTimeout = 5 * time.Second
	// callTimeout limits one request for the list and one heartbeat.
	callTimeout = time.Second
	// maxListBytes is the maximum size of a response of the platform.
	maxListBytes = 16 << 20
)

// Tracker keeps a copy of the platform's list of VMs and monitors the other entry
// VMs, its peers. Its accessors are safe for concurrent use.
type Tracker struct {
	platform          string // base URL of the platform; empty: the list is not requested
	client            *http.Client
	messenger         *messenger.Messenger // nil: no heartbeats
	id                string               // of this VM
	incarnation       uint64               // of this process
	centre            string               // data centre of this VM
	pollInterval      time.Duration
	heartbeatInterval time.Duration
	suspectTimeout    time.Duration
	deadTimeout       time.Duration
	now               func() time.Time
	logger            hclog.Logger
	revision          func() uint64
	onRevision        func(peer, address string, revision uint64)
	list              *list
	remoteRounds      int // rounds per heartbeat to an entry VM of another data centre; at least 1
	round             int // number of the last round of heartbeats; used only by Run's heartbeat goroutine
	peers             *peers
	heartbeats        sync.WaitGroup     // heartbeats in flight; waited for when Run ends
	mu                sync.Mutex         // guards the fields below
	nextKey           int                // key of the next subscription
	subscribers       map[int]func([]VM) // by key; called with the VMs that changed
	fetchedAt         time.Time          // time of the last successful request for the list
}

// Option configures a Tracker.
type Option func(*Tracker)

// WithPlatform sets the base URL of the platform and the client for it.
func WithPlatform(url string, client *http.Client) Option {
	return func(t *Tracker) {
		t.platform = url
		t.client = client
	}
}

// WithMessenger sets the messenger that carries heartbeats. Without it none are
// sent or accepted.
func WithMessenger(m *messenger.Messenger) Option { return func(t *Tracker) { t.messenger = m } }

// WithSelf sets the id of this VM, the incarnation of this process and the data
// centre.
func WithSelf(id string, incarnation uint64, centre string) Option {
	return func(t *Tracker) {
		t.id = id
		t.incarnation = incarnation
		t.centre = centre
	}
}

// WithPollInterval sets the interval between two requests for the platform's list.
func WithPollInterval(d time.Duration) Option { return func(t *Tracker) { t.pollInterval = d } }

// WithHeartbeat sets the interval between two heartbeats to one entry VM.
func WithHeartbeat(d time.Duration) Option { return func(t *Tracker) { t.heartbeatInterval = d } }

// WithRemoteRounds sets how many rounds of heartbeats (at least 1) there are for each
// heartbeat to an entry VM of another data centre, and extends the timeouts of such a
// VM accordingly. Since each entry VM calls every other, the number of these
// heartbeats grows with the square of the fleet.
func WithRemoteRounds(rounds int) Option { return func(t *Tracker) { t.remoteRounds = max(1, rounds) } }

// WithTimeouts sets the times without a call or response after which a peer is
// suspected to be dead, and after which it counts as dead.
func WithTimeouts(suspect, dead time.Duration) Option {
	return func(t *Tracker) {
		t.suspectTimeout = suspect
		t.deadTimeout = dead
	}
}

// WithRevision sets the function that returns the revision of this VM's
// configuration, which heartbeats carry.
func WithRevision(f func() uint64) Option { return func(t *Tracker) { t.revision = f } }

// WithOnRevision sets the function that is called with the id and address of a
// peer and the revision of its configuration, after each call or response of a
// listed peer. It must not block.
func WithOnRevision(f func(peer, address string, revision uint64)) Option {
	return func(t *Tracker) { t.onRevision = f }
}

// WithLogger sets the logger.
func WithLogger(logger hclog.Logger) Option {
	return func(t *Tracker) { t.logger = logger.Named("tracker") }
}

// WithClock sets the function that returns the current time.
func WithClock(now func() time.Time) Option { return func(t *Tracker) { t.now = now } }

// New returns a Tracker. Run polls the list and sends heartbeats.
func New(options ...Option) (*Tracker, error) {
	t := &Tracker{
		client: http.DefaultClient, pollInterval: DefaultPollInterval, heartbeatInterval: DefaultHeartbeat,
		suspectTimeout: DefaultSuspectTimeout, deadTimeout: DefaultDeadTimeout, remoteRounds: 1, now: time.Now,
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

// Run polls the platform's list and sends heartbeats until ctx is done. It polls
// only with WithPlatform, and sends heartbeats only with WithMessenger.
func (t *Tracker) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	if t.platform != "" {
		group.Go(func() error { return t.every(ctx, t.pollInterval, t.fetch) })
	}
	if t.messenger != nil {
		group.Go(func() error { return t.every(ctx, t.heartbeatInterval, t.sendHeartbeats) })
	}
	err := group.Wait()
	t.heartbeats.Wait()
	return err
}

// every calls f at once and then at the interval, until ctx is done.
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

// EntryVMs returns the entry VMs of a data centre that are not gone, sorted by id.
// An empty data centre means all.
func (t *Tracker) EntryVMs(centre string) []VM {
	return t.list.filter(EntryRole, centre, anyVM)
}

// Workers returns the workers of a data centre that are not gone, sorted by id.
// An empty data centre means all.
func (t *Tracker) Workers(centre string) []VM {
	return t.list.filter(WorkerRole, centre, anyVM)
}

// Endpoints returns the endpoints of a service in a data centre that are not gone,
// sorted by id. It includes those that are leaving. An empty service or data
// centre means all.
func (t *Tracker) Endpoints(service, centre string) []VM {
	return t.list.filter(EndpointRole, centre, func(vm VM) bool { return service == "" || vm.service == service })
}

// anyVM matches every VM.
func anyVM(VM) bool { return true }

// VM returns the VM with that id, even if it is gone.
func (t *Tracker) VM(id string) (VM, bool) { return t.list.get(id) }

// FetchedAt returns the time of the last successful request for the platform's list,
// or zero if there was none.
func (t *Tracker) FetchedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fetchedAt
}

// Subscribe calls f with the VMs that changed after each change of the list. f
// must not block. The returned function ends the subscription.
func (t *Tracker) Subscribe(f func(changed []VM)) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := t.nextKey
	t.nextKey++
	t.subscribers[key] = f
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.subscribers, key)
	}
}
