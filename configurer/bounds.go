package configurer

import (
	"strconv"

	"filberthaven.example/loader"
)

// bounds limit what the other sections may declare.
type bounds struct {
	shares float64 // largest sum of the teams' shares; 0: no bound
	limit  int64   // largest limit, in thousandths of processors; Unlimited: no bound
	slots  int64   // largest number of slots of a team; Unlimited: no bound
	teams  int     // largest number of teams; 0: no bound
}

func decodeBounds(s *loader.Section) bounds {
	return bounds{
		shares: loader.Get(s, "shares", loader.Float, 0, loader.Between(0, maxShare)),
		limit:  loader.Get(s, "limit", parseProcessors, Unlimited),
		slots:  loader.Get(s, "slots", parseCount, Unlimited),
		teams:  loader.Get(s, "teams", loader.Int, 0, loader.Between(0, 1<<20)),
	}
}

func (b bounds) block() loader.Block {
	var pairs []loader.Pair
	if b.shares > 0 {
		pairs = append(pairs, loader.NewPair("shares", formatFloat(b.shares)))
	}
	if b.limit < Unlimited {
		pairs = append(pairs, loader.NewPair("limit", FormatProcessors(b.limit)))
	}
	if b.slots < Unlimited {
		pairs = append(pairs, loader.NewPair("slots", FormatCount(b.slots)))
	}
	if b.teams > 0 {
		pairs = append(pairs, loader.NewPair("teams", strconv.Itoa(b.teams)))
	}
	return loader.NewBlock("bounds", "", pairs...)
}
