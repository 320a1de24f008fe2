package granter

import (
	"maps"
	"slices"

	"filberthaven.example/keeper"
	"github.com/fxamacker/cbor/v2"
)

// Resource is a quantity that a team's upper limit bounds.
type Resource uint8

// The resources that have limits.
const (
	// CPU counts thousandths of processors of running tasks.
	CPU Resource = iota
	// Slots counts slots of urgent requests in flight.
	Slots
	resourceCount
)

// Unlimited is a limit that is never reached.
const Unlimited int64 = 1 << 40

// amounts holds one amount for each resource.
type amounts [resourceCount]int64

func (a amounts) isZero() bool { return a == amounts{} }

// groupRecord is the value of live/limit/GROUP.
type groupRecord struct {
	Terms map[string]uint64     `cbor:"terms"` // by shard: highest term of an owner that has written
	Teams map[string]teamRecord `cbor:"teams"`
}

// teamRecord is a team's part of a group. For each resource, the sum of the
// shards' quotas is at most the limit. After the limit was lowered below the
// sum, the sum only falls.
type teamRecord struct {
	Revision [resourceCount]uint64  `cbor:"revision"` // of the configuration that set the limit
	Limit    amounts                `cbor:"limit"`
	Shards   map[string]shareRecord `cbor:"shards"` // by name; without those that have and want nothing
}

// shareRecord is one shard's part of a team's limit.
type shareRecord struct {
	Have amounts `cbor:"have"` // quota
	Want amounts `cbor:"want"` // usage and demand, rounded up
}

func decodeGroup(entry keeper.Entry) (groupRecord, error) {
	var r groupRecord
	err := cbor.Unmarshal(entry.Value(), &r)
	return r, err
}

func (r groupRecord) encode() ([]byte, error) { return cbor.Marshal(r) }

// clone returns a copy of the record. The copy's teams use the same Shards maps
// as the original, so these must be cloned before a change.
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

// hasQuota reports whether the shard has a quota of any team.
func (r groupRecord) hasQuota(shard string) bool {
	for _, team := range r.Teams {
		if !team.Shards[shard].Have.isZero() {
			return true
		}
	}
	return false
}

// sum returns the sum of the shards' quotas of a resource.
func (t teamRecord) sum(resource Resource) int64 {
	sum := int64(0)
	for _, share := range t.Shards {
		sum += share.Have[resource]
	}
	return sum
}

// division says how a team's limit of one resource should be divided. What
// shards want is divided by max-min fairness. What nobody wants is divided
// evenly, with one part left free for a shard that joins later.
type division struct {
	level int64 // most that a shard gets of what it wants
	spare int64 // what each shard gets in addition
}

// target returns the quota that is due to a shard with that demand.
func (d division) target(want int64) int64 { return min(want, d.level) + d.spare }

// divide returns how the team's limit of a resource should be divided.
func (t teamRecord) divide(resource Resource) division {
	limit, total, highest := max(0, t.Limit[resource]), int64(0), int64(0)
	for _, share := range t.Shards {
		total += share.Want[resource]
		highest = max(highest, share.Want[resource])
	}
	if total <= limit {
		return division{level: highest, spare: (limit - total) / int64(len(t.Shards)+1)}
	}
	wants := make([]int64, 0, len(t.Shards))
	for _, share := range t.Shards {
		wants = append(wants, share.Want[resource])
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

// othersUnderserved reports whether another shard's quota is below both what
// the shard wants and its target.
func (t teamRecord) othersUnderserved(shard string, resource Resource, d division) bool {
	for name, share := range t.Shards {
		if name != shard && share.Have[resource] < min(share.Want[resource], d.target(share.Want[resource])) {
			return true
		}
	}
	return false
}
