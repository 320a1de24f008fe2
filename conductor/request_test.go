package conductor

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"filberthaven.example/journaler"
	"filberthaven.example/planner"
	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// TestRefusalResponse guards against reporting a job as not run while the journal
// may still hold it.
func TestRefusalResponse(t *testing.T) {
	c := &Conductor{metrics: newOwnerMetrics(metrics.NewRegistry()), log: hclog.NewNullLogger()}
	for _, test := range []struct {
		name               string
		err                error
		status, retryAfter int
	}{
		{"unknown", errors.Join(journaler.ErrOutcomeUnknown), http.StatusGatewayTimeout, 0},
		{"deposed", journaler.ErrDeposed, http.StatusServiceUnavailable, 1},
		{"unavailable", journaler.ErrUnavailable, http.StatusServiceUnavailable, 1},
		{"refused", &planner.RefusalError{Reason: "r", RetryAfter: 3 * time.Second}, http.StatusTooManyRequests, 3},
		{"invalid", planner.ErrInvalidJob, http.StatusBadRequest, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			response := c.refuse("id", planner.Queue{}, "team", test.err)
			quicktest.Assert(t, response.Status, quicktest.Equals, test.status)
			quicktest.Assert(t, response.RetryAfter, quicktest.Equals, test.retryAfter)
		})
	}
}
