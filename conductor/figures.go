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
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return figures{
		accepted: counter("jobs.accepted"), refused: counter("jobs.refused"), unavailable: counter("jobs.unavailable"),
		completed: counter("jobs.completed"), failed: counter("jobs.failed"), cancelled: counter("jobs.cancelled"),
		starts: counter("orders.starts"), stops: counter("orders.stops"),
		begun: counter("starts.begun"), turned: counter("starts.refused"), unsure: counter("starts.unsure"),
		ends: counter("runs.ended"), holds: counter("holds"), silences: counter("holds.unanswered"),
		asks: counter("advice.asked"), asksFailed: counter("advice.failed"),
		askWait:    metrics.GetOrRegisterTimer("advice.time", r),
		acceptTime: metrics.GetOrRegisterTimer("jobs.accept.time", r),
	}
}
