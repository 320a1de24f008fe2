package conductor

import (
	"math/rand/v2"
	"runtime/metrics"
	"slices"
	"sync"
	"time"
)

const (
	// calibrationSteps is the work of a calibration: some 20 microseconds of random
	// numbers. It reads no memory, since a busy process finds little of it in the caches.
	calibrationSteps = 10_000
	// calibrationSamples is the number of the newest calibrations of which the fastest
	// counts. The others may have been interrupted.
	calibrationSamples = 8
	// loadInterval is the time between two samples of the processor's speed.
	loadInterval = 100 * time.Millisecond
	// loadUpdates is the number of samples of the speed for each of the load.
	loadUpdates = 5
	// waitQuantile is the quantile of the waits for the processor that counts. On a
	// saturated processor some goroutines still run at once.
	waitQuantile = 0.75
	// saturatedDelay is the wait from which the processor counts as saturated. With spare
	// time it is far below a millisecond.
	saturatedDelay = 10 * time.Millisecond
	// slowFactor is how many times longer than once the same work must take for a VM to
	// count as slow. VMs that share their processor were five times slower.
	slowFactor = 2.5
)

// Calibrator measures the speed of this VM's processor by a fixed amount of work. It is
// safe for concurrent use. It tells a VM that became slow from one with much to do: the
// work itself then takes as long as ever.
type Calibrator struct {
	now  func() time.Duration
	work func()

	mu        sync.Mutex
	reference time.Duration                     // shortest sample ever
	samples   [calibrationSamples]time.Duration // the newest; 0 if not taken yet
	count     int                               // samples ever taken
}

// NewCalibrator returns a Calibrator that reads the clock now, and takes its first samples.
func NewCalibrator(now func() time.Duration) *Calibrator {
	generator := rand.NewPCG(0, 0)
	c := &Calibrator{now: now, work: func() {
		for range calibrationSteps {
			generator.Uint64()
		}
	}}
	for range calibrationSamples {
		c.Sample()
	}
	return c
}

// Sample measures the time of the work once.
func (c *Calibrator) Sample() {
	c.mu.Lock()
	defer c.mu.Unlock()
	start := c.now()
	c.work()
	taken := max(c.now()-start, 1)
	c.samples[c.count%calibrationSamples] = taken
	c.count++
	if c.reference == 0 || taken < c.reference {
		c.reference = taken
	}
}

// Slowdown returns how many times longer the work takes now than when it was fastest.
func (c *Calibrator) Slowdown() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(slices.Min(c.samples[:])) / float64(c.reference)
}

// runQueue measures how long goroutines that could run wait for the processor. A timer
// does not show that: the goroutine that it wakes runs next, before those that wait.
type runQueue struct {
	sample []metrics.Sample
	counts []uint64      // of the histogram at the last update; empty before the first
	delay  time.Duration // waitQuantile of the waits between the last two updates; 0 before that
}

// schedulerLatencies is the runtime's histogram of these waits, in seconds.
const schedulerLatencies = "/sched/latencies:seconds"

// update measures the waits since the last update.
func (q *runQueue) update() {
	if q.sample == nil {
		q.sample = []metrics.Sample{{Name: schedulerLatencies}}
	}
	metrics.Read(q.sample)
	histogram := q.sample[0].Value.Float64Histogram()
	q.delay = quantileSince(q.counts, histogram.Counts, histogram.Buckets, waitQuantile)
	q.counts = append(q.counts[:0], histogram.Counts...)
}

// quantileSince returns a quantile of the values that a histogram of seconds has gained
// since it had the counts before, as the lower bound of their bucket. It returns 0 if there
// are none or before is empty.
func quantileSince(before, counts []uint64, buckets []float64, quantile float64) time.Duration {
	if len(before) != len(counts) {
		return 0
	}
	total := uint64(0)
	for i := range counts {
		total += counts[i] - before[i]
	}
	sum := uint64(0)
	for i := range counts {
		sum += counts[i] - before[i]
		if total > 0 && float64(sum) >= quantile*float64(total) {
			return time.Duration(max(0, buckets[i]) * float64(time.Second))
		}
	}
	return 0
}

// saturated reports whether the waits show a processor without spare time.
func (q *runQueue) saturated() bool { return q.delay >= saturatedDelay }

// mustHandOver reports whether an owner with slow orders should give up the ownership. It
// should if its VM has become slow, or if orders are slow also while few are in flight, so
// that the VM's network is the cause, or if a much larger VM could own the fleet. Any other
// owner that has too much to do keeps the ownership: the next one would have as much to do
// and a takeover besides.
func mustHandOver(slowdown float64, slowInQuiet, largerPeer bool) bool {
	return slowdown >= slowFactor || slowInQuiet || largerPeer
}
