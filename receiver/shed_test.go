package receiver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"filberthaven.example/claimer"
	"filberthaven.example/conductor"
	"filberthaven.example/messenger"
	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// TestNextOwnerRefusesBody guards against a response that says that a job was not accepted,
// although an earlier owner may have accepted it: the next owner has refused the body unread, and so
// can't know.
func TestNextOwnerRefusesBody(t *testing.T) {
	c := quicktest.New(t)
	m, err := messenger.New()
	c.Assert(err, quicktest.IsNil)
	mux := http.NewServeMux()
	var calls atomic.Int64
	messenger.Handle(m, mux, procedure, func(context.Context, *conductor.Request) (*conductor.Response, error) {
		if calls.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("body refused"))
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	owner := func() (claimer.Member, uint64, bool) {
		term := uint64(min(calls.Load(), 1) + 1)
		return claimer.NewMember(fmt.Sprint("owner", term), strings.TrimPrefix(server.URL, "http://"), "c"), term, true
	}
	c.Assert(serveJob(New(m, "self", owner, hclog.NewNullLogger(), metrics.NewRegistry())), quicktest.Equals, http.StatusGatewayTimeout)
}

// slowBody is a body that arrives after the delay.
type slowBody struct{ delay time.Duration }

func (b slowBody) Read([]byte) (int, error) {
	time.Sleep(b.delay)
	return 0, io.EOF
}

// TestBodyUsesUpTimeout guards against a request that is forwarded after its caller has left, since
// reading the body did not count towards the caller's timeout.
func TestBodyUsesUpTimeout(t *testing.T) {
	c := quicktest.New(t)
	m, err := messenger.New()
	c.Assert(err, quicktest.IsNil)
	mux := http.NewServeMux()
	var calls atomic.Int64
	messenger.Handle(m, mux, procedure, func(context.Context, *conductor.Request) (*conductor.Response, error) {
		calls.Add(1)
		return &conductor.Response{Status: http.StatusOK}, nil
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	owner := func() (claimer.Member, uint64, bool) {
		return claimer.NewMember("owner", strings.TrimPrefix(server.URL, "http://"), "c"), 1, true
	}
	request := httptest.NewRequest(http.MethodPost, "/q/00000000000000aa", slowBody{200 * time.Millisecond})
	request.Header.Set("X-Timeout-Ms", "50")
	recorder := httptest.NewRecorder()
	New(m, "self", owner, hclog.NewNullLogger(), metrics.NewRegistry()).ServeHTTP(recorder, request)
	c.Check(recorder.Code, quicktest.Equals, http.StatusServiceUnavailable)
	c.Check(calls.Load(), quicktest.Equals, int64(0))
}
