package claimer

import (
	"context"
	"time"
)

// ResignCentre gives up the ownership and deprioritizes all VMs of this data centre
// for a while.
func (c *Claimer) ResignCentre() { c.resign(c.self.Centre) }

// ResignVM gives up the ownership and deprioritizes this VM for a while. It does nothing
// while any VM is deprioritized already, since then the load is the cause and not the VM.
func (c *Claimer) ResignVM() {
	for _, m := range c.Members() {
		if _, found := c.mirror.Get(deprioritizedPrefix + m.id); found {
			return
		}
	}
	c.resign(c.self.ID)
}

// ResignRefused gives up the ownership and deprioritizes this VM for a while, because the
// store does not serve this VM while it serves others.
func (c *Claimer) ResignRefused() { c.resign(c.self.ID) }

// claimDelay returns how long this VM lets others claim first. It is longest if this VM
// is deprioritized. It is shorter if a much larger VM is registered or was until lately, or
// if this VM is too small for a large fleet: the owner would use up its processor, and after
// an outage larger VMs may not be registered yet.
func (c *Claimer) claimDelay() time.Duration {
	if c.isDeprioritized(c.self) {
		return deprioritizedDelay
	}
	if c.HasLargerPeer() || c.self.Processor > 0 && c.self.Processor < ownerProcessor {
		return smallVMDelay
	}
	return 0
}

// HasLargerPeer reports whether a VM that is registered, or was until lately, has a much
// larger processor than this one and is not deprioritized.
func (c *Claimer) HasLargerPeer() bool {
	return c.roster.any(func(r record) bool { return r.Processor > muchLargerFactor*c.self.Processor && !c.isDeprioritized(r) })
}

// isDeprioritized reports whether a VM or its data centre is deprioritized.
func (c *Claimer) isDeprioritized(r record) bool {
	_, vmFound := c.mirror.Get(deprioritizedPrefix + r.ID)
	_, centreFound := c.mirror.Get(deprioritizedPrefix + r.Centre)
	return vmFound || centreFound
}

// deprioritize makes a VM, or all VMs of a data centre, let others claim first for
// deprioritizedTTL.
func (c *Claimer) deprioritize(ctx context.Context, scope string) {
	lease, err := c.store.Grant(ctx, deprioritizedTTL)
	if err == nil {
		key := deprioritizedPrefix + scope
		entry, _ := c.mirror.Get(key)
		_, err = c.store.Put(ctx, key, []byte(c.self.ID), entry.Version(), lease)
	}
	if err != nil {
		c.log.Info("failed to deprioritize VMs", "scope", scope, "error", err)
	}
}
