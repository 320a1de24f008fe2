package configurer

import (
	"fmt"
	"strconv"
)

func (h *Handler) document(c call[noBody]) (revisionWire, error) {
	revision, err := h.writer.Latest(c.ctx)
	if err != nil {
		// The copy serves reads while the key-value service is down.
		revision = h.copy.Latest()
		h.log.Warn("declarations can't be read; serving them from the copy", "error", err)
	}
	if revision == nil {
		return revisionWire{}, ErrNoRevision
	}
	return newRevisionWire(revision), nil
}

func (h *Handler) history(c call[noBody]) (historyWire, error) {
	summaries, err := h.writer.History(c.ctx)
	if err != nil {
		return historyWire{}, err
	}
	wire := historyWire{Revisions: []revisionWire{}}
	for _, summary := range summaries {
		wire.Revisions = append(wire.Revisions, summary.wire())
	}
	return wire, nil
}

func (h *Handler) revision(c call[noBody]) (revisionWire, error) {
	number, err := strconv.ParseUint(c.pathParam("revision"), 10, 64)
	if err != nil {
		return revisionWire{}, fmt.Errorf("%w: want a number: %q", ErrRequest, c.pathParam("revision"))
	}
	latest, err := h.writer.Latest(c.ctx)
	if err != nil {
		return revisionWire{}, err
	}
	if latest != nil && latest.number == number {
		return newRevisionWire(latest), nil
	}
	revision, err := h.writer.Revision(c.ctx, number)
	if err != nil {
		return revisionWire{}, err
	}
	return newRevisionWire(revision), nil
}

func (h *Handler) revisionsInForce(c call[noBody]) (forceWire, error) {
	revisions := h.vmRevisions(c.ctx)
	return forceWire{Revision: h.copy.Revision(), Force: newHoldingWires(revisions)}, nil
}

func (h *Handler) keys(c call[noBody]) (keysWire, error) {
	uses, err := h.keyUses(c.ctx)
	wire := keysWire{Complete: err == nil, Keys: []keyWire{}}
	if err != nil {
		h.log.Warn("uses of keys incomplete: some entry VMs were not reached", "error", err)
	}
	now := h.now()
	for key := range h.copy.document().Keys() {
		wire.Keys = append(wire.Keys, keyWire{
			Key: key.id, Team: key.team, Role: string(key.role), Active: key.Active(now), Withdrawn: key.withdrawn,
			Expires: key.expires, Used: uses[key.id], Note: key.note,
		})
	}
	return wire, nil
}

func (h *Handler) plan(c call[planRequest]) (planWire, error) {
	document, err := c.request.Files.parse()
	if err != nil {
		return planWire{}, err
	}
	b, err := h.writer.readLatest(c.ctx)
	if err != nil {
		return planWire{}, err
	}
	next, err := document.withLiveState(b.document()).validated()
	if err != nil {
		return planWire{}, err
	}
	if err := checkChange(b.document(), next); err != nil {
		return planWire{}, err
	}
	return newPlanWire(NewPlan(b.number(), b.document(), next, h.usage(c.ctx), h.now())), nil
}
