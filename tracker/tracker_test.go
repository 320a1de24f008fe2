package tracker

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/messenger"
	qt "github.com/frankban/quicktest"
)

// network carries calls between Trackers and to the platform without sockets.
type network struct {
	mu      sync.Mutex
	hosts   map[string]http.Handler
	blocked map[[2]string]bool // by caller and callee; such calls get no response
}

// client makes the calls of one host.
type client struct {
	network *network
	host    string
}

// Do passes a call to the handler of the called host.
func (c client) Do(request *http.Request) (*http.Response, error) {
	c.network.mu.Lock()
	handler := c.network.hosts[request.URL.Host]
	unreachable := handler == nil || c.network.blocked[[2]string{c.host, request.URL.Host}]
	c.network.mu.Unlock()
	if unreachable {
		<-request.Context().Done()
		return nil, errors.New("no response")
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// RoundTrip calls Do. It makes client an http.RoundTripper.
func (c client) RoundTrip(request *http.Request) (*http.Response, error) { return c.Do(request) }

// setBlocked blocks the calls from one host to another, or lets them through
// again.
func (n *network) setBlocked(from, to string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{from, to}] = blocked
}

// start runs the Tracker of an entry VM whose address is its id.
func (n *network) start(c *qt.C, ctx context.Context, id string, incarnation uint64, options ...Option) (*Tracker, context.CancelFunc) { //nolint:revive // The test's context.
	m, err := messenger.New(messenger.WithClient(client{n, id}, "http"))
	c.Assert(err, qt.IsNil)
	options = append([]Option{
		WithSelf(id, incarnation, "pianura-a"), WithMessenger(m),
		WithPlatform("http://platform", &http.Client{Transport: client{n, id}}),
	}, options...)
	tracker, err := New(options...)
	c.Assert(err, qt.IsNil)
	mux := http.NewServeMux()
	tracker.Register(mux)
	n.mu.Lock()
	n.hosts[id] = mux
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	go func() { _ = tracker.Run(ctx) }()
	return tracker, cancel
}

// stop ends a Tracker as a crash would: calls to it get no response.
func (n *network) stop(id string, cancel context.CancelFunc) {
	cancel()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.hosts, id)
}

// serveList makes the platform respond with body to each request.
func (n *network) serveList(body string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts["platform"] = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) })
}

const vmList = `{"revision":5,"vms":[
	{"id":"entry-1","role":"entry","address":"entry-1","centre":"pianura-a","state":"live","incarnation":1},
	{"id":"entry-2","role":"entry","address":"entry-2","centre":"pianura-b","state":"live","incarnation":1},
	{"id":"w1","role":"worker","address":"w1:1","centre":"pianura-a","rack":"r1","cpu":16000,"memory":65536,"state":"live","incarnation":1},
	{"id":"e1","role":"endpoint","address":"e1:1","centre":"pianura-a","service":"prenota","slots":8,"connections":64,"state":"live","incarnation":1},
	{"id":"bad","role":"worker","address":"b","state":"live","cpu":-1},
	{"id":"odd","role":"worker","address":"b","state":"floating"}]}`

// runWithNetwork runs a test in a synctest bubble, with a platform that lists two
// entry VMs.
func runWithNetwork(t *testing.T, test func(c *qt.C, ctx context.Context, n *network)) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{hosts: map[string]http.Handler{}, blocked: map[[2]string]bool{}}
		n.serveList(vmList)
		ctx, cancel := context.WithCancel(t.Context())
		test(qt.New(t), ctx, n)
		cancel()
		synctest.Wait()
	})
}

func TestList(t *testing.T) {
	runWithNetwork(t, func(c *qt.C, ctx context.Context, n *network) {
		var mu sync.Mutex
		var changes [][]VM
		tracker, _ := n.start(c, ctx, "entry-1", 1)
		tracker.Subscribe(func(changed []VM) {
			mu.Lock()
			defer mu.Unlock()
			changes = append(changes, changed)
		})
		time.Sleep(DefaultPollInterval)
		c.Assert(tracker.EntryVMs(""), qt.HasLen, 2)
		c.Assert(tracker.EntryVMs("pianura-b"), qt.HasLen, 1)
		c.Assert(tracker.Workers("pianura-a"), qt.HasLen, 1, qt.Commentf("invalid entries are skipped"))
		c.Assert(tracker.Endpoints("prenota", "pianura-a")[0].Slots(), qt.Equals, 8)

		n.serveList(`{"revision":6,"vms":[{"id":"e1","role":"endpoint","address":"e1:1","centre":"pianura-a","service":"prenota","slots":8,"state":"leaving","incarnation":1}]}`)
		time.Sleep(2 * time.Second)
		c.Assert(tracker.Endpoints("prenota", "")[0].State(), qt.Equals, Leaving)
		n.serveList(`{"revision":7,"vms":[{"id":"e1","role":"endpoint","centre":"pianura-a","service":"prenota","state":"gone","incarnation":1}]}`)
		time.Sleep(2 * time.Second)
		c.Assert(tracker.Endpoints("prenota", ""), qt.HasLen, 0)
		n.serveList(`{"revision":8,"vms":[{"id":"e1","role":"endpoint","address":"e1:1","state":"live","incarnation":1}]}`)
		time.Sleep(2 * time.Second)
		c.Assert(tracker.Endpoints("", ""), qt.HasLen, 0, qt.Commentf("a VM that is gone returns only with a newer incarnation"))
		mu.Lock()
		defer mu.Unlock()
		c.Assert(changes[len(changes)-1][0].State(), qt.Equals, Gone)
	})
}

func TestPlatformDown(t *testing.T) {
	runWithNetwork(t, func(c *qt.C, ctx context.Context, n *network) {
		tracker, _ := n.start(c, ctx, "entry-1", 1)
		time.Sleep(time.Second)
		before := tracker.FetchedAt()
		n.setBlocked("entry-1", "platform", true)
		time.Sleep(time.Minute)
		c.Assert(tracker.Workers(""), qt.HasLen, 1)
		c.Assert(tracker.FetchedAt().Sub(before) < 2*time.Second, qt.IsTrue)
	})
}

func TestFailureDetector(t *testing.T) {
	runWithNetwork(t, func(c *qt.C, ctx context.Context, n *network) {
		one, _ := n.start(c, ctx, "entry-1", 1)
		c.Assert(one.State("entry-2"), qt.Equals, Unknown)
		_, stop := n.start(c, ctx, "entry-2", 1)
		time.Sleep(3 * time.Second)
		c.Assert(one.State("entry-2"), qt.Equals, Alive)
		c.Assert(one.Reachability("entry-2"), qt.Equals, Bidirectional)

		n.stop("entry-2", stop)
		time.Sleep(DefaultSuspectTimeout + time.Second)
		c.Assert(one.State("entry-2"), qt.Equals, Suspect)
		time.Sleep(DefaultDeadTimeout)
		c.Assert(one.State("entry-2"), qt.Equals, Dead)
		c.Assert(one.IncarnationEnded("entry-2", 1), qt.IsFalse, qt.Commentf("missed heartbeats do not prove that it has ended"))

		_, stop = n.start(c, ctx, "entry-2", 2)
		time.Sleep(2 * time.Second)
		c.Assert(one.State("entry-2"), qt.Equals, Alive)
		c.Assert(one.IncarnationEnded("entry-2", 1), qt.IsTrue, qt.Commentf("a newer incarnation was seen"))
		c.Assert(one.IncarnationEnded("entry-2", 2), qt.IsFalse)

		n.stop("entry-2", stop)
		n.serveList(`{"revision":9,"vms":[{"id":"entry-2","role":"entry","state":"gone","incarnation":1}]}`)
		time.Sleep(2 * time.Second)
		c.Assert(one.State("entry-2"), qt.Equals, Removed)
		c.Assert(one.IncarnationEnded("entry-2", 2), qt.IsTrue)
	})
}

func TestOneWayPartition(t *testing.T) {
	runWithNetwork(t, func(c *qt.C, ctx context.Context, n *network) {
		one, _ := n.start(c, ctx, "entry-1", 1)
		two, _ := n.start(c, ctx, "entry-2", 1)
		time.Sleep(2 * time.Second)
		n.setBlocked("entry-1", "entry-2", true)
		time.Sleep(2 * DefaultDeadTimeout)
		c.Assert(one.Reachability("entry-2"), qt.Equals, Inbound)
		c.Assert(two.Reachability("entry-1"), qt.Equals, Outbound)
		c.Assert(one.State("entry-2"), qt.Equals, Alive)
		n.setBlocked("entry-1", "entry-2", false)
		time.Sleep(2 * time.Second)
		c.Assert(one.Reachability("entry-2"), qt.Equals, Bidirectional)
	})
}

func TestRevisions(t *testing.T) {
	runWithNetwork(t, func(c *qt.C, ctx context.Context, n *network) {
		var mu sync.Mutex
		revisions := map[string]uint64{}
		record := func(peer, address string, revision uint64) {
			mu.Lock()
			defer mu.Unlock()
			revisions[peer+"@"+address] = revision
		}
		one, _ := n.start(c, ctx, "entry-1", 1, WithRevision(func() uint64 { return 7 }), WithOnRevision(record))
		n.start(c, ctx, "entry-2", 1, WithRevision(func() uint64 { return 9 }), WithOnRevision(record))
		time.Sleep(2 * time.Second)
		c.Assert(one.Revision("entry-2"), qt.Equals, uint64(9))
		mu.Lock()
		defer mu.Unlock()
		c.Assert(revisions, qt.DeepEquals, map[string]uint64{"entry-1@entry-1": 7, "entry-2@entry-2": 9})
	})
}

func TestStaleIncarnation(t *testing.T) {
	c := qt.New(t)
	tracker, err := New(WithSelf("entry-1", 1, "pianura-a"))
	c.Assert(err, qt.IsNil)
	_, err = tracker.handleHeartbeat(t.Context(), &heartbeatRequest{ID: "entry-2", Incarnation: 3})
	c.Assert(err, qt.IsNil)
	_, err = tracker.handleHeartbeat(t.Context(), &heartbeatRequest{ID: "entry-2", Incarnation: 2})
	c.Assert(err, qt.ErrorIs, errStaleIncarnation)
	c.Assert(tracker.Incarnation("entry-2"), qt.Equals, uint64(3))
}
