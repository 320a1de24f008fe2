package journaler

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

// records returns n records that resemble those of task starts on 350 workers.
func records(n int) [][]byte {
	var list [][]byte
	for i := range n {
		list = append(list, fmt.Appendf(nil, "%016x.0.0.%d begins as run 1 on i-%010x", i/20*7919, i%20, i%350*104729))
	}
	return list
}

func TestPackedSegment(t *testing.T) {
	c := qt.New(t)
	p, err := newPacker()
	c.Assert(err, qt.IsNil)
	for _, n := range []int{0, 1, 200} {
		s := segment{Sequence: 7, Term: 2, Ring: 16, Records: records(n)}
		packed, err := p.packSegment(s)
		c.Assert(err, qt.IsNil)
		plain, err := encode(s)
		c.Assert(err, qt.IsNil)
		data, err := encode(packed)
		c.Assert(err, qt.IsNil)
		c.Assert(n < 200 || len(data)*3 < len(plain), qt.IsTrue, qt.Commentf("%d bytes of %d", len(data), len(plain)))
		var decoded segment
		c.Assert(decode(data, &decoded), qt.IsNil)
		decoded, err = p.unpackSegment(decoded)
		c.Assert(err, qt.IsNil)
		c.Assert(decoded.Records, qt.DeepEquals, s.Records)
	}
	t.Run("truncated data is detected", func(t *testing.T) {
		c := qt.New(t)
		packed, err := p.packSegment(segment{Records: records(200)})
		c.Assert(err, qt.IsNil)
		packed.Packed = packed.Packed[:len(packed.Packed)/2]
		_, err = p.unpackSegment(packed)
		c.Assert(errors.Is(err, ErrCorrupt), qt.IsTrue)
	})
}

// TestOlderFormat checks that a segment of format 1, which was written before
// records were packed, can still be read.
func TestOlderFormat(t *testing.T) {
	c := qt.New(t)
	data, err := encode(segment{Sequence: 3, Records: records(2)})
	c.Assert(err, qt.IsNil)
	var e envelope
	c.Assert(decoder.Unmarshal(data, &e), qt.IsNil)
	e.Format = oldestFormat
	data, err = cbor.Marshal(e)
	c.Assert(err, qt.IsNil)
	var decoded segment
	c.Assert(decode(data, &decoded), qt.IsNil)
	c.Assert(decoded.Records, qt.DeepEquals, records(2))
}
