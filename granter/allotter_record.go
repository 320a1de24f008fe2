package granter

import (
	"maps"
	"slices"

	"filberthaven.example/keeper"
	"github.com/fxamacker/cbor/v2"
)

// Resource is a quantity that a team's upper limit counts.
type Resource uint8

// The kinds of limits.
const (
	// CPU counts thousandths of processors of running tasks.
	CPU Resource = iota
	// Slots counts slots of urgent requests in flight.
	Slots
	kinds
)

// Unlimited is a limit that nothing reaches.
const Unlimited int64 = 1 << 40

// amounts holds one amount for each kind.
type amounts [kinds]int64

// isZero reports whether there is nothing of any kind.
func (a amounts) isZero() bool { return a == amounts{} }

// groupRecord is the value of live/limit/GROUP.
type groupRecord struct {
	Terms map[string]uint64     `cbor:"terms"` // by shard: highest term that wrote
	Teams map[string]teamRecord `cbor:"teams"`
}

// teamRecord is a team's part of a group. For each kind the sum of what shards
// have is at most the limit, or was when the limit was higher and has only
// fallen since.
type teamRecord struct {
	Revision [kinds]uint64          `cbor:"revision"` // of the configuration that set the limit
	Limit    amounts                `cbor:"limit"`
	Shards   map[string]shareRecord `cbor:"shards"` // without those that have and want nothing
}

// shareRecord is one shard's part of a team's limit.
type shareRecord struct {
	Have amounts `cbor:"have"`
	Want amounts `cbor:"want"`
}

// decodeGroup reads a record.
func decodeGroup(entry keeper.Entry) (groupRecord, error) {
	var r groupRecord
	err := cbor.Unmarshal(entry.Value(), &r)
	return r, err
}

// encode returns the value of the record.
func (r groupRecord) encode() ([]byte, error) { return cbor.Marshal(r) }

// clone returns a copy whose teams share their shards with the original.
func (r groupRecord) clone() groupRecord {
	c := groupRecord{Terms: maps.Clone(r.Terms), Teams: maps.Clone(r.Teams)}
	if c.Terms == nil {
		c.Terms = map[string]uint64{}
	}
	if c.Teams == nil {
		c.Teams = map[string]teamRecord{}
	}
	return c
}

// has reports whether the shard has a part of any team's limit.
func (r groupRecord) has(shard string) bool {
	for _, team := range r.Teams {
		if !team.Shards[shard].Have.isZero() {
			return true
		}
	}
	return false
}

// sum returns what all shards have of a kind.
func (t teamRecord) sum(kind Resource) int64 {
	sum := int64(0)
	for _, share := range t.Shards {
		sum += share.Have[kind]
	}
	return sum
}

// division says how a team's limit of one kind should be divided: by max-min
// fairness of what is wanted, and evenly as to what nobody wants, of which one
// part stays free for a shard yet to come.
type division struct {
	level int64 // the most that a shard gets of what it wants
	spare int64 // what each shard gets besides
}

// target returns what a shard should have that wants that much.
func (d division) target(want int64) int64 { return min(want, d.level) + d.spare }

// divide returns the division of a kind.
func (t teamRecord) divide(kind Resource) division {
	limit, total, highest := max(0, t.Limit[kind]), int64(0), int64(0)
	for _, share := range t.Shards {
		total += share.Want[kind]
		highest = max(highest, share.Want[kind])
	}
	if total <= limit {
		return division{level: highest, spare: (limit - total) / int64(len(t.Shards)+1)}
	}
	wants := make([]int64, 0, len(t.Shards))
	for _, share := range t.Shards {
		wants = append(wants, share.Want[kind])
	}
	slices.Sort(wants)
	left := limit
	for n, want := range wants {
		level := left / int64(len(wants)-n)
		if want > level {
			return division{level: level}
		}
		left -= want
	}
	return division{level: highest}
}

// short reports whether another shard lacks what it should have.
func (t teamRecord) short(shard string, kind Resource, d division) bool {
	for name, share := range t.Shards {
		if name != shard && share.Have[kind] < min(share.Want[kind], d.target(share.Want[kind])) {
			return true
		}
	}
	return false
}
