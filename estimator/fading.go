package estimator

import (
	"fmt"
	"math/rand/v2"

	"github.com/caio/go-tdigest/v4"
)

// sketchSeed seeds the sketches, so that equal observations give equal
// estimates.
const sketchSeed = 1

// source is a random source that all sketches of an estimator share.
type source struct{ *rand.Rand }

func newSource() source { return source{rand.New(rand.NewPCG(sketchSeed, sketchSeed))} }

// Intn implements tdigest.RNG.
func (s source) Intn(n int) int { return s.IntN(n) }

// fading is a sketch of values that forgets old ones a generation at a time.
type fading struct {
	settings settings
	source   source
	now      *tdigest.TDigest // nil until the first value
	before   *tdigest.TDigest // the generation before, nil until now was full once
}

func newFading(s settings, from source) *fading { return &fading{settings: s, source: from} }

func (f *fading) add(value float64) error {
	if f.now == nil || int(f.now.Count()) >= f.settings.generation {
		fresh, err := tdigest.New(tdigest.Compression(f.settings.compression), tdigest.RandomNumberGenerator(f.source))
		if err != nil {
			return fmt.Errorf("new sketch: %w", err)
		}
		f.now, f.before = fresh, f.now
	}
	if err := f.now.Add(value); err != nil {
		return fmt.Errorf("add %v: %w", value, err)
	}
	return nil
}

func (f *fading) count() int {
	n := 0
	if f.now != nil {
		n += int(f.now.Count())
	}
	if f.before != nil {
		n += int(f.before.Count())
	}
	return n
}

// quantile weighs both generations by their values; count must be above 0.
func (f *fading) quantile(q float64) float64 {
	value := f.now.Quantile(q)
	if f.before == nil {
		return value
	}
	part := min(float64(f.now.Count())/float64(f.settings.generation), 1)
	return part*value + (1-part)*f.before.Quantile(q)
}
