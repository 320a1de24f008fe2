package receiver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"filberthaven.example/claimer"
	"filberthaven.example/conductor"
	"filberthaven.example/limiter"
	"filberthaven.example/messenger"
	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// postJob submits a job to a receiver that forwards it to the owner at address, and returns
// the status of the response.
func postJob(t *testing.T, address string) int {
	c := quicktest.New(t)
	m, err := messenger.New()
	c.Assert(err, quicktest.IsNil)
	owner := func() (claimer.Member, uint64, bool) { return claimer.NewMember("owner", address, "c"), 1, true }
	r := New(m, "self", owner, hclog.NewNullLogger(), metrics.NewRegistry())
	return serveJob(r)
}

// serveJob submits a job to a receiver and returns the status of the response.
func serveJob(r *Receiver) int {
	recorder := httptest.NewRecorder()
	r.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/q/00000000000000aa", strings.NewReader("{}")))
	return recorder.Code
}

// TestOwnerDiesDuringRequest guards against a response that says that a request was not
// run, although the owner may have accepted it before it died.
func TestOwnerDiesDuringRequest(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer server.Close()
	quicktest.Assert(t, postJob(t, strings.TrimPrefix(server.URL, "http://")), quicktest.Equals, http.StatusGatewayTimeout)
}

// TestRefusalAfterUnknownAttempt guards against a response that says that a job was not
// accepted, although the owner that has refused it may yet read an earlier attempt.
func TestRefusalAfterUnknownAttempt(t *testing.T) {
	m, err := messenger.New()
	quicktest.Assert(t, err, quicktest.IsNil)
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			mux := http.NewServeMux()
			var calls atomic.Int64
			messenger.Handle(m, mux, procedure, func(context.Context, *conductor.Request) (*conductor.Response, error) {
				if calls.Add(1) == 1 {
					panic(http.ErrAbortHandler)
				}
				return &conductor.Response{Status: status}, nil
			})
			server := httptest.NewServer(mux)
			defer server.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			quicktest.Check(t, postJob(t, address), quicktest.Equals, http.StatusGatewayTimeout)
			quicktest.Check(t, postJob(t, address), quicktest.Equals, status)
			// The next owner knows what the last one has accepted.
			calls.Store(0)
			next := func() (claimer.Member, uint64, bool) {
				term := uint64(calls.Load() + 1)
				return claimer.NewMember(fmt.Sprint("owner", term), address, "c"), term, true
			}
			quicktest.Check(t, serveJob(New(m, "self", next, hclog.NewNullLogger(), metrics.NewRegistry())), quicktest.Equals, status)
		})
	}
}

// TestOwnerUnreachable checks that a request that reached no owner is reported as not run.
func TestOwnerUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	address := listener.Addr().String()
	quicktest.Assert(t, listener.Close(), quicktest.IsNil)
	quicktest.Assert(t, postJob(t, address), quicktest.Equals, http.StatusServiceUnavailable)
}

// TestOwnerRefusesBody checks that a request whose body the owner has refused is reported as not
// run, and that the owner doesn't count as failed, which would hold back other requests.
func TestOwnerRefusesBody(t *testing.T) {
	m, err := messenger.New()
	quicktest.Assert(t, err, quicktest.IsNil)
	limits, err := limiter.New(limiter.WithBudget(1))
	quicktest.Assert(t, err, quicktest.IsNil)
	mux := http.NewServeMux()
	messenger.Handle(m, mux, procedure, func(context.Context, *conductor.Request) (*conductor.Response, error) {
		t.Error("the request has run")
		return &conductor.Response{}, nil
	})
	refusal := func(cause error) error { return connect.NewError(connect.CodeResourceExhausted, cause) }
	server := httptest.NewServer(limits.Handler(mux, limiter.Policy{Factor: 64 << 10, Refusal: refusal}))
	defer server.Close()
	owner := func() (claimer.Member, uint64, bool) {
		return claimer.NewMember("owner", strings.TrimPrefix(server.URL, "http://"), "c"), 1, true
	}
	r := New(m, "self", owner, hclog.NewNullLogger(), metrics.NewRegistry())
	quicktest.Check(t, serveJob(r), quicktest.Equals, http.StatusServiceUnavailable)
	quicktest.Check(t, r.failedOwnerCalls.Count(), quicktest.Equals, int64(0))
}

// TestFormerOwner checks that a request to a VM that is no longer the owner is reported as
// not run.
func TestFormerOwner(t *testing.T) {
	m, err := messenger.New()
	quicktest.Assert(t, err, quicktest.IsNil)
	mux := http.NewServeMux()
	New(m, "former", nil, hclog.NewNullLogger(), metrics.NewRegistry()).Register(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	quicktest.Assert(t, postJob(t, strings.TrimPrefix(server.URL, "http://")), quicktest.Equals, http.StatusServiceUnavailable)
}

// TestOwnerNotReady guards against an overloaded link of a new owner: while it reads
// the journal for seconds, other VMs must not repeat all requests every 30 ms.
func TestOwnerNotReady(t *testing.T) {
	c := quicktest.New(t)
	m, err := messenger.New()
	c.Assert(err, quicktest.IsNil)
	var calls atomic.Int64
	var ready atomic.Bool
	mux := http.NewServeMux()
	messenger.Handle(m, mux, procedure, func(context.Context, *conductor.Request) (*conductor.Response, error) {
		calls.Add(1)
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
		start := time.Now()
		recorder := httptest.NewRecorder()
		r.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/q/00000000000000aa", strings.NewReader("{}")))
		return recorder.Code, time.Since(start)
	}
	var senders sync.WaitGroup
	for range 40 {
		senders.Go(func() {
			status, _ := send()
			c.Check(status, quicktest.Equals, http.StatusServiceUnavailable)
		})
	}
	senders.Wait()
	// At most 40 requests pass before the breaker opens, then one per 100 ms.
	c.Assert(calls.Load() <= 40+int64((ownerWait+probeInterval)/probeInterval), quicktest.IsTrue, quicktest.Commentf("%d calls to the owner", calls.Load()))
	time.Sleep(probeInterval)
	_, _ = send() // a probe: the owner is still not ready
	status, elapsed := send()
	c.Assert(status, quicktest.Equals, http.StatusServiceUnavailable)
	c.Assert(elapsed < ownerWait, quicktest.IsTrue, quicktest.Commentf("refused after %v", elapsed))
	ready.Store(true)
	time.Sleep(probeInterval)
	status, _ = send()
	c.Assert(status, quicktest.Equals, http.StatusOK)
}

func TestBreaker(t *testing.T) {
	c := quicktest.New(t)
	var b breaker
	c.Assert(b.allow(1, 0), quicktest.IsTrue)
	b.record(1, false, 0)
	c.Assert(b.allow(1, probeInterval-1), quicktest.IsFalse)
	c.Assert(b.allow(2, probeInterval-1), quicktest.IsTrue, quicktest.Commentf("another owner"))
	c.Assert(b.allow(1, probeInterval), quicktest.IsTrue)
	c.Assert(b.allow(1, probeInterval+1), quicktest.IsFalse, quicktest.Commentf("one probe at a time"))
	c.Assert(b.openFor(1, time.Second), quicktest.Equals, time.Second)
	b.record(1, true, time.Second)
	c.Assert(b.allow(1, time.Second), quicktest.IsTrue)
	c.Assert(b.openFor(1, time.Second), quicktest.Equals, time.Duration(0))
	b.record(2, true, time.Second)
	b.record(1, false, 2*time.Second)
	c.Assert(b.allow(2, 2*time.Second), quicktest.IsTrue, quicktest.Commentf("late result of an earlier owner"))
}
