package measurer

import (
	"errors"
	"fmt"
)

// ErrUnknownLoad means that a name is no workload.
var ErrUnknownLoad = errors.New("unknown workload")

type settings struct {
	seed   uint64
	loads  []string
	checks bool
}

// Option changes what Run measures.
type Option func(*settings)

// WithSeed sets the seed of the workloads.
func WithSeed(seed uint64) Option { return func(s *settings) { s.seed = seed } }

// WithLoads sets the workloads by name; see Loads.
func WithLoads(names ...string) Option { return func(s *settings) { s.loads = names } }

// WithChecks says whether the targets are measured as well.
func WithChecks(on bool) Option { return func(s *settings) { s.checks = on } }

// Loads returns the names of the workloads.
func Loads() []string { return []string{"essiccatoi", "lychnos", "twoyear"} }

// Run drives the decisions through workloads in virtual time and returns what
// was measured. Equal seeds give equal reports but for the time of decisions.
// Errors: ErrUnknownLoad.
func Run(options ...Option) (Report, error) {
	s := settings{seed: 1, loads: Loads(), checks: true}
	for _, option := range options {
		option(&s)
	}
	report := Report{Seed: s.seed}
	for _, name := range s.loads {
		measured, err := runLoad(name, s.seed)
		if err != nil {
			return Report{}, err
		}
		report.Loads = append(report.Loads, measured)
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
	measured := Load{Name: name, Workers: len(l.workers), Jobs: len(l.works)}
	own, _, err := ours(l, seed)
	if err != nil {
		return Load{}, err
	}
	measured.Policies = append(measured.Policies, newEngine(l.fresh(), own).run().summary(own.name))
	for _, baseline := range []func(*load) *policy{fifo, oracle} {
		again := l.fresh()
		p := baseline(again)
		measured.Policies = append(measured.Policies, newEngine(again, p).run().summary(p.name))
	}
	return measured, nil
}
