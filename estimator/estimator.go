package estimator

import (
	"errors"
	"fmt"
	"time"
)

// ErrBadOption means that the value of an option is out of range.
var ErrBadOption = errors.New("bad option")

// key identifies a job name of a team.
type key struct{ team, name string }

// Estimator estimates run times and memory from earlier tasks of the same team and
// job name. It keeps a limited number of names and evicts the least recently
// observed name. It isn't safe for concurrent use.
type Estimator struct {
	settings settings
	rng      rng
	entries  *recent[key, *entry]
	ratios   map[string]*rollingSketch // by team: actual run time divided by declared run time
}

// entry holds the observations of one name of a team.
type entry struct {
	runTimes *rollingSketch // seconds
	memory   *rollingSketch // peak of a run in MiB
}

type settings struct {
	maxNames    int     // names kept
	compression float64 // of each sketch; a higher value is more accurate and takes more memory
	window      int     // runs in a window; older runs lose weight as the next window fills
	minRuns     int     // fewest runs from which an estimate is made
}

// Option configures an Estimator.
type Option func(*settings)

// WithMaxNames sets how many names are kept, at least 1.
func WithMaxNames(n int) Option { return func(s *settings) { s.maxNames = n } }

// WithWindow sets the number of runs, at least 1, after which older runs begin to
// lose weight.
func WithWindow(runs int) Option { return func(s *settings) { s.window = runs } }

// WithMinRuns sets the fewest runs, at least 1, from which an estimate is made.
func WithMinRuns(runs int) Option { return func(s *settings) { s.minRuns = runs } }

// New returns an Estimator without observations. It returns ErrBadOption if an
// option is out of range.
func New(options ...Option) (*Estimator, error) {
	s := settings{maxNames: 1024, compression: 10, window: 64, minRuns: 3}
	for _, option := range options {
		option(&s)
	}
	if s.maxNames < 1 || s.window < 1 || s.minRuns < 1 {
		return nil, fmt.Errorf("%w: max names, window and min runs must be at least 1", ErrBadOption)
	}
	return &Estimator{settings: s, rng: newRNG(), entries: newRecent[key, *entry](s.maxNames), ratios: map[string]*rollingSketch{}}, nil
}

// ObserveRunTime records the actual run time of a task and the declared one, 0 if
// none was declared.
func (e *Estimator) ObserveRunTime(team, name string, actual, declared time.Duration) error {
	if err := e.entryFor(key{team, name}).runTimes.add(actual.Seconds()); err != nil {
		return fmt.Errorf("run time of %s/%s: %w", team, name, err)
	}
	if declared <= 0 {
		return nil
	}
	ratio := e.ratios[team]
	if ratio == nil {
		ratio = newRollingSketch(e.settings, e.rng)
		e.ratios[team] = ratio
	}
	if err := ratio.add(actual.Seconds() / declared.Seconds()); err != nil {
		return fmt.Errorf("run time ratio of %s: %w", team, err)
	}
	return nil
}

// ObserveMemory records the peak memory of a task in MiB.
func (e *Estimator) ObserveMemory(team, name string, peak int64) error {
	if err := e.entryFor(key{team, name}).memory.add(float64(peak)); err != nil {
		return fmt.Errorf("memory of %s/%s: %w", team, name, err)
	}
	return nil
}

// RunTime returns the quantile, from 0 to 1, of the run time of a task. With too few
// runs of the name it returns the declared run time multiplied by the same quantile
// of the team's ratios of actual to declared run times. With too few ratios as well,
// it returns the declared run time, which is 0 if none was declared.
func (e *Estimator) RunTime(team, name string, quantile float64, declared time.Duration) time.Duration {
	if found, known := e.entries.get(key{team, name}); known && found.runTimes.count() >= e.settings.minRuns {
		return secondsToDuration(found.runTimes.quantile(quantile))
	}
	ratio := e.ratios[team]
	if ratio == nil || ratio.count() < e.settings.minRuns {
		return declared
	}
	return time.Duration(float64(declared) * ratio.quantile(quantile))
}

// Memory returns the quantile, from 0 to 1, of the peak memory of a task in MiB, or
// 0 with too few runs of the name.
func (e *Estimator) Memory(team, name string, quantile float64) int64 {
	found, known := e.entries.get(key{team, name})
	if !known || found.memory.count() < e.settings.minRuns {
		return 0
	}
	return int64(found.memory.quantile(quantile))
}

// NameCount returns the number of names kept.
func (e *Estimator) NameCount() int { return e.entries.len() }

// entryFor returns the entry of a name and marks it as the most recently observed.
func (e *Estimator) entryFor(k key) *entry {
	return e.entries.at(k, func() *entry {
		return &entry{runTimes: newRollingSketch(e.settings, e.rng), memory: newRollingSketch(e.settings, e.rng)}
	})
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
