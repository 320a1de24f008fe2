package conductor

import (
	"math"
	"time"

	"filberthaven.example/estimator"
)

// runTimesInterval is the time between two log lines of the learned run times of a queue.
const runTimesInterval = time.Minute

// reportRunTimes updates the metrics of the forecasts, as means of the queues, and logs what
// was learned at most once in runTimesInterval. It is called by runDecisions only.
func (c *Conductor) reportRunTimes(queues []estimator.QueueSummary, now time.Duration) {
	if len(queues) == 0 {
		return
	}
	var forecast, declared float64
	for _, q := range queues {
		forecast += q.Error / float64(len(queues))
		declared += q.DeclaredError / float64(len(queues))
	}
	c.metrics.forecastError.Update(forecast)
	c.metrics.declaredError.Update(declared)
	if c.runTimesAt != 0 && now-c.runTimesAt < runTimesInterval {
		return
	}
	c.runTimesAt = now
	for _, q := range queues {
		c.log.Info("run times learned", "queue", q.Queue, "steps", math.Round(q.Steps), "ratio", twoDigits(q.Ratio), "slope", twoDigits(q.Slope),
			"spread", twoDigits(q.Spread), "error", twoDigits(q.Error), "declared_error", twoDigits(q.DeclaredError))
	}
}

func twoDigits(v float64) float64 { return math.Round(100*v) / 100 }
