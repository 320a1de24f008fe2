package receiver

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"filberthaven.example/claimer"
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
	New(m, "former", nil, hclog.NewNullLogger(), metrics.NewRegistry()).Handle(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	quicktest.Assert(t, request(t, strings.TrimPrefix(server.URL, "http://")), quicktest.Equals, http.StatusServiceUnavailable)
}
