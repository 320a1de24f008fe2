// Package messenger makes and serves calls between entry VMs, and from entry VMs to
// workers, with connect over HTTP. Messages are structs that are encoded as CBOR and
// declared beside the handlers that use them.
//
// New returns a Messenger, which needs no closing. Handle registers the handler of a
// procedure, and Call calls a procedure of another process. Each call has a deadline.
package messenger

import (
	"github.com/fxamacker/cbor/v2"
)

// codec encodes and decodes messages for connect.
type codec struct {
	encoder cbor.EncMode
	decoder cbor.DecMode
}

// newCodec returns the codec that all processes use. It limits the nesting and the
// sizes of decoded messages, since a faulty peer may send anything.
func newCodec() (codec, error) {
	encoder, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		return codec{}, err
	}
	decoder, err := cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		return codec{}, err
	}
	return codec{encoder: encoder, decoder: decoder}, nil
}

// Name returns the subtype of the messages' content type.
func (c codec) Name() string { return "cbor" }

// Marshal encodes a message.
func (c codec) Marshal(message any) ([]byte, error) { return c.encoder.Marshal(message) }

// Unmarshal decodes a message.
func (c codec) Unmarshal(data []byte, message any) error { return c.decoder.Unmarshal(data, message) }
