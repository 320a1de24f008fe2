package journaler

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	// format is the version of the encoding that is written, and partFormat that of segments
	// with parts of records, which version 2 did not know. Version 2 added packed records;
	// version 1 can still be read.
	format     = 2
	partFormat = 3
	// oldestFormat is the oldest version that can be read.
	oldestFormat = 1
	// maxRecords is the largest number of records in one value.
	maxRecords = 1 << 20
)

// Errors of stored data. Callers test for them with errors.Is.
var (
	// ErrCorrupt means that stored data is damaged or inconsistent.
	ErrCorrupt = errors.New("journal damaged")
	// ErrUnsupportedFormat means that stored data has an unknown format or belongs
	// to a ring of another size.
	ErrUnsupportedFormat = errors.New("journal of an unknown format")
)

// envelope wraps the body of a slot or of the manifest with its format and
// checksum.
type envelope struct {
	Format uint64 `cbor:"format"`
	Sum    uint64 `cbor:"sum"` // xxhash of Body
	Body   []byte `cbor:"body"`
}

// segment is the body of one slot of the ring.
type segment struct {
	Sequence uint64   `cbor:"sequence"`         // from 1, without gaps
	Term     uint64   `cbor:"term"`             // of the owner that wrote it
	Write    []byte   `cbor:"write"`            // unique ID of the write
	Ring     uint64   `cbor:"ring"`             // number of slots
	Records  [][]byte `cbor:"records"`          // empty in an opening segment and if packed
	Packed   []byte   `cbor:"packed,omitempty"` // records as packed by packer.packSegment

	Continues  bool `cbor:"continues,omitempty"`  // the first record is a further part of the last one in the segment before
	Unfinished bool `cbor:"unfinished,omitempty"` // the last record continues in the next segment
}

// encode returns the segment in an envelope.
func (s segment) encode() ([]byte, error) {
	if s.Continues || s.Unfinished {
		return encodeAs(partFormat, s)
	}
	return encode(s)
}

// manifest names the newest snapshot. It is the body of the manifest key.
type manifest struct {
	Sequence uint64 `cbor:"sequence"` // newest segment that the snapshot covers
	Term     uint64 `cbor:"term"`     // of the owner that wrote it
	Name     string `cbor:"name"`     // key prefix of the chunks
	Chunks   int    `cbor:"chunks"`
	Size     int    `cbor:"size"`             // total size of the chunks in bytes
	Sum      uint64 `cbor:"sum"`              // xxhash of the joined chunks
	Packed   bool   `cbor:"packed,omitempty"` // whether the joined chunks are packed
}

// snapshot is the content of the joined chunks.
type snapshot struct {
	State   []byte   `cbor:"state"`   // from the snapshotter
	Records [][]byte `cbor:"records"` // to be replayed onto State

	Unfinished []byte `cbor:"unfinished,omitempty"` // parts of the record that the segments after the snapshot continue
}

// decoder decodes stored data, which may be corrupt. It limits nesting and lengths.
var decoder = mustDecoder()

// mustDecoder returns the decoder. It panics if the options, which are constants, are
// invalid.
func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: maxRecords, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encode encodes a body and returns it in an envelope.
func encode(body any) ([]byte, error) { return encodeAs(format, body) }

func encodeAs(version uint64, body any) ([]byte, error) {
	data, err := cbor.Marshal(body)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(envelope{Format: version, Sum: xxhash.Sum64(data), Body: data})
}

// decode decodes an envelope and the body in it. It returns ErrCorrupt or
// ErrUnsupportedFormat on failure.
func decode(data []byte, body any) error {
	var e envelope
	if err := decoder.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if e.Format < oldestFormat || e.Format > partFormat {
		return fmt.Errorf("%w: %d", ErrUnsupportedFormat, e.Format)
	}
	if e.Sum != xxhash.Sum64(e.Body) {
		return fmt.Errorf("%w: wrong checksum", ErrCorrupt)
	}
	if err := decoder.Unmarshal(e.Body, body); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return nil
}
