package conductor

import (
	"time"

	"filberthaven.example/planner"
	"github.com/rcrowley/go-metrics"
)

// ownerMetrics are the metrics of one ownership. Operators read some of them under names
// that differ from those of the fields.
type ownerMetrics struct {
	accepted, refused, unavailable               metrics.Counter      // submitted jobs
	completed, failed, cancelled                 metrics.Counter      // ended jobs
	pending, pendingOrdered                      metrics.Gauge        // jobs of which no task has begun; of these, those with a decided start
	reservedWorkers, keptWorkers                 metrics.Gauge        // workers reserved for gangs and long-running steps, and for suspects
	reservedIdle                                 metrics.GaugeFloat64 // free processors on them
	reservedLongest                              metrics.Gauge        // ms for which one of them has been reserved without a break
	backfilled                                   metrics.Counter      // decided starts on workers that were reserved for gangs
	fastWorkers, slowWorkers                     metrics.Gauge        // workers known to be faster and slower than most
	orderRate, ordersWaiting                     metrics.Gauge        // starts a second that can be ordered, 0 if they are not the limit; starts without an outcome
	starts, stops                                metrics.Counter      // orders that the planner decided on
	copies                                       metrics.Counter      // of the starts, those of copies
	preemptions                                  metrics.Counter      // of the stops, those that make room for urgent steps
	startsAccepted, startsRefused, startsUnknown metrics.Counter      // outcomes of start orders
	runsEnded                                    metrics.Counter      // ended runs that workers reported
	heartbeats, missedHeartbeats                 metrics.Counter      // heartbeats sent, and those that failed
	crashes                                      metrics.Counter      // runs whose worker crashed
	closedConnections                            metrics.Counter      // missed heartbeats whose worker's machine refused or closed the connection
	invalidEntries                               metrics.Counter      // changes of entries that name no worker
	adviceRequests, adviceFailures               metrics.Counter
	adviceTime                                   metrics.Timer        // of requests that succeeded
	acceptTime                                   metrics.Timer        // from a job's arrival until the journal holds it
	forecastError, declaredError                 metrics.GaugeFloat64 // mean absolute errors of the logarithms of forecast and declared run times
}

func newOwnerMetrics(r metrics.Registry) ownerMetrics {
	return ownerMetrics{
		accepted:          metrics.GetOrRegisterCounter("jobs.accepted", r),
		refused:           metrics.GetOrRegisterCounter("jobs.refused", r),
		unavailable:       metrics.GetOrRegisterCounter("jobs.unavailable", r),
		completed:         metrics.GetOrRegisterCounter("jobs.completed", r),
		failed:            metrics.GetOrRegisterCounter("jobs.failed", r),
		cancelled:         metrics.GetOrRegisterCounter("jobs.cancelled", r),
		pending:           metrics.GetOrRegisterGauge("jobs.pending", r),
		pendingOrdered:    metrics.GetOrRegisterGauge("jobs.pending.ordered", r),
		fastWorkers:       metrics.GetOrRegisterGauge("workers.fast", r),
		slowWorkers:       metrics.GetOrRegisterGauge("workers.slow", r),
		reservedWorkers:   metrics.GetOrRegisterGauge("workers.reserved", r),
		keptWorkers:       metrics.GetOrRegisterGauge("workers.kept", r),
		reservedLongest:   metrics.GetOrRegisterGauge("workers.reserved.longest", r),
		reservedIdle:      metrics.GetOrRegisterGaugeFloat64("workers.reserved.idle", r),
		backfilled:        metrics.GetOrRegisterCounter("orders.backfilled", r),
		orderRate:         metrics.GetOrRegisterGauge("orders.rate", r),
		ordersWaiting:     metrics.GetOrRegisterGauge("orders.waiting", r),
		starts:            metrics.GetOrRegisterCounter("orders.starts", r),
		stops:             metrics.GetOrRegisterCounter("orders.stops", r),
		copies:            metrics.GetOrRegisterCounter("orders.copies", r),
		preemptions:       metrics.GetOrRegisterCounter("orders.preemptions", r),
		startsAccepted:    metrics.GetOrRegisterCounter("starts.begun", r),
		startsRefused:     metrics.GetOrRegisterCounter("starts.refused", r),
		startsUnknown:     metrics.GetOrRegisterCounter("starts.unsure", r),
		runsEnded:         metrics.GetOrRegisterCounter("runs.ended", r),
		heartbeats:        metrics.GetOrRegisterCounter("holds.sent", r),
		missedHeartbeats:  metrics.GetOrRegisterCounter("holds.unanswered", r),
		crashes:           metrics.GetOrRegisterCounter("runs.crashed", r),
		closedConnections: metrics.GetOrRegisterCounter("holds.closed", r),
		invalidEntries:    metrics.GetOrRegisterCounter("entries.invalid", r),
		adviceRequests:    metrics.GetOrRegisterCounter("advice.asked", r),
		adviceFailures:    metrics.GetOrRegisterCounter("advice.failed", r),
		adviceTime:        metrics.GetOrRegisterTimer("advice.time", r),
		acceptTime:        metrics.GetOrRegisterTimer("jobs.accept.time", r),
		forecastError:     metrics.GetOrRegisterGaugeFloat64("runtimes.error", r),
		declaredError:     metrics.GetOrRegisterGaugeFloat64("runtimes.error.declared", r),
	}
}

// updateGauges updates the gauges of pending jobs, of the speeds of workers, of reservations and
// of orders.
func (c *Conductor) updateGauges() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.metrics.pending.Update(int64(c.planner.PendingInAll()))
	c.metrics.pendingOrdered.Update(int64(c.planner.PendingOrdered()))
	fast, slow := c.planner.SpeedClasses()
	if int64(fast) != c.metrics.fastWorkers.Value() || int64(slow) != c.metrics.slowWorkers.Value() {
		c.log.Info("speeds of workers", "fast", fast, "slow", slow)
	}
	c.metrics.fastWorkers.Update(int64(fast))
	c.metrics.slowWorkers.Update(int64(slow))
	c.metrics.updateReservations(c.planner.Reservations(c.now()))
	c.backlog.advance(c.now())
	c.metrics.orderRate.Update(int64(c.backlog.rate))
	c.metrics.ordersWaiting.Update(int64(c.backlog.starts))
	if c.backlog.rate > 0 {
		c.log.Info("starts wait for orders", "rate", int(c.backlog.rate), "waiting", c.backlog.starts, "inflight", len(c.orderSlots), "delay", c.backlog.delay().Round(time.Millisecond))
	}
}

// updateReservations updates the gauges of workers that are kept from other work.
func (m ownerMetrics) updateReservations(r planner.Reservations) {
	m.reservedWorkers.Update(int64(r.Workers))
	m.keptWorkers.Update(int64(r.Kept))
	m.reservedIdle.Update(r.Idle)
	m.reservedLongest.Update(r.Longest.Milliseconds())
}
