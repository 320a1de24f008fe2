package loader

import (
	"bytes"
	"strings"
)

// Pair is a key with its value.
type Pair struct{ key, value string }

// NewPair returns a key with its value.
func NewPair(key, value string) Pair { return Pair{key: key, value: value} }

// Key returns the key.
func (p Pair) Key() string { return p.key }

// Value returns the value as text.
func (p Pair) Value() string { return p.value }

// Block is a section for Encode.
type Block struct {
	kind, name string
	pairs      []Pair
}

// NewBlock returns a section with the pairs. Pairs with an empty value are omitted.
func NewBlock(kind, name string, pairs ...Pair) Block {
	block := Block{kind: kind, name: name}
	for _, pair := range pairs {
		if pair.value != "" {
			block.pairs = append(block.pairs, pair)
		}
	}
	return block
}

// Kind returns the first word of the header.
func (b Block) Kind() string { return b.kind }

// Name returns the name of a repeated section, or "".
func (b Block) Name() string { return b.name }

// Pairs returns the keys with their values. The caller must not modify them.
func (b Block) Pairs() []Pair { return b.pairs }

// Encode returns the sections as INI text for NewDecoder. Each run of white space in a
// value, including line breaks, becomes a single space.
func Encode(blocks []Block) []byte {
	var text bytes.Buffer
	for i, block := range blocks {
		if i > 0 {
			text.WriteByte('\n')
		}
		text.WriteString(header(block.kind, block.name) + "\n")
		for _, pair := range block.pairs {
			text.WriteString(pair.key + " = " + strings.Join(strings.Fields(pair.value), " ") + "\n")
		}
	}
	return text.Bytes()
}
