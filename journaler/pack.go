package journaler

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	// minPackBytes is the size below which packing gains nothing.
	minPackBytes = 512
	// packWindow is the zstd window in bytes. It bounds the packer's memory, and is
	// large enough since records repeat within a few KiB.
	packWindow = 128 << 10
	// unpackLimit is the largest unpacked value in bytes, since stored data may be
	// corrupt. It is half of the memory of the smallest entry VM.
	unpackLimit = 80 << 20
)

// packer compresses segments and snapshots. A new owner reads the whole ring and the
// newest snapshot. With 350 workers these are 5 MB uncompressed, and reading them over a
// link of 10 Mbit/s takes longer than an ownership lasts.
type packer struct {
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

func newPacker() (packer, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(packWindow), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return packer{}, err
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(unpackLimit))
	return packer{encoder, decoder}, err
}

func (p packer) pack(data []byte) []byte { return p.encoder.EncodeAll(data, nil) }

// unpack reverses pack. It returns ErrCorrupt for data that it can't decompress.
func (p packer) unpack(data []byte) ([]byte, error) {
	plain, err := p.decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return plain, nil
}

// packSegment packs the records of a segment unless they are too small to gain
// from it.
func (p packer) packSegment(s segment) (segment, error) {
	size := 0
	for _, r := range s.Records {
		size += len(r)
	}
	if size < minPackBytes {
		return s, nil
	}
	data, err := cbor.Marshal(s.Records)
	if err != nil {
		return s, err
	}
	s.Packed, s.Records = p.pack(data), nil
	return s, nil
}

// unpackSegment reverses packSegment.
func (p packer) unpackSegment(s segment) (segment, error) {
	if len(s.Packed) == 0 {
		return s, nil
	}
	data, err := p.unpack(s.Packed)
	if err != nil {
		return s, err
	}
	if err := decoder.Unmarshal(data, &s.Records); err != nil {
		return s, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	s.Packed = nil
	return s, nil
}
