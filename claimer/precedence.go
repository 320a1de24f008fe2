package claimer

import (
	"context"
	"time"
)

// ResignCentre gives the ownership up; the VMs of this data centre let others claim
// first for a while.
func (c *Claimer) ResignCentre() { c.resign(c.self.Centre) }

// ResignVM gives the ownership up; this VM lets others claim first for a while. It
// changes nothing while another VM does so: then it is the load that is too much.
func (c *Claimer) ResignVM() {
	for _, m := range c.Members() {
		if _, marked := c.mirror.Get(unfitKey + m.id); marked {
			return
		}
	}
	c.resign(c.self.ID)
}

// handicap returns how long this VM lets others claim first. It answers a fleet
// so large that its owner would use up the processor of a small VM.
func (c *Claimer) handicap() time.Duration {
	if c.isUnfit(c.self) {
		return unfitDelay
	}
	larger := func(r record) bool { return r.Processor > muchLarger*c.self.Processor && !c.isUnfit(r) }
	if c.roster.any(larger) {
		return smallDelay
	}
	return 0
}

// isUnfit reports whether a VM, or its data centre, is to let others claim first.
func (c *Claimer) isUnfit(r record) bool {
	_, vm := c.mirror.Get(unfitKey + r.ID)
	_, centre := c.mirror.Get(unfitKey + r.Centre)
	return vm || centre
}

// mark tells a VM, or the VMs of a data centre, to let others claim first.
func (c *Claimer) mark(ctx context.Context, scope string) {
	lease, err := c.store.Grant(ctx, unfitTime)
	if err == nil {
		key := unfitKey + scope
		entry, _ := c.mirror.Get(key)
		_, err = c.store.Put(ctx, key, []byte(c.self.ID), entry.Version(), lease)
	}
	if err != nil {
		c.log.Info("unfit VMs not marked", "scope", scope, "error", err)
	}
}
