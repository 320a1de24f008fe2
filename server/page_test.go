package server

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"filberthaven.example/configurer"
	qt "github.com/frankban/quicktest"
)

// sampleStatus returns the status of a fleet in which one entry VM has an older revision
// and one is unreachable.
func sampleStatus(context.Context) Status {
	return Status{
		Time: time.Unix(0, 0), VM: "entry-1", Centre: "pianura-a", Version: "v1", Revision: 7,
		Fleet: FleetStatus{Workers: 50, Processors: 800_000, Used: 120_500},
		Teams: []TeamStatus{{Name: "cremona", Share: 2.5, Part: 0.251, Limit: configurer.Unlimited, Used: 1500, Slots: 80}},
		Centres: []CentreStatus{
			{Name: "pianura-a", State: "in"},
			{Name: "pianura-b", State: "out", Reason: `<script>alert("power")</script>`},
		},
		Shards: []ShardStatus{{Name: "pianura-a.0", Owner: "entry-1", Term: 3}, {Name: "pianura-b.0"}},
		VMs: []VMStatus{
			{ID: "entry-1", Revision: 7, Reached: true},
			{ID: "entry-2", Revision: 6, Reached: true},
			{ID: "entry-3"},
		},
	}
}

func TestPage(t *testing.T) {
	c := qt.New(t)
	page, err := NewPage(sampleStatus)
	c.Assert(err, qt.IsNil)
	recorder := httptest.NewRecorder()
	page.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/status", nil))
	c.Assert(recorder.Code, qt.Equals, http.StatusOK)
	body := recorder.Body.String()
	for _, want := range []string{
		"declarations at revision 7",
		"<td>cremona</td><td class=\"n\">2.5</td>", "25.1 %", "<td class=\"n\">none</td>", "<td class=\"n\">120.5</td>",
		"<td class=\"bad\">out</td><td>&lt;script&gt;",
		"The key-value service does not answer.", "Not all owners of shards told what runs",
		"<td class=\"n\">7</td>", "<td class=\"n bad\">6</td>", "<td class=\"n bad\">not reached</td>",
		"<span class=\"bad\">none</span>",
	} {
		c.Check(body, qt.Contains, want)
	}
	c.Assert(strings.Contains(body, "<script"), qt.IsFalse)
}

func TestStatusHandler(t *testing.T) {
	c := qt.New(t)
	recorder := httptest.NewRecorder()
	NewStatusHandler(sampleStatus).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/status", nil))
	var status Status
	c.Assert(json.Unmarshal(recorder.Body.Bytes(), &status), qt.IsNil)
	c.Assert(status.Shards, qt.DeepEquals, sampleStatus(t.Context()).Shards)
}
