package granter

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"filberthaven.example/keeper"
)

// Kind is a quantity that a team's upper limit counts.
type Kind uint8

// The kinds of limits.
const (
	// CPU counts thousandths of processors of running tasks.
	CPU Kind = iota
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
	Terms map[string]uint64     `json:"terms"` // by shard: highest term that wrote
	Teams map[string]teamRecord `json:"teams"`
}

// teamRecord is a team's part of a group. For each kind the sum of what shards
// have is at most the limit, or was when the limit was higher and has only
// fallen since.
type teamRecord struct {
	Revision [kinds]uint64          `json:"revision"` // of the configuration that set the limit
	Limit    amounts                `json:"limit"`
	Shards   map[string]shareRecord `json:"shards"` // without those that have and want nothing
}

// shareRecord is one shard's part of a team's limit.
type shareRecord struct {
	Have amounts `json:"have"`
	Want amounts `json:"want"`
}

// decodeGroup reads a record.
func decodeGroup(entry keeper.Entry) (groupRecord, error) {
	var r groupRecord
	err := json.Unmarshal(entry.Value(), &r)
	return r, err
}

// clone returns a copy that shares nothing.
func (r groupRecord) clone() groupRecord {
	c := groupRecord{Terms: map[string]uint64{}, Teams: map[string]teamRecord{}}
	maps.Copy(c.Terms, r.Terms)
	for name, team := range r.Teams {
		shards := map[string]shareRecord{}
		maps.Copy(shards, team.Shards)
		team.Shards = shards
		c.Teams[name] = team
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
func (t teamRecord) sum(kind Kind) int64 {
	sum := int64(0)
	for _, share := range t.Shards {
		sum += share.Have[kind]
	}
	return sum
}

// demand is what one shard wants.
type demand struct {
	shard string
	want  int64
}

// targets returns what each shard should have of a kind: its part by max-min
// fairness of what is wanted, and an even part of what nobody wants, of which
// one part stays free for a shard yet to come.
func (t teamRecord) targets(kind Kind) map[string]int64 {
	demands := make([]demand, 0, len(t.Shards))
	for name, share := range t.Shards {
		demands = append(demands, demand{name, share.Want[kind]})
	}
	slices.SortFunc(demands, func(a, b demand) int {
		return cmp.Or(cmp.Compare(a.want, b.want), cmp.Compare(a.shard, b.shard))
	})
	left := max(0, t.Limit[kind])
	targets := make(map[string]int64, len(demands))
	for n, d := range demands {
		part := min(d.want, left/int64(len(demands)-n))
		targets[d.shard] = part
		left -= part
	}
	for name := range targets {
		targets[name] += left / int64(len(demands)+1)
	}
	return targets
}

// short reports whether another shard lacks what it should have.
func (t teamRecord) short(shard string, kind Kind, targets map[string]int64) bool {
	for name, share := range t.Shards {
		if name != shard && share.Have[kind] < min(share.Want[kind], targets[name]) {
			return true
		}
	}
	return false
}
