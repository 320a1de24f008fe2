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

// errTooLate means that a job was refused since it would miss its deadline.
var errTooLate = errors.New("the deadline can't be met")

// atOnce is the most decisions taken for one event.
const atOnce = 1 << 20

// ours returns the placer with the estimator as a policy.
func ours(l *load, seed uint64) (*policy, *placer.Placer, error) {
	p, decisions, _, err := learning(l, seed)
	return p, decisions, err
}

// learning is ours with the estimator that it learns by.
func learning(l *load, seed uint64) (*policy, *placer.Placer, *estimator.Estimator, error) {
	learned, err := estimator.New()
	if err != nil {
		return nil, nil, nil, fmt.Errorf("estimator: %w", err)
	}
	p, err := placer.New(
		placer.WithSeed(seed),
		placer.WithRunTime(func(s placer.JobSpec) time.Duration {
			return learned.RunTime(s.Team(), s.Name(), 0.9, s.Estimate())
		}),
		placer.WithLearnedRunTime(func(s placer.JobSpec) time.Duration {
			return learned.RunTime(s.Team(), s.Name(), 0.9, 0)
		}),
		placer.WithRunTimeQuantile(func(s placer.JobSpec, quantile float64) time.Duration {
			return learned.RunTime(s.Team(), s.Name(), quantile, s.Estimate())
		}),
		placer.WithOnSuccess(func(s placer.JobSpec, took time.Duration) {
			_ = learned.ObserveRunTime(s.Team(), s.Name(), took, s.Estimate()) // fails for numbers that no time gives
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
	return asPolicy(p), p, learned, nil
}

func asPolicy(p *placer.Placer) *policy {
	return &policy{
		name: "placer",
		submit: func(w *work, now time.Time) error {
			if !p.Forecast(w.spec, now).MeetsDeadline() {
				return errTooLate
			}
			return p.Submit(w.spec)
		},
		finish: func(id placer.TaskID, outcome placer.Outcome, now time.Time) bool {
			s, err := p.Finish(id, outcome, now)
			return err == nil && s.Requeued()
		},
		decide: func(now time.Time) []order {
			decisions := p.Decide(now, atOnce)
			orders := make([]order, 0, len(decisions))
			for _, d := range decisions {
				orders = append(orders, order{d.Kind(), d.Task(), d.Worker()})
			}
			return orders
		},
	}
}

// baseline is first fit over a list of tasks that is kept in order. With FIFO
// it is what the placer is compared with; with the least slack against the true
// run times it is the oracle.
type baseline struct {
	free   []placer.Resources
	names  []string
	queue  []entry
	on     map[placer.TaskID]int // worker of a running task
	works  map[string]*work
	before func(a, b entry) int // nil keeps the order of arrival
	strict bool                 // nothing passes a task that finds no room
	dirty  bool                 // room or tasks were added since the last pass
}

type entry struct {
	work  *work
	index int
}

func newBaseline(l *load) *baseline {
	b := &baseline{on: map[placer.TaskID]int{}, works: map[string]*work{}}
	for _, w := range l.workers {
		b.free = append(b.free, w.Total())
		b.names = append(b.names, w.ID())
	}
	return b
}

// fifo returns first fit in the order of arrival.
func fifo(l *load) *policy {
	b := newBaseline(l)
	b.strict = true
	return b.policy("fifo")
}

// oracle returns first fit by least slack, with the true run times known. Work
// without a deadline comes last, services and urgent work first.
func oracle(l *load) *policy {
	b := newBaseline(l)
	b.before = func(x, y entry) int { return cmp.Compare(x.work.latest, y.work.latest) }
	for _, w := range l.works {
		w.latest = latest(w)
	}
	return b.policy("oracle")
}

// latest returns the latest start that meets the deadline.
func latest(w *work) time.Duration {
	switch {
	case w.spec.Class() <= placer.Service:
		return 0
	case w.deadline() == 0:
		return 1 << 62
	}
	return w.deadline() - w.truth
}

func (b *baseline) policy(name string) *policy {
	return &policy{name: name, submit: b.submit, finish: b.finish, decide: b.decide}
}

func (b *baseline) submit(w *work, _ time.Time) error {
	b.works[w.spec.ID()] = w
	for i := range w.spec.Tasks() {
		b.insert(entry{w, i})
	}
	return nil
}

func (b *baseline) finish(id placer.TaskID, outcome placer.Outcome, _ time.Time) bool {
	w := b.works[id.Job()]
	at := b.on[id]
	delete(b.on, id)
	b.free[at] = b.free[at].Add(w.spec.Size())
	b.dirty = true
	if outcome == placer.Succeeded {
		return false
	}
	b.insert(entry{w, id.Index()})
	return true
}

func (b *baseline) insert(e entry) {
	at := len(b.queue)
	if b.before != nil {
		at = sort.Search(len(b.queue), func(i int) bool { return b.before(b.queue[i], e) > 0 })
	}
	b.queue = slices.Insert(b.queue, at, e)
	b.dirty = true
}

func (b *baseline) decide(_ time.Time) []order {
	if !b.dirty {
		return nil
	}
	b.dirty = false
	var orders []order
	var failed []placer.Resources
	kept := b.queue[:0]
	for i, e := range b.queue {
		at := -1
		if !hopeless(failed, e.work.spec.Size()) {
			at = b.place(e)
		}
		if at >= 0 {
			orders = append(orders, order{placer.Start, placer.NewTaskID(e.work.spec.ID(), e.index), b.names[at]})
			continue
		}
		if b.strict {
			kept = append(kept, b.queue[i:]...)
			break
		}
		if at < 0 && !hopeless(failed, e.work.spec.Size()) {
			failed = append(slices.DeleteFunc(failed, e.work.spec.Size().Fits), e.work.spec.Size())
		}
		kept = append(kept, e)
	}
	b.queue = kept
	return orders
}

func hopeless(failed []placer.Resources, size placer.Resources) bool {
	for _, f := range failed {
		if f.Fits(size) {
			return true
		}
	}
	return false
}

// place takes the first worker with room and returns its number, or -1.
func (b *baseline) place(e entry) int {
	size := e.work.spec.Size()
	for i, free := range b.free {
		if size.Fits(free) {
			b.free[i] = free.Sub(size)
			b.on[placer.NewTaskID(e.work.spec.ID(), e.index)] = i
			return i
		}
	}
	return -1
}
