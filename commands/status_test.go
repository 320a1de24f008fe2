package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"filberthaven.example/configurer"
	"filberthaven.example/server"
	qt "github.com/frankban/quicktest"
)

func TestWriteStatus(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	err := writeStatus(&out, server.Status{
		Time: time.Unix(0, 0).UTC(), VM: "entry-1", Centre: "pianura-a", Revision: 7,
		Fleet:   server.FleetStatus{Workers: 50, Executors: 48, Processors: 800_000, Used: 120_500, Running: 90, Pending: 4, Flight: 12},
		Teams:   []server.TeamStatus{{Name: "cremona", Share: 2.5, Part: 0.251, Limit: configurer.Unlimited, Used: 1500, Slots: 80}},
		Centres: []server.CentreStatus{{Name: "pianura-b", State: "out", Reason: "power work"}},
		Shards:  []server.ShardStatus{{Name: "pianura-a.0", Owner: "entry-1", Term: 3}, {Name: "pianura-b.0"}},
		VMs:     []server.VMStatus{{ID: "entry-1", Centre: "pianura-a", Revision: 7, Reached: true}, {ID: "entry-2", Centre: "pianura-b"}},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(out.String(), qt.Equals, strings.TrimPrefix(`
1970-01-01T00:00:00Z  entry VM entry-1 in pianura-a, revision 7
50 workers, 120.5 of 800 processors used; tasks: 90 running, 4 pending; 12 urgent requests in flight on 48 executors
not all owners of shards told what runs: processors used and tasks are incomplete
the key-value service does not answer

TEAM     SHARE  PART   PROCESSORS  LIMIT  FLIGHT  SLOTS  PENDING
cremona  2.5    25.1%  1.5         none   0       80     0

DATA CENTRE  STATE  ENTRY VMS  WORKERS  RUNNING  PENDING  REASON
pianura-b    out    0          0        0        0        power work

SHARD        OWNER    TERM
pianura-a.0  entry-1  3
pianura-b.0  none     0

ENTRY VM  DATA CENTRE  REVISION
entry-1   pianura-a    7
entry-2   pianura-b    not reached

platform: 0.0 reads, 0.0 writes, 0.0 errors a second
`, "\n"))
}

// TestWaitEmpty checks that the wait ends when nothing runs or is pending in the data
// centre according to a complete status, and that it fails if no status is complete or
// the status lacks the data centre.
func TestWaitEmpty(t *testing.T) {
	c := qt.New(t)
	var calls atomic.Int64
	fleet := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := int(calls.Add(1))
		remaining := max(0, 4-n)
		if n == 2 {
			remaining = 0 // an incomplete status lacks the tasks of an owner that was not reached
		}
		_ = json.NewEncoder(w).Encode(server.Status{Complete: n != 2, Centres: []server.CentreStatus{{Name: "pianura-b", Running: remaining, Pending: remaining}}})
	}))
	c.Cleanup(fleet.Close)
	var progress bytes.Buffer
	env := &environment{Address: fleet.URL, stderr: &progress}
	c.Assert(env.waitEmpty(t.Context(), "pianura-b", time.Millisecond), qt.IsNil)
	c.Assert(calls.Load(), qt.Equals, int64(4))
	c.Assert(progress.String(), qt.Contains, "100%")
	incomplete := httptest.NewServer(server.NewStatusHandler(func(context.Context) server.Status {
		return server.Status{Centres: []server.CentreStatus{{Name: "pianura-b"}}}
	}))
	c.Cleanup(incomplete.Close)
	err := (&environment{Address: incomplete.URL, stderr: &progress}).waitEmpty(t.Context(), "pianura-b", time.Millisecond)
	c.Assert(err, qt.ErrorIs, errTasksUnknown)
	c.Assert(env.waitEmpty(t.Context(), "pianura-z", time.Millisecond), qt.ErrorMatches, "data centre pianura-z is not in the status")
}

// TestExitCodes checks the exit codes for responses that the scripts don't produce.
func TestExitCodes(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		status int
		body   string
		want   int
	}{
		{http.StatusUnauthorized, `{"type":"about:blank","status":401,"detail":"the key is not valid"}`, exitRefused},
		{http.StatusTooManyRequests, `{"type":"about:blank","status":429,"detail":"too many wrong keys"}`, exitRefused},
		{http.StatusGatewayTimeout, `{"type":"unknown","status":504,"detail":"outcome unknown"}`, exitUnreachable},
		{http.StatusConflict, `{"type":"newer","status":409}`, exitRefused},
		{http.StatusInternalServerError, `{"type":"about:blank","status":500}`, exitFailed},
		{http.StatusBadGateway, `<html>the balancer's own page</html>`, exitUnreachable},
		{http.StatusOK, `not JSON`, exitFailed},
	} {
		fleet := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(test.status)
			_, _ = w.Write([]byte(test.body))
		}))
		env := &environment{Address: fleet.URL}
		client, err := env.client()
		c.Assert(err, qt.IsNil)
		_, err = client.Document(t.Context())
		c.Check(exitCode(err), qt.Equals, test.want, qt.Commentf("%d %s", test.status, test.body))
		fleet.Close()
	}
}
