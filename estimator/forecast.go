package estimator

import (
	"math"
	"sort"
	"time"
)

// Forecast is the expected run time of a task and its distribution.
type Forecast struct {
	typical float64 // seconds
	spread  float64 // standard deviation of the logarithm
	life    *life
	known   bool
}

// Known reports whether runs of the queue, or of the step, were observed. Otherwise the
// forecast is the declared run time.
func (f Forecast) Known() bool { return f.known }

// Typical returns the geometric mean of the run time. Few tasks that take far longer than
// others barely change it.
func (f Forecast) Typical() time.Duration { return secondsToDuration(f.typical) }

// Mean returns the mean run time, which includes those that take far longer.
func (f Forecast) Mean() time.Duration {
	if !f.known {
		return f.Typical()
	}
	return secondsToDuration(f.typical * f.life.left(0))
}

// Spread returns the standard deviation of the natural logarithm of the run time.
func (f Forecast) Spread() float64 { return f.spread }

// Remaining returns how long a task of that age is expected to go on. One that has run for
// longer than expected is expected to run longer still.
func (f Forecast) Remaining(age time.Duration) time.Duration {
	if f.typical <= 0 {
		return 0
	}
	return secondsToDuration(f.typical * f.life.left(max(0, age.Seconds())/f.typical))
}

const (
	// tailWeight is the weight of the assumed tail beside all observed runs. A few runs show
	// no tail, and a task that has run for longer than all of them goes on nonetheless.
	tailWeight = 0.005
	// maxLeft bounds the expected remaining time as a multiple of the typical run time.
	maxLeft = 10.0
)

// tail holds the run times of the assumed tail as multiples of the typical run time. Each is half as
// frequent as the one before.
var tail = []float64{1.5, 2, 4, 8}

// life tells the mean residual life of tasks by their age, both as multiples of the typical run time.
type life struct {
	values  []float64 // run times, sorted
	weights []float64 // weights of the value and all higher ones
	sums    []float64 // sums of the value and all higher ones, each times its weight
}

// defaultLife is the life of tasks of which nothing is known: the declared run time and a
// tail.
var defaultLife = newLife([]centroid{{0, 1}})

// newLife returns the life of tasks with these sorted errors, the logarithms of actual
// divided by expected run times.
func newLife(errors []centroid) *life {
	n := len(errors) + len(tail)
	l := &life{values: make([]float64, 0, n), weights: make([]float64, n), sums: make([]float64, n)}
	weights := make([]float64, 0, n)
	rest := tail
	weight := tailWeight * math.Exp2(float64(len(tail)-1)) / (math.Exp2(float64(len(tail))) - 1)
	addTail := func(below float64) {
		for ; len(rest) > 0 && rest[0] < below; rest = rest[1:] {
			l.values, weights = append(l.values, rest[0]), append(weights, weight)
			weight /= 2
		}
	}
	for _, e := range errors {
		value := math.Exp(e.value)
		addTail(value)
		l.values, weights = append(l.values, value), append(weights, e.weight)
	}
	addTail(math.Inf(1))
	var sum, total float64
	for i := n - 1; i >= 0; i-- {
		total += weights[i]
		sum += weights[i] * l.values[i]
		l.weights[i], l.sums[i] = total, sum
	}
	return l
}

// left returns the mean residual life at that age.
func (l *life) left(age float64) float64 {
	i := sort.Search(len(l.values), func(i int) bool { return l.values[i] > age })
	if i == len(l.values) {
		return min(age/2, maxLeft)
	}
	return min(l.sums[i]/l.weights[i]-age, maxLeft)
}

// refreshLife computes the lives anew when the weight of all runs has grown by a sixteenth,
// or by a sixteenth of learnWindow.
func (q *queueRunTimes) refreshLife() {
	if q.weight < q.lifeWeight+min(q.lifeWeight, learnWindow)/16 {
		return
	}
	q.lifeWeight = q.weight
	q.computeLives()
}

func (q *queueRunTimes) computeLives() {
	if errors := q.errors.centroids(); errors != nil {
		q.life = newLife(errors)
	}
	if errors := q.siblingErrors.centroids(); errors != nil {
		q.siblingLife = newLife(errors)
	}
}
