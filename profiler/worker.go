package profiler

import (
	"math"
	"time"
)

const (
	// recentRuns is the number of runs by which a change of speed is recognised: their
	// median follows a change after five of them.
	recentRuns = 8
	// changeErrors and minChange are the least distance of that median from the factor, in standard
	// errors of the median and as a logarithm, that is a change.
	changeErrors, minChange = 4, 0.3
	// medianError is the standard error of the median of n values times the square root of n,
	// as a multiple of their standard deviation.
	medianError = 1.25
	// farSlower is the logarithm of the ratio to the others' run times from which a run is
	// evidence that its worker has slowed down, whatever the fleet's spread. Of equal workers with
	// stragglers, one run in twenty exceeds it.
	farSlower = 0.8
	// enterSlower and leaveSlower are how many of the recent runs have to be so for
	// the worker to become slow by that and to stay so. Chance reaches 7 of 8 once in 10^8 trials.
	enterSlower, leaveSlower = 7, 5
)

// Worker holds what is known of the speed of one incarnation of a worker.
type Worker struct {
	sum, weight float64 // of the residuals of its runs, which are logarithms of run times relative to those of others
	squares     float64 // sum of the squared weights of the runs, each relative to a run of weight 1
	recent      [recentRuns]float64
	runs        int           // since the first; recent[(runs-1)%recentRuns] is of the newest
	observedAt  time.Duration // when the newest run was compared
	class       Class
	factor      float64 // as of the last Classify; 0 before the first
	slower      bool    // it is slow by its recent runs
}

// Class returns the class of the worker as of the last Classify.
func (w *Worker) Class() Class { return w.class }

// Factor returns the run time of a task on the worker as a multiple of the fleet's median,
// as of the last Classify. It is 1 for workers of the Usual class.
func (w *Worker) Factor() float64 {
	if w.class == Usual {
		return 1
	}
	return w.factor
}

// logFactor returns the mean of the residuals.
func (w *Worker) logFactor() float64 {
	if w.weight == 0 {
		return 0
	}
	return w.sum / w.weight
}

// observe adds the residual of a run. The deviation is that of a run of weight 1.
func (w *Worker) observe(residual, weight, deviation float64, now time.Duration) {
	residual = clamp(residual)
	if w.runs == 0 {
		w.weight = priorWeight
	}
	w.sum = decay*w.sum + weight*residual
	w.weight = decay*w.weight + weight
	w.squares = decay*decay*w.squares + weight
	w.recent[w.runs%recentRuns] = residual
	w.runs++
	w.observedAt = now
	if w.runs < recentRuns {
		return
	}
	recent := w.recent
	median := medianOf(recent[:])
	if change := math.Abs(median - w.logFactor()); change > max(minChange, changeErrors*medianError*deviation/math.Sqrt(recentRuns*weight)) {
		w.weight, w.squares = recentRuns*weight, recentRuns*weight*medianError*medianError
		w.sum = median * w.weight
	}
}

// classify sets the class and the factor by the fleet's median and the deviation of a run
// of weight 1. If not open, only recent runs count that were far slower than others.
func (w *Worker) classify(open bool, median, deviation float64) {
	distance := w.logFactor() - median
	w.factor = math.Exp(distance)
	w.slower = w.isSlower()
	by, errors := enterBy, float64(enterErrors)
	if w.class != Usual {
		by, errors = leaveBy, leaveErrors
	}
	switch {
	case w.slower:
		w.class = Slow
	case !open || w.runs < minRuns || math.Abs(distance) < max(by, errors*deviation*math.Sqrt(w.squares)/w.weight):
		w.class = Usual
	case distance < 0:
		w.class = Fast
	default:
		w.class = Slow
	}
}

// isSlower reports whether the recent runs were far slower than those of others.
func (w *Worker) isSlower() bool {
	if w.runs < recentRuns {
		return false
	}
	n := 0
	for _, residual := range w.recent {
		if residual > farSlower {
			n++
		}
	}
	if w.slower {
		return n >= leaveSlower
	}
	return n >= enterSlower
}
