package conductor

import (
	"context"
	"slices"
	"time"
)

const (
	// latencySamples is the number of orders over which the median is computed.
	latencySamples = 32
	// maxMedianLatency is the median latency of orders above which another VM should
	// own the fleet, unless the load is the cause. Usual medians are 3 to 20 ms. A median
	// is used because a minority of slow workers does not change it much.
	maxMedianLatency = 250 * time.Millisecond
	// quietOrders is the number of orders in flight up to which an order does not wait for
	// others: at 0.2 ms of processor time each, they take 50 ms on a VM with 0.12 cores.
	quietOrders = 32
	// takeoverGrace is how long after a takeover a high latency is ignored, because a new
	// owner probes all workers first.
	takeoverGrace = 3 * time.Second
)

// latencyWindow holds the latencies of the newest orders.
type latencyWindow struct {
	samples [latencySamples]time.Duration
	count   int // orders ever added
}

// add records the latency of an order. It reports whether the window is full and its
// median too high.
func (w *latencyWindow) add(latency time.Duration) bool {
	w.samples[w.count%latencySamples] = latency
	w.count++
	if w.count < latencySamples {
		return false
	}
	sorted := w.samples
	slices.Sort(sorted[:])
	return sorted[latencySamples/2] > maxMedianLatency
}

// observeLatency records the latency of an answered order, which was sent while inFlight
// orders were in flight, and resigns if this VM or its network has become too slow. A VM may
// share its processor with others: an owner that ran five times slower than usual started
// urgent work 4 s late, in scenario scale-1 of lychnos-fh. The caller holds c.mu.
func (c *Conductor) observeLatency(latency time.Duration, inFlight int) {
	now := c.now()
	slow := c.orderLatency.add(latency)
	slowInQuiet := inFlight <= quietOrders && c.quietLatency.add(latency)
	if !slow && !slowInQuiet || now-c.tookOverAt < takeoverGrace {
		return
	}
	c.orderLatency, c.quietLatency = latencyWindow{}, latencyWindow{}
	slowdown := c.calibrator.Slowdown()
	largerPeer := c.hasLargerPeer()
	if mustHandOver(slowdown, slowInQuiet, largerPeer) {
		c.log.Warn("orders take long; this VM is too slow to own the fleet", "limit", maxMedianLatency, "slowdown", slowdown, "quiet", slowInQuiet, "larger", largerPeer)
		c.resignSlow()
		return
	}
	if repeats, due := c.overloadLog.Next(now); due {
		c.log.Warn("orders take long because of the load; keeping the ownership", "limit", maxMedianLatency, "slowdown", slowdown, "inflight", inFlight, "repeats", repeats)
	}
}

// watchLoad samples the load and the speed of the processor until ctx ends.
func (c *Conductor) watchLoad(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		c.sleep(loadInterval)
		c.calibrator.Sample()
		if n%loadUpdates == 0 {
			c.mu.Lock()
			c.runQueue.update()
			c.mu.Unlock()
		}
	}
}
