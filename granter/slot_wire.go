package granter

import (
	"cmp"
	"slices"
)

// slotsProcedure is the path of the call that carries a holder's report.
const slotsProcedure = "/granter/slots"

// slotsRequest is a holder's report: the newest grants that it has applied, the
// slots that it may use until it applies newer ones, and its demand.
type slotsRequest struct {
	Holder      string      `cbor:"holder"`
	Incarnation uint64      `cbor:"incarnation"`
	Term        uint64      `cbor:"term"` // with Seq: of the newest grants applied
	Seq         uint64      `cbor:"seq"`
	Holding     []slotCount `cbor:"holding"` // by executor
	Demand      []slotCount `cbor:"demand"`  // by service
}

// slotCount is a number of slots of an executor or a service.
type slotCount struct {
	Name  string `cbor:"name"`
	Slots int    `cbor:"slots"`
}

// slotsResponse is the response to a holder's report: all of its grants, or
// none if it has applied them already. The grants replace those with a lower
// term, or with the same term and a lower sequence number.
type slotsResponse struct {
	Term   uint64      `cbor:"term"`
	Seq    uint64      `cbor:"seq"`
	Grants []slotGrant `cbor:"grants"`
}

// slotGrant is what a holder may use of one executor.
type slotGrant struct {
	Executor    string `cbor:"executor"`
	Service     string `cbor:"service"`
	Address     string `cbor:"address"`
	Slots       int    `cbor:"slots"`
	Connections int    `cbor:"connections"`
	Leaving     bool   `cbor:"leaving"`
}

// slotRecord is the journal record of the most that a holder may use. It
// replaces earlier records of the holder.
type slotRecord struct {
	Holder      string      `cbor:"holder"`
	Incarnation uint64      `cbor:"incarnation"`
	Slots       []slotCount `cbor:"slots"` // by executor
}

// countsOf returns the counts above 0, sorted by name.
func countsOf(slots map[string]int) []slotCount {
	counts := make([]slotCount, 0, len(slots))
	for name, n := range slots {
		if n > 0 {
			counts = append(counts, slotCount{Name: name, Slots: n})
		}
	}
	slices.SortFunc(counts, func(a, b slotCount) int { return cmp.Compare(a.Name, b.Name) })
	return counts
}
