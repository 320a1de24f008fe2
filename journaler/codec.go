package journaler

import (
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	// format is the version of the encoding written. Packed records came with
	// version 2; version 1 is read as well.
	format = 2
	// oldestFormat is the oldest version read.
	oldestFormat = 1
	// recordsLimit is the largest number of records in one value.
	recordsLimit = 1 << 20
)

// Errors of stored data. A caller tests for them with errors.Is.
var (
	// ErrCorrupt means that stored data is not what was written.
	ErrCorrupt = errors.New("journal damaged")
	// ErrUnsupportedFormat means that stored data is of an unknown format.
	ErrUnsupportedFormat = errors.New("journal of an unknown format")
)

// envelope wraps each stored value.
type envelope struct {
	Format uint64 `cbor:"format"`
	Sum    uint64 `cbor:"sum"` // xxhash of the body
	Body   []byte `cbor:"body"`
}

// segment is the body of one slot of the ring.
type segment struct {
	Sequence uint64   `cbor:"sequence"`         // from 1, without gaps
	Term     uint64   `cbor:"term"`             // of the owner that wrote it
	Write    []byte   `cbor:"write"`            // unlike that of any other write
	Ring     uint64   `cbor:"ring"`             // number of slots
	Records  [][]byte `cbor:"records"`          // empty in an opening segment
	Packed   []byte   `cbor:"packed,omitempty"` // the records instead, as packer.packSegment has them
}

// manifest is the body of the key that names the newest snapshot.
type manifest struct {
	Sequence uint64 `cbor:"sequence"` // newest segment that the snapshot covers
	Term     uint64 `cbor:"term"`     // of the owner that wrote it
	Name     string `cbor:"name"`     // prefix of the keys of its chunks
	Chunks   int    `cbor:"chunks"`
	Size     int    `cbor:"size"`             // bytes of all chunks
	Sum      uint64 `cbor:"sum"`              // xxhash of all chunks
	Packed   bool   `cbor:"packed,omitempty"` // whether the chunks together are packed
}

// snapshot is what the chunks hold together.
type snapshot struct {
	State   []byte   `cbor:"state"`   // from the snapshotter
	Records [][]byte `cbor:"records"` // to be replayed after it
}

// decoder bounds sizes, since stored data may be damaged.
var decoder = mustDecoder()

// mustDecoder returns the decoder; its options are constant and valid.
func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: recordsLimit, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// encode returns the body in an envelope.
func encode(body any) ([]byte, error) {
	data, err := cbor.Marshal(body)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(envelope{Format: format, Sum: xxhash.Sum64(data), Body: data})
}

// decode reads the body of an envelope, or returns ErrDamaged or ErrVersion.
func decode(data []byte, body any) error {
	var e envelope
	if err := decoder.Unmarshal(data, &e); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if e.Format < oldestFormat || e.Format > format {
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
