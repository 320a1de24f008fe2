package measurer

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"sort"
	"time"

	"filberthaven.example/estimator"
	"filberthaven.example/placer"
)

// errDeadline means that a job was refused because it would miss its deadline.
var errDeadline = errors.New("the deadline can't be met")

// maxDecisions is the largest number of decisions of one call of Decide.
const maxDecisions = 1 << 20

// placerPolicy is placerWithEstimator for callers that don't need the estimator.
func placerPolicy(l *load, seed uint64) (*policy, *placer.Placer, error) {
	p, pl, _, err := placerWithEstimator(l, seed)
	return p, pl, err
}

// placerWithEstimator returns a policy, its placer, and the placer's estimator. The placer
// takes run times from the estimator, and the estimator observes each task that succeeds.
func placerWithEstimator(l *load, seed uint64) (*policy, *placer.Placer, *estimator.Estimator, error) {
	runTimes, err := estimator.New()
	if err != nil {
		return nil, nil, nil, fmt.Errorf("estimator: %w", err)
	}
	p, err := placer.New(
		placer.WithSeed(seed),
		placer.WithRunTime(func(s placer.JobSpec) time.Duration {
			return runTimes.RunTime(s.Team(), s.Name(), 0.9, s.Estimate())
		}),
		placer.WithLearnedRunTime(func(s placer.JobSpec) time.Duration {
			return runTimes.RunTime(s.Team(), s.Name(), 0.9, 0)
		}),
		placer.WithRunTimeQuantile(func(s placer.JobSpec, quantile float64) time.Duration {
			return runTimes.RunTime(s.Team(), s.Name(), quantile, s.Estimate())
		}),
		placer.WithOnSuccess(func(s placer.JobSpec, took time.Duration) {
			_ = runTimes.ObserveRunTime(s.Team(), s.Name(), took, s.Estimate()) // fails only for NaN and infinities, which no run time gives
		}),
	)
	if err != nil {
		return nil, nil, nil, fmt.Errorf("placer: %w", err)
	}
	for _, w := range l.workers {
		p.SetWorker(w)
	}
	for i, team := range l.teams {
		if err := p.SetTeam(team, l.weights[i]); err != nil {
			return nil, nil, nil, fmt.Errorf("team %s: %w", team, err)
		}
	}
	return newPlacerPolicy(p), p, runTimes, nil
}

// newPlacerPolicy returns a policy that refuses jobs that would miss their deadline.
func newPlacerPolicy(p *placer.Placer) *policy {
	return &policy{
		name: "placer",
		submit: func(j *job, now time.Time) error {
			if !p.Forecast(j.spec, now).MeetsDeadline() {
				return errDeadline
			}
			return p.Submit(j.spec)
		},
		finish: func(id placer.TaskID, outcome placer.Outcome, now time.Time) bool {
			result, err := p.Finish(id, outcome, now)
			return err == nil && result.Requeued()
		},
		decide: func(now time.Time) []order {
			decisions := p.Decide(now, maxDecisions)
			orders := make([]order, 0, len(decisions))
			for _, d := range decisions {
				orders = append(orders, order{d.Kind(), d.Task(), d.Worker()})
			}
			return orders
		},
	}
}

// baseline is the state of a policy of first fit over a sorted queue. The FIFO policy keeps
// the queue in order of arrival, the oracle in order of least slack by true run times.
type baseline struct {
	free      []placer.Resources // free capacity of each worker
	workerIDs []string           // in the order of free
	queue     []queuedTask
	workerOf  map[placer.TaskID]int // index of the worker of a running task
	jobs      map[string]*job
	compare   func(a, b queuedTask) int // nil keeps the order of arrival
	strict    bool                      // a task that fits on no worker blocks all behind it
	dirty     bool                      // capacity was freed or tasks were queued since the last call of decide
}

type queuedTask struct {
	job   *job
	index int
}

func newBaseline(l *load) *baseline {
	b := &baseline{workerOf: map[placer.TaskID]int{}, jobs: map[string]*job{}}
	for _, w := range l.workers {
		b.free = append(b.free, w.Total())
		b.workerIDs = append(b.workerIDs, w.ID())
	}
	return b
}

// fifo returns first fit in the order of arrival.
func fifo(l *load) *policy {
	b := newBaseline(l)
	b.strict = true
	return b.policy("fifo")
}

// oracle returns first fit in order of least slack, with the true run times known.
// Services and urgent jobs come first, other jobs without a deadline last.
func oracle(l *load) *policy {
	b := newBaseline(l)
	b.compare = func(x, y queuedTask) int { return cmp.Compare(x.job.latestStart, y.job.latestStart) }
	for _, j := range l.jobs {
		j.latestStart = latestStart(j)
	}
	return b.policy("oracle")
}

// latestStart returns the latest start that meets the deadline: 0 for services and urgent
// jobs, so that they come first, and the far future for other jobs without a deadline.
func latestStart(j *job) time.Duration {
	switch {
	case j.spec.Class() <= placer.Service:
		return 0
	case j.deadline() == 0:
		return 1 << 62
	}
	return j.deadline() - j.runTime
}

func (b *baseline) policy(name string) *policy {
	return &policy{name: name, submit: b.submit, finish: b.finish, decide: b.decide}
}

func (b *baseline) submit(j *job, _ time.Time) error {
	b.jobs[j.spec.ID()] = j
	for i := range j.spec.Tasks() {
		b.insert(queuedTask{j, i})
	}
	return nil
}

func (b *baseline) finish(id placer.TaskID, outcome placer.Outcome, _ time.Time) bool {
	j := b.jobs[id.Job()]
	worker := b.workerOf[id]
	delete(b.workerOf, id)
	b.free[worker] = b.free[worker].Add(j.spec.Size())
	b.dirty = true
	if outcome == placer.Succeeded {
		return false
	}
	b.insert(queuedTask{j, id.Index()})
	return true
}

func (b *baseline) insert(task queuedTask) {
	position := len(b.queue)
	if b.compare != nil {
		position = sort.Search(len(b.queue), func(i int) bool { return b.compare(b.queue[i], task) > 0 })
	}
	b.queue = slices.Insert(b.queue, position, task)
	b.dirty = true
}

func (b *baseline) decide(_ time.Time) []order {
	if !b.dirty {
		return nil
	}
	b.dirty = false
	var orders []order
	var unplaced []placer.Resources // the smallest sizes that fitted on no worker in this call
	remaining := b.queue[:0]
	for i, task := range b.queue {
		worker := -1
		if !cannotFit(unplaced, task.job.spec.Size()) {
			worker = b.place(task)
		}
		if worker >= 0 {
			orders = append(orders, order{placer.Start, placer.NewTaskID(task.job.spec.ID(), task.index), b.workerIDs[worker]})
			continue
		}
		if b.strict {
			remaining = append(remaining, b.queue[i:]...)
			break
		}
		if worker < 0 && !cannotFit(unplaced, task.job.spec.Size()) {
			unplaced = append(slices.DeleteFunc(unplaced, task.job.spec.Size().Fits), task.job.spec.Size())
		}
		remaining = append(remaining, task)
	}
	b.queue = remaining
	return orders
}

// cannotFit reports whether the size is at least as large as an unplaced one.
func cannotFit(unplaced []placer.Resources, size placer.Resources) bool {
	for _, tooLarge := range unplaced {
		if tooLarge.Fits(size) {
			return true
		}
	}
	return false
}

// place allocates capacity on the first worker that the task fits on and returns the index
// of the worker, or -1.
func (b *baseline) place(task queuedTask) int {
	size := task.job.spec.Size()
	for i, free := range b.free {
		if size.Fits(free) {
			b.free[i] = free.Sub(size)
			b.workerOf[placer.NewTaskID(task.job.spec.ID(), task.index)] = i
			return i
		}
	}
	return -1
}
