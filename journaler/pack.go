package journaler

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	// packFloor is the size in bytes below which packing gains nothing.
	packFloor = 512
	// packWindow bounds the packer's memory; records repeat within a few KiB.
	packWindow = 128 << 10
	// unpackLimit is the largest unpacked value in bytes, as stored data may be
	// damaged: half of the memory of the smallest entry VM.
	unpackLimit = 80 << 20
)

// packer makes what is stored smaller. A new owner reads the whole ring and the
// newest snapshot; over a link of 10 Mbit/s the 5 MB of a fleet of 350 workers
// took longer than an ownership lasts.
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

// unpack returns ErrDamaged for what pack did not return.
func (p packer) unpack(data []byte) ([]byte, error) {
	plain, err := p.decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return plain, nil
}

// packSegment moves the records of a segment into packed form if that is worth it.
func (p packer) packSegment(s segment) (segment, error) {
	size := 0
	for _, r := range s.Records {
		size += len(r)
	}
	if size < packFloor {
		return s, nil
	}
	data, err := cbor.Marshal(s.Records)
	if err != nil {
		return s, err
	}
	s.Packed, s.Records = p.pack(data), nil
	return s, nil
}

// unpackSegment is the reverse of packSegment.
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
