package estimator

import (
	"math"
	"time"
)

const (
	// maxLearnedQueues and maxLearnedTeams limit the queues, and the pairs of a queue and a
	// team, of which something is known. They limit the size of the encoded state, too.
	maxLearnedQueues = 32
	maxLearnedTeams  = 256
	// learnWindow is the weight of the runs, one for all tasks of a step together, after
	// which older runs have lost most of theirs. The mean of runs whose logarithms spread by
	// 0.9 is known to 6% with this weight.
	learnWindow = 256.0
	// minLearnWeight is the weight of the runs from which a queue is known.
	minLearnWeight = 3.0
	// priorWeight is the weight of a declaration that is true, from which each queue starts.
	priorWeight = 2.0
	// slopePrior is the sum of squares that the declared run times of a queue with a slope
	// of 1 seem to have beside the observed ones. It keeps the slope at 1 for a queue that
	// always declares nearly the same.
	slopePrior = 1.0
	// teamPrior is the weight of the runs of a team from which its own bias counts as much
	// as none.
	teamPrior = 10.0
	// maxLogRatio bounds the logarithm of an actual run time divided by the declared or
	// expected one: a factor of 50.
	maxLogRatio = 3.9
	// minRunTime and maxRunTime bound run times.
	minRunTime = time.Millisecond
	maxRunTime = 1000 * time.Hour
	// weightUnit is the weight of a step in the sketches, in which weights are integers. A
	// task of a step with more tasks than this weighs a little too much.
	weightUnit = 128
	// maxPriorTasks bounds the weight of the declaration beside finished tasks of the same
	// step. It leaves a step that differs from all others a way to be noticed.
	maxPriorTasks = 8
	// priorVariance is the assumed variance of the logarithms of the error of a forecast,
	// and of the run times within a step, before any was observed.
	priorVariance = 0.25
)

// RunTimes learns the actual run time of tasks as a function of the declared one, for each
// queue and team, from finished runs. The function is a regression of the logarithms, so
// that a declaration that carries little information shrinks towards the usual run time of
// the queue. A team adds a constant bias. Old runs lose their weight. Within a step, its own
// finished tasks count for more than the declaration, by how much the tasks of a step and the
// forecasts of the queue have spread. It isn't safe for concurrent use.
type RunTimes struct {
	settings settings
	rng      rng
	queues   *recent[string, *queueRunTimes]
	teams    *recent[key, *mean] // by team and queue: logarithm of the actual run time divided by that expected of the queue
}

// queueRunTimes is what is known of a queue. X and y are the logarithms of declared and
// actual run times in seconds.
type queueRunTimes struct {
	weight           float64 // sum of the weights of all runs, without decay
	sum              float64 // sum of the decayed weights
	x, y             float64 // weighted means
	xx, xy           float64 // weighted sums of products around the means
	variance         mean    // of the errors of the forecasts by declared run times
	siblingVariance  mean    // of the errors of the forecasts by finished tasks of the same step
	absolute         mean    // absolute error of the logarithms of the forecasts as they were given
	absoluteDeclared mean    // absolute error of the logarithms of the declared run times
	errors           *rollingSketch
	siblingErrors    *rollingSketch
	life             *life // of errors when lifeWeight had been added
	siblingLife      *life // of siblingErrors at the same time; nil while that is empty
	lifeWeight       float64
}

// mean is a decaying weighted mean.
type mean struct{ sum, value float64 }

func (m *mean) add(value, weight float64) {
	m.sum = m.sum*decay(weight) + weight
	m.value += weight / m.sum * (value - m.value)
}

// valueWithPrior returns the mean with a prior value of that weight.
func (m *mean) valueWithPrior(prior, weight float64) float64 {
	return (m.sum*m.value + weight*prior) / (m.sum + weight)
}

// decay returns the factor by which older weights shrink when a weight is added.
func decay(weight float64) float64 { return math.Exp(-weight / learnWindow) }

// NewRunTimes returns RunTimes that know nothing.
func NewRunTimes() *RunTimes {
	return &RunTimes{
		settings: settings{compression: 10, window: learnWindow * weightUnit}, rng: newRNG(),
		queues: newRecent[string, *queueRunTimes](maxLearnedQueues), teams: newRecent[key, *mean](maxLearnedTeams),
	}
}

// Siblings are the finished tasks of a step. The zero value is a step of one task.
type Siblings struct {
	tasks    int // of the step; 0 counts as 1
	finished int // tasks with a known run time
	logSum   float64
}

// NewSiblings returns the finished tasks of a step, which have the geometric mean run time,
// 0 if there are none. A gang has one task, since its members end together.
func NewSiblings(tasks, finished int, mean time.Duration) Siblings {
	s := Siblings{tasks: tasks, finished: finished}
	if finished > 0 {
		s.logSum = float64(finished) * logSeconds(mean)
	}
	return s
}

// Finished returns the number of finished tasks.
func (s Siblings) Finished() int { return s.finished }

// Mean returns the geometric mean of their run times, 0 if there are none.
func (s Siblings) Mean() time.Duration {
	if s.finished == 0 {
		return 0
	}
	return secondsToDuration(math.Exp(s.logSum / float64(s.finished)))
}

// weight returns the weight of one of the tasks. All tasks of a step weigh 1 together,
// since they are declared together: one wide step must not outweigh a hundred narrow ones.
func (s Siblings) weight() float64 { return 1 / float64(max(1, s.tasks)) }

// Observe learns from a finished task with the declared and the actual run time, and adds it
// to the finished tasks of its step. It ignores a task without a declared run time.
func (r *RunTimes) Observe(queue, team string, declared, actual time.Duration, step *Siblings) error {
	if declared <= 0 {
		return nil
	}
	before := r.Expect(queue, team, declared, *step)
	x, weight := logSeconds(declared), step.weight()
	y := x + clampLog(logSeconds(actual)-x)
	q := r.queueFor(queue, x)
	if q.isKnown() {
		units := uint64(max(1, math.Round(weight*weightUnit)))
		residual := clampLog(y - q.expect(x) - r.teamBias(queue, team))
		if err := q.errors.addWeighted(residual, units); err != nil {
			return err
		}
		q.variance.add(residual*residual, weight)
		if step.finished > 0 {
			residual = clampLog(y - math.Log(before.typical))
			if err := q.siblingErrors.addWeighted(residual, units); err != nil {
				return err
			}
			q.siblingVariance.add(residual*residual, weight)
		}
		r.teamFor(queue, team).add(y-q.expect(x), weight)
		q.absolute.add(math.Abs(y-math.Log(before.typical)), weight)
		q.absoluteDeclared.add(math.Abs(y-x), weight)
	}
	q.add(x, y, weight)
	q.refreshLife()
	step.finished++
	step.logSum += y
	return nil
}

// Expect returns the forecast for a task of a step with the declared run time. For a queue
// that is not known, that is the declared run time.
func (r *RunTimes) Expect(queue, team string, declared time.Duration, step Siblings) Forecast {
	x := logSeconds(declared)
	f := Forecast{typical: min(declared, maxRunTime).Seconds(), spread: math.Sqrt(priorVariance), life: defaultLife}
	center, prior := x, 1.0 // prior: finished tasks that weigh as much as the forecast by the declaration
	q, found := r.queues.get(queue)
	if found && q.isKnown() {
		variance := q.variance.valueWithPrior(priorVariance, 1)
		center = x + clampLog(q.expect(x)+r.teamBias(queue, team)-x)
		f.known, f.spread, f.life = true, math.Sqrt(variance), q.life
		prior = q.priorTasks(variance)
		f.typical = math.Exp(center)
	}
	if step.finished > 0 {
		n := float64(step.finished)
		f.typical = math.Exp((prior*center + step.logSum) / (prior + n))
		f.known = true
		if found && q.siblingLife != nil {
			f.spread, f.life = math.Sqrt(q.siblingVariance.valueWithPrior(priorVariance, 1)), q.siblingLife
		}
	}
	return f
}

// priorTasks returns the number of finished tasks of a step that say as much about another one
// as the declaration does: the variance within steps divided by that between steps and
// their forecasts.
func (q *queueRunTimes) priorTasks(variance float64) float64 {
	within := q.siblingVariance.valueWithPrior(priorVariance, 1)
	return min(within/max(variance-within, within/maxPriorTasks), maxPriorTasks)
}

// queueFor returns a queue, and creates it with a declaration that was true.
func (r *RunTimes) queueFor(queue string, x float64) *queueRunTimes {
	return r.queues.at(queue, func() *queueRunTimes {
		return &queueRunTimes{
			sum: priorWeight, x: x, y: x, life: defaultLife,
			errors: newRollingSketch(r.settings, r.rng), siblingErrors: newRollingSketch(r.settings, r.rng),
		}
	})
}

func (r *RunTimes) teamFor(queue, team string) *mean {
	return r.teams.at(key{team, queue}, func() *mean { return &mean{} })
}

// teamBias returns the logarithm of the factor by which the run times of a team differ from
// those that its declarations let expect in the queue.
func (r *RunTimes) teamBias(queue, team string) float64 {
	if m, found := r.teams.get(key{team, queue}); found {
		return m.valueWithPrior(0, teamPrior)
	}
	return 0
}

func (q *queueRunTimes) isKnown() bool { return q.weight >= minLearnWeight }

// slope returns by how much the expected logarithm rises with that of the declared run time:
// 1 if the declarations are right but for a factor, 0 if they carry no information.
func (q *queueRunTimes) slope() float64 {
	return min(max((q.xy+slopePrior)/(q.xx+slopePrior), 0), 1.5)
}

// expect returns the expected logarithm of the run time, whatever the team.
func (q *queueRunTimes) expect(x float64) float64 { return q.y + q.slope()*(x-q.x) }

// add adds a run to the regression.
func (q *queueRunTimes) add(x, y, weight float64) {
	factor := decay(weight)
	q.weight += weight
	q.sum = q.sum*factor + weight
	dx, dy := x-q.x, y-q.y
	q.x += weight / q.sum * dx
	q.y += weight / q.sum * dy
	q.xx = q.xx*factor + weight*dx*(x-q.x)
	q.xy = q.xy*factor + weight*dx*(y-q.y)
}

// logSeconds returns the logarithm of a run time in seconds, within the bounds of run times.
func logSeconds(d time.Duration) float64 {
	return math.Log(min(max(d, minRunTime), maxRunTime).Seconds())
}

func clampLog(ratio float64) float64 { return min(max(ratio, -maxLogRatio), maxLogRatio) }
