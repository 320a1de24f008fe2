package conductor

import (
	"slices"
	"time"
)

const (
	// latencySamples is the number of orders over which the median is computed.
	latencySamples = 32
	// maxMedianLatency is the median latency of orders above which another VM must
	// own the fleet. Usual medians are 3 to 20 ms. The median ignores a minority of
	// unreachable workers.
	maxMedianLatency = 250 * time.Millisecond
	// takeoverGrace is how long a new owner may be slow, because it probes all workers
	// first.
	takeoverGrace = 3 * time.Second
)

// latencyWindow holds the latencies of the newest orders.
type latencyWindow struct {
	samples [latencySamples]time.Duration
	count   int // orders ever added
}

// add records the latency of an order and reports whether the median is too high.
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
// started urgent work 4 s late (scale-1 of lychnos-fh). The lock is held.
func (c *Conductor) observeLatency(latency time.Duration) {
	if !c.orderLatency.add(latency) || c.now()-c.tookOverAt < takeoverGrace {
		return
	}
	c.orderLatency = latencyWindow{}
	c.log.Warn("orders take long; this VM is too slow to own the fleet", "limit", maxMedianLatency)
	c.resignSlow()
}
