package estimator

import (
	"math"
	"slices"
	"strings"
)

// QueueSummary is what is known of the run times of a queue, for logs and metrics.
type QueueSummary struct {
	Queue         string
	Steps         float64 // observed, with all tasks of a step as one
	Ratio         float64 // expected run time divided by the declared one, for a usual declaration
	Slope         float64 // 1: declarations are right but for Ratio; 0: they carry no information
	Spread        float64 // standard deviation of the logarithm of the run time around the forecast by the declaration
	Error         float64 // mean absolute error of the logarithms of the forecasts given
	DeclaredError float64 // the same of the declared run times
}

// Summaries returns the known queues in the order of their names.
func (r *RunTimes) Summaries() []QueueSummary {
	var list []QueueSummary
	for name, q := range r.queues.oldestFirst() {
		if q.isKnown() {
			list = append(list, QueueSummary{
				Queue: name, Steps: q.weight, Ratio: math.Exp(clampLog(q.y - q.x)), Slope: q.slope(),
				Spread: math.Sqrt(q.variance.valueWithPrior(priorVariance, 1)), Error: q.absolute.value, DeclaredError: q.absoluteDeclared.value,
			})
		}
	}
	slices.SortFunc(list, func(a, b QueueSummary) int { return strings.Compare(a.Queue, b.Queue) })
	return list
}
