package receiver

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

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
