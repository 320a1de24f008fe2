package claimer

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"filberthaven.example/keeper"
)

// runClaims claims the ownership whenever there is no owner, until ctx ends.
func (c *Claimer) runClaims(ctx context.Context) {
	// The loop below wakes when the owner's record changes. If there is no owner at the
	// start there is no change, so wait for the mirror and then wake the loop once.
	for ctx.Err() == nil && c.mirror.ConnectedFor() == 0 {
		keeper.Sleep(ctx, pollInterval)
	}
	if _, owned := c.mirror.Get(ownerKey); !owned && (c.bootstrap || len(c.Members()) < 2) {
		keeper.Sleep(ctx, startupDelay)
	}
	c.wake()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-c.ownerChanged:
		case <-time.After(c.ttl):
		}
		if c.mirror.ConnectedFor() == 0 {
			// The mirror may be out of date; check again later.
			keeper.Sleep(ctx, claimJitter)
			c.wake()
			continue
		}
		c.removeStaleClaim(ctx)
		if _, owned := c.mirror.Get(ownerKey); owned || c.isLeaving() {
			continue
		}
		keeper.Sleep(ctx, rand.N(claimJitter*time.Duration(max(1, c.vmCount()/claimJitterVMs)))+c.claimDelay())
		if _, owned := c.mirror.Get(ownerKey); owned || c.isLeaving() || ctx.Err() != nil {
			continue
		}
		if err := c.claim(ctx); err != nil && ctx.Err() == nil {
			c.log.Info("ownership not claimed", "error", err)
			c.wake()
			keeper.Sleep(ctx, retryDelay)
		}
	}
}

// removeStaleClaim removes a claim of an earlier incarnation of this VM. That process
// must have ended, because this one listens at its address.
func (c *Claimer) removeStaleClaim(ctx context.Context) {
	owner, term := c.roster.currentOwner()
	if term == 0 || owner.ID != c.self.ID || owner.Incarnation == c.self.Incarnation {
		return
	}
	if err := c.store.Delete(ctx, ownerKey, term); err != nil {
		c.log.Info("failed to remove claim of an earlier incarnation", "error", err)
		return
	}
	c.log.Info("removed claim of an earlier incarnation", "life", owner.Incarnation)
}

// claim tries to become the owner and, if it succeeds, returns after the ownership has
// ended. It returns nil if another VM claimed first.
func (c *Claimer) claim(ctx context.Context) error {
	value, err := json.Marshal(c.self)
	if err != nil {
		return err
	}
	grantedAt := c.now()
	lease, err := c.store.Grant(ctx, c.ttl)
	if err != nil {
		return err
	}
	term, err := c.store.Put(ctx, ownerKey, value, 0, lease)
	if errors.Is(err, keeper.ErrConflict) {
		c.revoke(ctx, lease)
		return nil
	}
	if err != nil {
		// The write may still take effect. The key is then deleted with its lease.
		c.revoke(ctx, lease)
		return err
	}
	c.mirror.Merge(keeper.NewEntry(ownerKey, value, term, false))
	c.runOwnership(ctx, term, lease, grantedAt)
	return nil
}

// revoke ends a lease, so that a claim bound to it cannot take effect.
func (c *Claimer) revoke(ctx context.Context, lease keeper.LeaseID) {
	if err := c.store.Revoke(ctx, lease); err != nil {
		c.log.Info("failed to revoke lease; it will expire", "error", err)
	}
}

// runOwnership runs onElected and renews the lease until the ownership ends. It then
// deprioritizes the scope that a resignation has set, and revokes the lease. The store
// granted the lease at grantedAt or later.
func (c *Claimer) runOwnership(ctx context.Context, term uint64, lease keeper.LeaseID, grantedAt time.Duration) {
	ownership, cancelOwnership := context.WithCancel(ctx)
	c.mu.Lock()
	c.term, c.ownedUntil, c.cancelOwnership = term, grantedAt+c.ttl-leaseMargin, cancelOwnership
	c.mu.Unlock()
	c.log.Info("ownership claimed", "term", term)
	var wg sync.WaitGroup
	wg.Go(func() { c.onElected(ownership, term) })
	c.renewLease(ownership, lease, term)
	cancelOwnership()
	wg.Wait()
	c.mu.Lock()
	scope := c.resignScope
	c.term, c.resignScope = 0, ""
	c.mu.Unlock()
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.ttl)
	defer cancel()
	if scope != "" {
		c.deprioritize(closing, scope)
	}
	c.revoke(closing, lease)
	c.log.Info("ownership ended", "term", term, "unfit", scope)
	c.wake()
}

// renewLease renews the lease until the ownership ends. During a longer outage of the
// store IsOwner returns false; the ownership continues if the lease survives the outage.
func (c *Claimer) renewLease(ctx context.Context, lease keeper.LeaseID, term uint64) {
	var warnings Repeats
	for wait := c.ttl / renewalsPerTTL; ctx.Err() == nil; {
		keeper.Sleep(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		sentAt := c.now()
		// A call sent during an outage gets no answer afterwards either, so the
		// timeout has to leave time for another attempt.
		bounded, cancel := context.WithTimeout(ctx, c.ttl/renewalsPerTTL)
		err := c.store.Renew(bounded, lease)
		cancel()
		wait = retryDelay
		switch {
		case err == nil:
			wait = c.ttl / renewalsPerTTL
			c.mu.Lock()
			c.ownedUntil = max(c.ownedUntil, sentAt+c.ttl-leaseMargin)
			c.mu.Unlock()
		case errors.Is(err, keeper.ErrLeaseExpired):
			c.log.Warn("lease of the ownership has expired", "term", term)
			return
		case ctx.Err() == nil:
			if repeats, due := warnings.Next(c.now()); due {
				c.log.Warn("lease of the ownership not renewed", "term", term, "repeats", repeats, "error", err)
			}
		}
		if entry, known := c.mirror.Get(ownerKey); c.mirror.ConnectedFor() > 0 && (!known || entry.Version() > term) {
			c.log.Warn("claim was deleted or superseded", "term", term)
			return
		}
	}
}
