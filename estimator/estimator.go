package estimator

import (
	"container/list"
	"errors"
	"fmt"
	"time"
)

// ErrBadOption means that an option has a value out of range.
var ErrBadOption = errors.New("bad option")

// key names work that is run again and again.
type key struct{ team, name string }

// Estimator keeps what tasks took, by team and job name. It holds at most a
// set number of names and forgets the one that was used longest ago. It isn't
// safe for several goroutines at once.
type Estimator struct {
	settings settings
	source   source
	entries  map[key]*list.Element // of *entry
	recent   *list.List            // most recently used first
	ratios   map[string]*fading    // by team: taken over declared run time
}

// entry is what is known of one name.
type entry struct {
	key      key
	runTimes *fading // seconds
	memory   *fading // MiB at the peak of a run
}

type settings struct {
	names       int     // most names kept
	compression float64 // of each sketch; more is finer and larger
	generation  int     // runs after which older ones begin to be forgotten
	least       int     // runs of a name before they count more than what is declared
}

// Option changes an estimator under construction.
type Option func(*settings)

// WithMaxNames sets how many names are kept.
func WithMaxNames(n int) Option { return func(s *settings) { s.names = n } }

// WithWindow sets the number of runs after which older ones begin to be
// forgotten.
func WithWindow(runs int) Option { return func(s *settings) { s.generation = runs } }

// WithMinRuns sets the number of runs of a name before they count.
func WithMinRuns(runs int) Option { return func(s *settings) { s.least = runs } }

// New returns an estimator that knows nothing, or ErrBadOption.
func New(options ...Option) (*Estimator, error) {
	s := settings{names: 1024, compression: 10, generation: 64, least: 3}
	for _, option := range options {
		option(&s)
	}
	if s.names < 1 || s.generation < 1 || s.least < 1 {
		return nil, fmt.Errorf("%w: names, generation and least must be at least 1", ErrBadOption)
	}
	return &Estimator{settings: s, source: newSource(), entries: map[key]*list.Element{}, recent: list.New(), ratios: map[string]*fading{}}, nil
}

// ObserveRunTime notes what a task took; declared is 0 when nothing was.
func (e *Estimator) ObserveRunTime(team, name string, took, declared time.Duration) error {
	if err := e.entry(key{team, name}).runTimes.add(took.Seconds()); err != nil {
		return fmt.Errorf("run time of %s/%s: %w", team, name, err)
	}
	if declared <= 0 {
		return nil
	}
	r := e.ratios[team]
	if r == nil {
		r = newFading(e.settings, e.source)
		e.ratios[team] = r
	}
	if err := r.add(took.Seconds() / declared.Seconds()); err != nil {
		return fmt.Errorf("run times of %s: %w", team, err)
	}
	return nil
}

// ObserveMemory notes the peak of a task's memory in MiB.
func (e *Estimator) ObserveMemory(team, name string, peak int64) error {
	if err := e.entry(key{team, name}).memory.add(float64(peak)); err != nil {
		return fmt.Errorf("memory of %s/%s: %w", team, name, err)
	}
	return nil
}

// RunTime returns the quantile, from 0 to 1, of the run time of a task. With too
// few runs of the name it returns the declared time, corrected by how far the
// team is off; 0 when nothing is known.
func (e *Estimator) RunTime(team, name string, quantile float64, declared time.Duration) time.Duration {
	if known := e.known(key{team, name}); known != nil && known.runTimes.count() >= e.settings.least {
		return seconds(known.runTimes.quantile(quantile))
	}
	r := e.ratios[team]
	if r == nil || r.count() < e.settings.least {
		return declared
	}
	return time.Duration(float64(declared) * r.quantile(quantile))
}

// Memory returns the quantile of the peak memory of a task in MiB, 0 with too
// few runs.
func (e *Estimator) Memory(team, name string, quantile float64) int64 {
	known := e.known(key{team, name})
	if known == nil || known.memory.count() < e.settings.least {
		return 0
	}
	return int64(known.memory.quantile(quantile))
}

// Names returns how many names are known.
func (e *Estimator) Names() int { return e.recent.Len() }

func (e *Estimator) known(k key) *entry {
	element := e.entries[k]
	if element == nil {
		return nil
	}
	return element.Value.(*entry)
}

// entry returns what is known of a name, as the most recently used.
func (e *Estimator) entry(k key) *entry {
	if element := e.entries[k]; element != nil {
		e.recent.MoveToFront(element)
		return element.Value.(*entry)
	}
	if e.recent.Len() >= e.settings.names {
		oldest := e.recent.Back()
		e.recent.Remove(oldest)
		delete(e.entries, oldest.Value.(*entry).key)
	}
	fresh := &entry{key: k, runTimes: newFading(e.settings, e.source), memory: newFading(e.settings, e.source)}
	e.entries[k] = e.recent.PushFront(fresh)
	return fresh
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
