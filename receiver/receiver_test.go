package receiver

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filberthaven.example/claimer"
	"filberthaven.example/conductor"
	"filberthaven.example/messenger"
	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// request hands a job in at a receiver whose owner is at address, and returns the
// status of the answer.
func request(t *testing.T, address string) int {
	c := quicktest.New(t)
	m, err := messenger.New()
	c.Assert(err, quicktest.IsNil)
	owner := func() (claimer.Member, uint64, bool) { return claimer.NewMember("owner", address, "c"), 1, true }
	r := New(m, "self", owner, hclog.NewNullLogger(), metrics.NewRegistry())
	answer := httptest.NewRecorder()
	r.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/q/00000000000000aa", strings.NewReader("{}")))
	return answer.Code
}

// An owner that dies with a request in its hands may have accepted it: the answer
// must not say that it has not.
func TestOwnerDiesWithRequest(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer server.Close()
	quicktest.Assert(t, request(t, strings.TrimPrefix(server.URL, "http://")), quicktest.Equals, http.StatusGatewayTimeout)
}

// A request that reached no owner has surely not run.
func TestNothingListens(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	address := listener.Addr().String()
	quicktest.Assert(t, listener.Close(), quicktest.IsNil)
	quicktest.Assert(t, request(t, address), quicktest.Equals, http.StatusServiceUnavailable)
}

// A VM that is not the owner any more has not run the request.
func TestNotTheOwner(t *testing.T) {
	m, err := messenger.New()
	quicktest.Assert(t, err, quicktest.IsNil)
	mux := http.NewServeMux()
	New(m, "former", nil, hclog.NewNullLogger(), metrics.NewRegistry()).Register(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	quicktest.Assert(t, request(t, strings.TrimPrefix(server.URL, "http://")), quicktest.Equals, http.StatusServiceUnavailable)
}

// TestOwnerNotReady replays a new owner on a small VM that reads the journal for
// seconds while callers send: its link was full of the requests that other VMs
// repeated every 30 ms.
func TestOwnerNotReady(t *testing.T) {
	c := quicktest.New(t)
	m, err := messenger.New()
	c.Assert(err, quicktest.IsNil)
	var asked atomic.Int64
	var ready atomic.Bool
	mux := http.NewServeMux()
	messenger.Handle(m, mux, procedure, func(context.Context, *conductor.Request) (*conductor.Response, error) {
		asked.Add(1)
		if ready.Load() {
			return &conductor.Response{Status: http.StatusOK}, nil
		}
		return &conductor.Response{Status: http.StatusServiceUnavailable, RetryAfter: 1, Retryable: true, NotReady: true}, nil
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	owner := func() (claimer.Member, uint64, bool) {
		return claimer.NewMember("owner", strings.TrimPrefix(server.URL, "http://"), "c"), 1, true
	}
	r := New(m, "self", owner, hclog.NewNullLogger(), metrics.NewRegistry())
	send := func() (int, time.Duration) {
		begun := time.Now()
		answer := httptest.NewRecorder()
		r.ServeHTTP(answer, httptest.NewRequest(http.MethodPost, "/q/00000000000000aa", strings.NewReader("{}")))
		return answer.Code, time.Since(begun)
	}
	var senders sync.WaitGroup
	for range 40 {
		senders.Go(func() {
			status, _ := send()
			c.Check(status, quicktest.Equals, http.StatusServiceUnavailable)
		})
	}
	senders.Wait()
	// 40 requests find the gate open at most; afterwards one passes each 100 ms.
	c.Assert(asked.Load() <= 40+int64((ownerWait+probePause)/probePause), quicktest.IsTrue, quicktest.Commentf("asked %d times", asked.Load()))
	time.Sleep(probePause)
	_, _ = send() // finds out that the owner is still not ready
	status, took := send()
	c.Assert(status, quicktest.Equals, http.StatusServiceUnavailable)
	c.Assert(took < ownerWait, quicktest.IsTrue, quicktest.Commentf("refused after %v", took))
	ready.Store(true)
	time.Sleep(probePause)
	status, _ = send()
	c.Assert(status, quicktest.Equals, http.StatusOK)
}

func TestGate(t *testing.T) {
	c := quicktest.New(t)
	var g gate
	c.Assert(g.pass(1, 0), quicktest.IsTrue)
	g.told(1, false, 0)
	c.Assert(g.pass(1, probePause-1), quicktest.IsFalse)
	c.Assert(g.pass(2, probePause-1), quicktest.IsTrue, quicktest.Commentf("another owner"))
	c.Assert(g.pass(1, probePause), quicktest.IsTrue)
	c.Assert(g.pass(1, probePause+1), quicktest.IsFalse, quicktest.Commentf("one probe at a time"))
	c.Assert(g.shut(1, time.Second), quicktest.Equals, time.Second)
	g.told(1, true, time.Second)
	c.Assert(g.pass(1, time.Second), quicktest.IsTrue)
	c.Assert(g.shut(1, time.Second), quicktest.Equals, time.Duration(0))
	g.told(2, true, time.Second)
	g.told(1, false, 2*time.Second)
	c.Assert(g.pass(2, 2*time.Second), quicktest.IsTrue, quicktest.Commentf("late news of an earlier owner"))
}
