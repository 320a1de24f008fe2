package profiler

import (
	"math"
	"time"
)

const (
	// recentRuns is the number of runs by which a change of speed is recognised: their
	// median follows a change after five of them.
	recentRuns = 8
	// changeErrors and minChange are the least distance of that median from the mean of the older
	// runs that is a change, in standard errors and as a logarithm.
	changeErrors, minChange = 2.5, 0.3
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
	older      evidence // of runs before the recent ones; without those before a change of speed
	recent     [recentRuns]observation
	runs       int           // since the first; recent[(runs-1)%recentRuns] is the newest one
	observedAt time.Duration // when the newest run was compared
	mean       float64       // of the residuals of older and recent runs
	spread     float64       // standard error of mean, as a multiple of the deviation of a run of weight 1
	class      Class
	factor     float64 // as of the last Classify; 0 before the first
	slower     bool    // it is slow by its recent runs
	changed    bool    // its speed has changed since the last Classify
}

// observation is a run: the logarithm of its run time relative to those of others, and its weight.
type observation struct{ residual, weight float64 }

// evidence sums up observations with weights that decay.
type evidence struct {
	sum, weight float64 // of the residuals
	squares     float64 // sum of the squared weights of the runs, as multiples of the one that a run of weight 1 has
}

// add adds an observation.
func (e *evidence) add(o observation) {
	e.sum += o.weight * o.residual
	e.weight += o.weight
	e.squares += o.weight
}

// decay reduces the weight of the observations so far.
func (e *evidence) decay() {
	e.sum, e.weight, e.squares = decay*e.sum, decay*e.weight, decay*decay*e.squares
}

// Class returns the class of the worker as of the last Classify.
func (w *Worker) Class() Class { return w.class }

// Runs returns the number of its runs that were compared with others.
func (w *Worker) Runs() int { return w.runs }

// Factor returns the run time of a task on the worker as a multiple of the fleet's median,
// as of the last Classify. It is 1 for workers of the Usual class.
func (w *Worker) Factor() float64 {
	if w.class == Usual {
		return 1
	}
	return w.factor
}

// observe adds the residual of a run. The deviation is that of a run of weight 1.
func (w *Worker) observe(residual, weight, deviation float64, now time.Duration) {
	newest := &w.recent[w.runs%recentRuns]
	switch {
	case w.runs == 0:
		w.older.weight = priorWeight
	case w.runs >= recentRuns:
		w.older.decay()
		w.older.add(*newest)
	}
	*newest = observation{clamp(residual), weight}
	w.runs++
	w.observedAt = now
	if w.hasChanged(deviation) {
		w.older, w.changed = evidence{}, true
	}
	all := w.older
	for _, o := range w.recent[:min(w.runs, recentRuns)] {
		all.add(o)
	}
	w.mean, w.spread = all.sum/all.weight, math.Sqrt(all.squares)/all.weight
}

// hasChanged reports whether the recent runs differ significantly from the older ones.
func (w *Worker) hasChanged(deviation float64) bool {
	if w.runs <= recentRuns || w.older.weight == 0 {
		return false
	}
	var residuals [recentRuns]float64
	weight := 0.0
	for i, o := range w.recent {
		residuals[i] = o.residual
		weight += o.weight
	}
	change := math.Abs(medianOf(residuals[:]) - w.older.sum/w.older.weight)
	err := deviation * math.Hypot(medianError/math.Sqrt(weight), math.Sqrt(w.older.squares)/w.older.weight)
	return change > max(minChange, changeErrors*err)
}

// classify sets the class and the factor by the fleet's median and the deviation of a run
// of weight 1. If not open, only recent runs count that were far slower than others.
func (w *Worker) classify(open bool, median, deviation float64) {
	distance := w.mean - median
	w.factor = math.Exp(distance)
	slower := w.isSlower()
	w.changed = w.changed || slower != w.slower
	w.slower = slower
	by, errors := enterBy, float64(enterErrors)
	if w.class != Usual && !w.changed {
		by, errors = leaveBy, leaveErrors
	}
	w.changed = false
	switch {
	case w.slower:
		w.class = Slow
	case !open || w.runs < minRuns || math.Abs(distance) < max(by, errors*deviation*w.spread):
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
	for _, o := range w.recent {
		if o.residual > farSlower {
			n++
		}
	}
	if w.slower {
		return n >= leaveSlower
	}
	return n >= enterSlower
}
