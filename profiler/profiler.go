package profiler

import (
	"iter"
	"math"
	"slices"
	"time"
)

// Class tells how a worker compares with the others. Slower classes are larger.
type Class int8

// Classes of workers.
const (
	Fast  Class = -1
	Usual Class = 0 // also workers of which too little is known
	Slow  Class = 1
)

// String returns the class for logs.
func (c Class) String() string {
	switch c {
	case Fast:
		return "fast"
	case Slow:
		return "slow"
	default:
		return "usual"
	}
}

const (
	// decay is the part of its weight that an observation of a worker keeps at the next one.
	decay = 0.97
	// priorWeight is the weight of the assumption that a new worker is as fast as the others.
	// It decays like an observation, and ends with the first change of speed. A lasting one would
	// pull the factors of workers whose runs are compared only with those of equal ones back to 1.
	priorWeight = 2
	// maxDifference is the largest logarithm of the ratio of two run times that counts.
	// Stragglers take seven times as long, a logarithm of 1.9.
	maxDifference = 1
	// maxGroup is the number of runs that a group holds before these are compared.
	maxGroup = 32
	// noiseDecay is the decay of the fleet's statistics at each compared group. They cover
	// some 500 groups.
	noiseDecay = 0.998
	// minRuns is the least number of runs from which a worker is fast or slow.
	minRuns = 6
	// enterBy and leaveBy are the least distances from the fleet's median, as logarithms, with
	// which a worker becomes fast or slow and stays so: some 10 and 7%.
	enterBy, leaveBy = 0.1, 0.07
	// enterErrors and leaveErrors are the same distances in standard errors.
	enterErrors, leaveErrors = 3, 2
	// openErrors and closeErrors are the evidence in standard errors with which the factors of the
	// fleet begin and cease to count. Chance exceeds 6 once in a billion independent trials.
	openErrors, closeErrors = 6, 3
	// maxAge is the time after which what is known of a worker without new runs is dropped.
	// Otherwise a slow worker that nothing starts on any more would stay slow for good.
	maxAge = time.Minute
)

// Profiler holds what is known of the fleet as a whole.
type Profiler struct {
	evidence float64 // sum over groups of how far the factors have predicted the differences within them; 0 on average with equal workers
	variance float64 // variance of evidence with equal workers
	noise    float64 // weighted sum of the squared deviations of runs from their worker's factor
	weight   float64 // of noise
	open     bool    // the factors of the fleet differ significantly
	factors  []float64
}

// New returns a Profiler that knows nothing.
func New() *Profiler { return &Profiler{} }

// Group holds the finished runs of a step that were not compared yet.
type Group struct{ runs []finishedRun }

// finishedRun is a run that has ended.
type finishedRun struct {
	worker *Worker
	time   float64 // natural logarithm of its run time in seconds
}

// Observe adds a finished run to its group. The caller calls Compare once all runs of
// the group have ended. Runs without a time don't count.
func (p *Profiler) Observe(g *Group, w *Worker, runTime, now time.Duration) {
	if runTime <= 0 {
		return
	}
	g.runs = append(g.runs, finishedRun{w, math.Log(runTime.Seconds())})
	if len(g.runs) == maxGroup {
		p.Compare(g, now)
	}
}

// Compare compares the runs of a group and empties the group. A single run says nothing.
func (p *Profiler) Compare(g *Group, now time.Duration) {
	runs := g.runs
	g.runs = nil
	if len(runs) < 2 {
		return
	}
	residuals := make([]float64, len(runs))
	others := float64(len(runs) - 1)
	evidence := 0.0
	for i, a := range runs {
		difference, predicted := 0.0, 0.0
		for j, b := range runs {
			if i == j {
				continue
			}
			difference += clamp(a.time - b.time)
			predicted += a.worker.mean - b.worker.mean
			residuals[i] += clamp(a.time-b.time+b.worker.mean) / others
		}
		evidence += difference * predicted / others / others
	}
	p.evidence = noiseDecay*p.evidence + evidence
	p.variance = noiseDecay*p.variance + evidence*evidence
	weight := others / float64(len(runs))
	p.noise, p.weight = noiseDecay*p.noise, noiseDecay*p.weight
	for i, run := range runs {
		if run.worker.runs >= minRuns {
			deviation := residuals[i] - run.worker.mean
			p.noise += weight * deviation * deviation
			p.weight++
		}
	}
	deviation := p.deviation()
	for i, run := range runs {
		run.worker.observe(residuals[i], weight, deviation, now)
	}
}

// clamp limits a difference of logarithms.
func clamp(difference float64) float64 { return max(-maxDifference, min(difference, maxDifference)) }

// deviation returns the standard deviation of a run of weight 1 from its worker's factor.
func (p *Profiler) deviation() float64 {
	if p.weight == 0 {
		return maxDifference
	}
	return math.Sqrt(p.noise / p.weight)
}

// IsOpen reports whether the factors of the fleet differ significantly.
func (p *Profiler) IsOpen() bool { return p.open }

// Classify sets the classes and factors of the workers of a fleet, as of now.
func (p *Profiler) Classify(workers iter.Seq[*Worker], now time.Duration) {
	threshold := float64(openErrors)
	if p.open {
		threshold = closeErrors
	}
	p.open = p.evidence > threshold*math.Sqrt(p.variance)
	p.factors = p.factors[:0]
	for w := range workers {
		if w.runs > 0 && now-w.observedAt > maxAge {
			*w = Worker{}
		}
		if w.runs >= minRuns {
			p.factors = append(p.factors, w.mean)
		}
	}
	median := medianOf(p.factors)
	for w := range workers {
		w.classify(p.open, median, p.deviation())
	}
}

// medianOf returns the median, 0 of nothing. It sorts the values.
func medianOf(values []float64) float64 {
	n := len(values)
	if n == 0 {
		return 0
	}
	slices.Sort(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
