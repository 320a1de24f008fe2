package estimator

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

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

func (r *rollingSketch) add(value float64) error { return r.addWeighted(value, 1) }

// addWeighted adds a value as though it had been added that many times.
func (r *rollingSketch) addWeighted(value float64, weight uint64) error {
	if r.current == nil || int(r.current.Count()) >= r.settings.window {
		next, err := tdigest.New(tdigest.Compression(r.settings.compression), tdigest.RandomNumberGenerator(r.rng))
		if err != nil {
			return fmt.Errorf("new sketch: %w", err)
		}
		r.current, r.previous = next, r.current
	}
	if err := r.current.AddWeighted(value, weight); err != nil {
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
	weight := r.currentWeight()
	return weight*value + (1-weight)*r.previous.Quantile(q)
}

// currentWeight returns the weight of the current window, from 0 to 1; that of the previous
// window is the rest. The sketch must not be empty.
func (r *rollingSketch) currentWeight() float64 {
	if r.previous == nil {
		return 1
	}
	return min(float64(r.current.Count())/float64(r.settings.window), 1)
}

// centroids returns the sorted values of the sketch with their weights, which add up to 1. It
// returns nil if the sketch is empty.
func (r *rollingSketch) centroids() []centroid {
	if r.current == nil {
		return nil
	}
	var list []centroid
	collect := func(digest *tdigest.TDigest, weight float64) {
		if digest == nil || weight == 0 {
			return
		}
		total := float64(digest.Count())
		digest.ForEachCentroid(func(mean float64, count uint64) bool {
			list = append(list, centroid{mean, weight * float64(count) / total})
			return true
		})
	}
	weight := r.currentWeight()
	collect(r.current, weight)
	collect(r.previous, 1-weight)
	slices.SortFunc(list, func(a, b centroid) int { return cmp.Compare(a.value, b.value) })
	return list
}

// centroid is a value with its weight.
type centroid struct{ value, weight float64 }
