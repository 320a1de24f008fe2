package estimator

import (
	"bytes"
	"errors"
	"fmt"
	"math"

	"github.com/caio/go-tdigest/v4"
	"github.com/fxamacker/cbor/v2"
)

// runTimesState is the encoded form of RunTimes. Both lists have the least recent first.
type runTimesState struct {
	Queues []queueState `cbor:"1,keyasint,omitempty"`
	Teams  []teamState  `cbor:"2,keyasint,omitempty"`
}

type queueState struct {
	Name             string     `cbor:"1,keyasint"`
	Regression       [6]float32 `cbor:"2,keyasint"` // weight, sum, x, y, xx, xy
	Variance         meanState  `cbor:"3,keyasint"`
	SiblingVariance  meanState  `cbor:"4,keyasint"`
	Absolute         meanState  `cbor:"5,keyasint"`
	AbsoluteDeclared meanState  `cbor:"6,keyasint"`
	Errors           [2][]byte  `cbor:"7,keyasint"` // current and previous window
	SiblingErrors    [2][]byte  `cbor:"8,keyasint"`
}

type teamState struct {
	Name  string    `cbor:"1,keyasint"`
	Queue string    `cbor:"2,keyasint"`
	Mean  meanState `cbor:"3,keyasint"`
}

// meanState is the sum of the weights and the value of a mean.
type meanState [2]float32

func (m mean) state() meanState { return meanState{float32(m.sum), float32(m.value)} }

func (m meanState) mean() mean { return mean{float64(m[0]), float64(m[1])} }

// isValid reports whether a mean can be used: its weight and value are finite.
func (m meanState) isValid() bool { return areFinite(m[:]) && m[0] >= 0 }

func areFinite(values []float32) bool {
	for _, v := range values {
		if math.IsNaN(float64(v)) || math.IsInf(float64(v), 0) {
			return false
		}
	}
	return true
}

// Encode returns the state in CBOR: some 1,100 bytes for each queue and 30 for each team of a
// queue.
func (r *RunTimes) Encode() ([]byte, error) {
	var s runTimesState
	for name, q := range r.queues.oldestFirst() {
		s.Queues = append(s.Queues, queueState{
			Name:       name,
			Regression: [6]float32{float32(q.weight), float32(q.sum), float32(q.x), float32(q.y), float32(q.xx), float32(q.xy)},
			Variance:   q.variance.state(), SiblingVariance: q.siblingVariance.state(),
			Absolute: q.absolute.state(), AbsoluteDeclared: q.absoluteDeclared.state(),
			Errors: q.errors.encode(), SiblingErrors: q.siblingErrors.encode(),
		})
	}
	for k, m := range r.teams.oldestFirst() {
		s.Teams = append(s.Teams, teamState{k.team, k.name, m.state()})
	}
	return cbor.Marshal(s)
}

// DecodeRunTimes returns the RunTimes that Encode has encoded.
func DecodeRunTimes(data []byte) (*RunTimes, error) {
	var s runTimesState
	if err := cbor.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("decode run times: %w", err)
	}
	r := NewRunTimes()
	for _, stored := range s.Queues {
		if err := r.restoreQueue(stored); err != nil {
			return nil, fmt.Errorf("decode run times of %s: %w", stored.Name, err)
		}
	}
	for _, stored := range s.Teams {
		if !stored.Mean.isValid() {
			return nil, fmt.Errorf("decode run times of team %s: %w", stored.Name, errNotFinite)
		}
		*r.teamFor(stored.Queue, stored.Name) = stored.Mean.mean()
	}
	return r, nil
}

// errNotFinite means that an encoded number is none.
var errNotFinite = errors.New("number is not finite")

func (r *RunTimes) restoreQueue(s queueState) error {
	reg := s.Regression
	if !areFinite(reg[:]) || reg[1] <= 0 || reg[4] < 0 || !s.Variance.isValid() || !s.SiblingVariance.isValid() || !s.Absolute.isValid() || !s.AbsoluteDeclared.isValid() {
		return errNotFinite
	}
	q := r.queueFor(s.Name, 0)
	q.weight, q.sum, q.x, q.y = float64(reg[0]), float64(reg[1]), float64(reg[2]), float64(reg[3])
	q.xx, q.xy = float64(reg[4]), float64(reg[5])
	q.variance, q.siblingVariance = s.Variance.mean(), s.SiblingVariance.mean()
	q.absolute, q.absoluteDeclared = s.Absolute.mean(), s.AbsoluteDeclared.mean()
	if err := q.errors.decode(s.Errors); err != nil {
		return err
	}
	if err := q.siblingErrors.decode(s.SiblingErrors); err != nil {
		return err
	}
	q.lifeWeight = q.weight
	q.computeLives()
	return nil
}

// encode returns both windows, nil for one that does not exist.
func (r *rollingSketch) encode() [2][]byte {
	var windows [2][]byte
	for i, digest := range []*tdigest.TDigest{r.current, r.previous} {
		if digest != nil {
			windows[i] = digest.ToBytes(nil)
		}
	}
	return windows
}

// decode sets both windows.
func (r *rollingSketch) decode(windows [2][]byte) error {
	for i, digest := range []**tdigest.TDigest{&r.current, &r.previous} {
		if len(windows[i]) == 0 {
			continue
		}
		decoded, err := tdigest.FromBytes(bytes.NewReader(windows[i]), tdigest.RandomNumberGenerator(r.rng))
		if err != nil {
			return fmt.Errorf("sketch: %w", err)
		}
		if decoded.Count() > 0 {
			*digest = decoded
		}
	}
	return nil
}
