package conductor

import (
	"slices"
	"time"
)

const (
	// latencySamples is the number of orders over which the median is computed.
	latencySamples = 32
	// maxMedianLatency is the median latency of orders above which another VM must
	// own the fleet. Usual medians are 3 to 20 ms. A median is used because a minority
	// of unreachable workers does not change it much.
	maxMedianLatency = 250 * time.Millisecond
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

// observeLatency records the latency of an order and resigns if this VM has become too
// slow. A VM may share its processor with others: an owner that ran five times slower
// than usual started urgent work 4 s late, in scenario scale-1 of lychnos-fh. The
// caller holds c.mu.
func (c *Conductor) observeLatency(latency time.Duration) {
	if !c.orderLatency.add(latency) || c.now()-c.tookOverAt < takeoverGrace {
		return
	}
	c.orderLatency = latencyWindow{}
	c.log.Warn("orders take long; this VM is too slow to own the fleet", "limit", maxMedianLatency)
	c.resignSlow()
}
