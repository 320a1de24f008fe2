package measurer

import (
	"time"

	"filberthaven.example/placer"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms.
const (
	maxWait           = 7 * 24 * time.Hour
	maxDecisionTime   = 10 * time.Second
	significantDigits = 3 // of a histogram
)

// tally holds what is counted in a run.
type tally struct {
	waits       map[placer.Class]*hdrhistogram.Histogram // milliseconds from arrival to the first start of a task
	decisions   *hdrhistogram.Histogram                  // mean nanoseconds per decision, one value for each call with decisions
	utilization []float64                                // fraction of all processors allocated, one value each sampleInterval
	due         int                                      // deferred jobs with a deadline up to the horizon
	missed      int                                      // jobs counted in due that were not done in time
	refused     int                                      // jobs refused on arrival
	coreSeconds float64                                  // of tasks that succeeded
	goodput     float64                                  // core seconds of jobs that were done in time or have no deadline
	jobs        int                                      // jobs that arrived
}

func newTally() *tally {
	t := &tally{waits: map[placer.Class]*hdrhistogram.Histogram{}, decisions: hdrhistogram.New(1, int64(maxDecisionTime), significantDigits)}
	for class := placer.Urgent; class <= placer.BestEffort; class++ {
		t.waits[class] = hdrhistogram.New(1, maxWait.Milliseconds(), significantDigits)
	}
	return t
}

// record adds a value, clamped to the range of the histogram.
func record(h *hdrhistogram.Histogram, value int64) {
	_ = h.RecordValue(min(max(value, h.LowestTrackableValue()), h.HighestTrackableValue())) // can't fail within the range
}

func (t *tally) recordArrival(*job) { t.jobs++ }

// recordDecisions records the mean time per decision of a call, unless it made none.
func (t *tally) recordDecisions(took time.Duration, count int) {
	if count > 0 {
		record(t.decisions, int64(took)/int64(count))
	}
}

func (t *tally) recordWait(j *job, wait time.Duration) {
	record(t.waits[j.spec.Class()], wait.Milliseconds())
}

// recordSuccess adds the work of a task, and that of its job when all tasks have succeeded
// in time.
func (t *tally) recordSuccess(j *job, runTime, at time.Duration) {
	coreSeconds := float64(j.spec.Size().CPU()) / 1000 * runTime.Seconds()
	t.coreSeconds += coreSeconds
	j.coreSeconds += coreSeconds
	j.succeeded++
	if j.succeeded < j.spec.Tasks() {
		return
	}
	j.completedAt = at
	if !j.late() {
		t.goodput += j.coreSeconds
	}
}

// recordDeadline counts a deferred job with a deadline up to the horizon, and whether it
// missed the deadline.
func (t *tally) recordDeadline(j *job, horizon time.Duration) {
	deadline := j.deadline()
	if j.spec.Class() != placer.Deferred || deadline == 0 || deadline > horizon {
		return
	}
	t.due++
	if j.refused || j.succeeded < j.spec.Tasks() || j.late() {
		t.missed++
	}
}

func (t *tally) missedFraction() float64 { return ratio(float64(t.missed), float64(t.due)) }

// ratio returns the quotient, or 0 for a zero denominator.
func ratio(numerator, denominator float64) float64 {
	if denominator == 0 {
		return 0
	}
	return numerator / denominator
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return ratio(sum, float64(len(values)))
}
