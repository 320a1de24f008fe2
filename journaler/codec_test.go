package journaler

import (
	"bytes"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

func FuzzDecodeSegment(f *testing.F) {
	valid, err := encode(segment{Sequence: 7, Term: 2, Write: []byte("id"), Ring: 16, Records: [][]byte{[]byte("x")}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{})
	f.Add(valid[:len(valid)-1])
	f.Fuzz(func(t *testing.T, data []byte) {
		c := qt.New(t)
		var s segment
		if err := decode(data, &s); err != nil {
			c.Assert(errors.Is(err, ErrCorrupt) || errors.Is(err, ErrUnsupportedFormat), qt.IsTrue)
			return
		}
		encoded, err := encode(s)
		c.Assert(err, qt.IsNil)
		var decoded segment
		c.Assert(decode(encoded, &decoded), qt.IsNil)
		c.Assert(decoded.Sequence, qt.Equals, s.Sequence)
		c.Assert(len(decoded.Records), qt.Equals, len(s.Records))
	})
}

// TestDecodeFlippedBit checks that a flipped bit either makes decoding fail or leaves the
// sequence number and the records as they were.
func TestDecodeFlippedBit(t *testing.T) {
	c := qt.New(t)
	valid, err := encode(segment{Sequence: 7, Term: 2, Write: []byte("id"), Ring: 16, Records: [][]byte{[]byte("record")}})
	c.Assert(err, qt.IsNil)
	for n := range len(valid) * 8 {
		data := bytes.Clone(valid)
		data[n/8] ^= 1 << (n % 8)
		var s segment
		if decode(data, &s) == nil {
			c.Assert(s.Sequence, qt.Equals, uint64(7), qt.Commentf("bit %d", n))
			c.Assert(s.Records, qt.DeepEquals, [][]byte{[]byte("record")}, qt.Commentf("bit %d", n))
		}
	}
}
