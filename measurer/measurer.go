package measurer

import (
	"errors"
	"fmt"
)

// ErrUnknownLoad means that no workload has the given name.
var ErrUnknownLoad = errors.New("unknown workload")

type settings struct {
	seed   uint64
	loads  []string
	checks bool
}

// Option configures Run.
type Option func(*settings)

// WithSeed sets the seed of the workloads.
func WithSeed(seed uint64) Option { return func(s *settings) { s.seed = seed } }

// WithLoads sets the workloads by name; see Loads.
func WithLoads(names ...string) Option { return func(s *settings) { s.loads = names } }

// WithChecks sets whether Run also checks the targets and compares the methods that choose
// the number of VMs. It does by default.
func WithChecks(on bool) Option { return func(s *settings) { s.checks = on } }

// Loads returns the names of the workloads.
func Loads() []string { return []string{"essiccatoi", "lychnos", "twoyear"} }

// Run runs workloads in virtual time through the placer and two baselines and returns the
// measurements. Equal seeds give equal reports, except for the time of decisions.
// Errors: ErrUnknownLoad.
func Run(options ...Option) (Report, error) {
	s := settings{seed: 1, loads: Loads(), checks: true}
	for _, option := range options {
		option(&s)
	}
	report := Report{Seed: s.seed}
	for _, name := range s.loads {
		result, err := runLoad(name, s.seed)
		if err != nil {
			return Report{}, err
		}
		report.Loads = append(report.Loads, result)
	}
	if !s.checks {
		return report, nil
	}
	checks, err := runChecks(s.seed, report.Loads)
	if err != nil {
		return Report{}, err
	}
	report.Checks = checks
	report.Nights, err = runNights(s.seed)
	return report, err
}

func makeLoad(name string, seed uint64) (*load, error) {
	switch name {
	case "essiccatoi":
		return essiccatoi(seed), nil
	case "lychnos":
		return lychnos(seed), nil
	case "twoyear":
		return twoyear(seed), nil
	}
	return nil, fmt.Errorf("%w: %q", ErrUnknownLoad, name)
}

func runLoad(name string, seed uint64) (Load, error) {
	l, err := makeLoad(name, seed)
	if err != nil {
		return Load{}, err
	}
	result := Load{Name: name, Workers: len(l.workers), Jobs: len(l.jobs)}
	p, _, err := placerPolicy(l, seed)
	if err != nil {
		return Load{}, err
	}
	result.Policies = append(result.Policies, newEngine(l.freshCopy(), p).run().summary(p.name))
	for _, baseline := range []func(*load) *policy{fifo, oracle} {
		fresh := l.freshCopy()
		p := baseline(fresh)
		result.Policies = append(result.Policies, newEngine(fresh, p).run().summary(p.name))
	}
	return result, nil
}
