package estimator

import (
	"fmt"
	"math/rand/v2"

	"github.com/caio/go-tdigest/v4"
)

// sketchSeed seeds the sketches, so that the same observations give the same estimates.
const sketchSeed = 1

// rng is the random number generator that all sketches of an Estimator share.
type rng struct{ *rand.Rand }

func newRNG() rng { return rng{rand.New(rand.NewPCG(sketchSeed, sketchSeed))} }

// Intn implements tdigest.RNG.
func (r rng) Intn(n int) int { return r.IntN(n) }

// rollingSketch is a quantile sketch of recent values. It has the window that is
// being filled and the full window before it, so that old values lose weight
// gradually.
type rollingSketch struct {
	settings settings
	rng      rng
	current  *tdigest.TDigest // nil until the first value
	previous *tdigest.TDigest // the last full window; nil until the first is full
}

func newRollingSketch(s settings, r rng) *rollingSketch { return &rollingSketch{settings: s, rng: r} }

func (r *rollingSketch) add(value float64) error {
	if r.current == nil || int(r.current.Count()) >= r.settings.window {
		next, err := tdigest.New(tdigest.Compression(r.settings.compression), tdigest.RandomNumberGenerator(r.rng))
		if err != nil {
			return fmt.Errorf("new sketch: %w", err)
		}
		r.current, r.previous = next, r.current
	}
	if err := r.current.Add(value); err != nil {
		return fmt.Errorf("add %v: %w", value, err)
	}
	return nil
}

func (r *rollingSketch) count() int {
	n := 0
	if r.current != nil {
		n += int(r.current.Count())
	}
	if r.previous != nil {
		n += int(r.previous.Count())
	}
	return n
}

// quantile returns the weighted mean of both windows' quantiles. The weight of the
// current window is the fraction of it that is filled. The sketch must not be empty.
func (r *rollingSketch) quantile(q float64) float64 {
	value := r.current.Quantile(q)
	if r.previous == nil {
		return value
	}
	weight := min(float64(r.current.Count())/float64(r.settings.window), 1)
	return weight*value + (1-weight)*r.previous.Quantile(q)
}
