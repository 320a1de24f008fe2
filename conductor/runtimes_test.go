package conductor

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"filberthaven.example/estimator"
	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// TestRunTimesReported guards against a log that fills with what was learned, and against
// metrics that don't show it.
func TestRunTimesReported(t *testing.T) {
	var out bytes.Buffer
	c := &Conductor{log: hclog.New(&hclog.LoggerOptions{Output: &out}), metrics: newOwnerMetrics(metrics.NewRegistry())}
	queues := []estimator.QueueSummary{{Queue: "book", Error: 0.25, DeclaredError: 0.5}, {Queue: "plan", Error: 0.75, DeclaredError: 1}}
	c.reportRunTimes(nil, time.Second)
	for now := time.Second; now < 2*time.Minute; now += sweepInterval {
		c.reportRunTimes(queues, now)
	}
	quicktest.Check(t, strings.Count(out.String(), "run times learned: queue=book"), quicktest.Equals, 2)
	quicktest.Check(t, strings.Count(out.String(), "run times learned"), quicktest.Equals, 4)
	quicktest.Check(t, c.metrics.forecastError.Value(), quicktest.Equals, 0.5)
	quicktest.Check(t, c.metrics.declaredError.Value(), quicktest.Equals, 0.75)
}
