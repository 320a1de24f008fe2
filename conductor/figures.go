package conductor

import "github.com/rcrowley/go-metrics"

// figures are what an owner counts.
type figures struct {
	accepted, refused, unavailable metrics.Counter // jobs handed in
	completed, failed, cancelled   metrics.Counter // jobs that ended
	starts, stops                  metrics.Counter // orders given
	begun, turned, unsure          metrics.Counter // outcomes of starts
	ends                           metrics.Counter // ends listed by workers
	holds, silences                metrics.Counter // calls that hold leases, and those without an answer
	asks, asksFailed               metrics.Counter // calls for advice
	askWait                        metrics.Timer
	acceptTime                     metrics.Timer
}

func newFigures(r metrics.Registry) figures {
	return figures{
		accepted:    metrics.GetOrRegisterCounter("jobs.accepted", r),
		refused:     metrics.GetOrRegisterCounter("jobs.refused", r),
		unavailable: metrics.GetOrRegisterCounter("jobs.unavailable", r),
		completed:   metrics.GetOrRegisterCounter("jobs.completed", r),
		failed:      metrics.GetOrRegisterCounter("jobs.failed", r),
		cancelled:   metrics.GetOrRegisterCounter("jobs.cancelled", r),
		starts:      metrics.GetOrRegisterCounter("orders.starts", r),
		stops:       metrics.GetOrRegisterCounter("orders.stops", r),
		begun:       metrics.GetOrRegisterCounter("starts.begun", r),
		turned:      metrics.GetOrRegisterCounter("starts.refused", r),
		unsure:      metrics.GetOrRegisterCounter("starts.unsure", r),
		ends:        metrics.GetOrRegisterCounter("runs.ended", r),
		holds:       metrics.GetOrRegisterCounter("holds.sent", r),
		silences:    metrics.GetOrRegisterCounter("holds.unanswered", r),
		asks:        metrics.GetOrRegisterCounter("advice.asked", r),
		asksFailed:  metrics.GetOrRegisterCounter("advice.failed", r),
		askWait:     metrics.GetOrRegisterTimer("advice.time", r),
		acceptTime:  metrics.GetOrRegisterTimer("jobs.accept.time", r),
	}
}
