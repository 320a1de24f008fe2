package measurer

import (
	"time"

	"filberthaven.example/placer"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms.
const (
	longestWait     = 7 * 24 * time.Hour
	longestDecision = 10 * time.Second
	figures         = 3 // significant ones of a histogram
)

// tally counts what a run did.
type tally struct {
	waits     map[placer.Class]*hdrhistogram.Histogram // milliseconds from arrival to the first start of a task
	decisions *hdrhistogram.Histogram                  // nanoseconds of processor time for each
	used      []float64                                // part of all processors held, over time
	due       int                                      // deferred jobs with a deadline before the horizon
	missed    int                                      // of these, not done in time
	refused   int                                      // jobs refused on arrival
	work      float64                                  // core seconds of finished tasks
	good      float64                                  // core seconds of jobs done in time
	jobs      int                                      // that arrived
}

func newTally() *tally {
	t := &tally{waits: map[placer.Class]*hdrhistogram.Histogram{}, decisions: hdrhistogram.New(1, int64(longestDecision), figures)}
	for class := placer.Urgent; class <= placer.BestEffort; class++ {
		t.waits[class] = hdrhistogram.New(1, longestWait.Milliseconds(), figures)
	}
	return t
}

// record adds a value, cut to what the histogram holds.
func record(h *hdrhistogram.Histogram, value int64) {
	_ = h.RecordValue(min(max(value, h.LowestTrackableValue()), h.HighestTrackableValue())) // within range
}

func (t *tally) arrived(*work) { t.jobs++ }

func (t *tally) decided(took time.Duration, orders int) {
	if orders > 0 {
		record(t.decisions, int64(took)/int64(orders))
	}
}

func (t *tally) waited(w *work, wait time.Duration) {
	record(t.waits[w.spec.Class()], wait.Milliseconds())
}

func (t *tally) completed(w *work, run, at time.Duration) {
	core := float64(w.spec.Size().CPU()) / 1000 * run.Seconds()
	t.work += core
	w.cores += core
	w.ended++
	if w.ended < w.spec.Tasks() {
		return
	}
	w.done = at
	if !w.late() {
		t.good += w.cores
	}
}

// closed counts the job against its deadline at the end.
func (t *tally) closed(w *work, horizon time.Duration) {
	deadline := w.deadline()
	if w.spec.Class() != placer.Deferred || deadline == 0 || deadline > horizon {
		return
	}
	t.due++
	if w.refused || w.ended < w.spec.Tasks() || w.late() {
		t.missed++
	}
}

func (t *tally) missedPart() float64 { return ratio(float64(t.missed), float64(t.due)) }

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return ratio(sum, float64(len(values)))
}
