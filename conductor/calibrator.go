package conductor

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// calibrationBytes is how much a calibration hashes: some 20 microseconds of work.
	calibrationBytes = 64 << 10
	// calibrationSamples is the number of the newest calibrations of which the fastest
	// counts. The others may have been interrupted.
	calibrationSamples = 8
	// loadInterval is the time between two samples of the processor's load and speed.
	loadInterval = 100 * time.Millisecond
	// wakeupSamples is the number of wake-ups over which the median delay is computed.
	wakeupSamples = 10
	// saturatedDelay is the median delay of wake-ups from which the processor counts as
	// saturated. On a VM with spare time it is below 3 ms.
	saturatedDelay = 25 * time.Millisecond
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
	data := make([]byte, calibrationBytes)
	c := &Calibrator{now: now, work: func() { xxhash.Sum64(data) }}
	for range calibrationSamples {
		c.Sample()
	}
	return c
}

// Sample measures the time of the work once.
func (c *Calibrator) Sample() {
	start := c.now()
	c.work()
	taken := max(c.now()-start, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
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

// wakeupWindow holds how much too late the newest wake-ups came.
type wakeupWindow struct {
	delays [wakeupSamples]time.Duration
	count  int // wake-ups ever added
}

func (w *wakeupWindow) add(delay time.Duration) {
	w.delays[w.count%wakeupSamples] = delay
	w.count++
}

// saturated reports whether the median delay shows a processor without spare time.
func (w *wakeupWindow) saturated() bool {
	sorted := w.delays
	slices.Sort(sorted[:])
	return sorted[wakeupSamples/2] >= saturatedDelay
}

// mustHandOver reports whether an owner with slow orders should give up the ownership. It
// should if its VM has become slow, or if the processor has spare time, so that the VM's
// network is the cause. An owner that only has too much to do keeps the ownership: the
// next one would have as much to do and a takeover besides.
func mustHandOver(slowdown float64, saturated bool) bool {
	return slowdown >= slowFactor || !saturated
}
