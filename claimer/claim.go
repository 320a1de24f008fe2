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

// claimOn claims the ownership whenever there is no owner.
func (c *Claimer) claimOn(ctx context.Context) {
	// Nothing tells of a change if there was no owner to begin with.
	for ctx.Err() == nil && c.mirror.ConnectedFor() == 0 {
		keeper.Sleep(ctx, gatherPause)
	}
	if _, owned := c.mirror.Get(ownerKey); !owned && (c.bootstrap || len(c.Members()) < 2) {
		keeper.Sleep(ctx, companyTime)
	}
	c.wake()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-c.changed:
		case <-time.After(c.ttl):
		}
		if c.mirror.ConnectedFor() == 0 {
			// The copy may be old. What woke this VM is looked at when it is fresh.
			keeper.Sleep(ctx, claimSpread)
			c.wake()
			continue
		}
		c.release(ctx)
		if _, owned := c.mirror.Get(ownerKey); owned || c.isLeaving() {
			continue
		}
		keeper.Sleep(ctx, rand.N(claimSpread*time.Duration(max(1, c.crowd()/claimCrowd)))+c.handicap())
		if _, owned := c.mirror.Get(ownerKey); owned || c.isLeaving() || ctx.Err() != nil {
			continue
		}
		if err := c.claim(ctx); err != nil && ctx.Err() == nil {
			c.log.Info("ownership not claimed", "error", err)
			c.wake()
			keeper.Sleep(ctx, retryPause)
		}
	}
}

// release removes the claim of an earlier life of this VM, which has surely
// ended, as this process holds its address.
func (c *Claimer) release(ctx context.Context) {
	r, term := c.roster.current()
	if term == 0 || r.ID != c.self.ID || r.Life == c.self.Life {
		return
	}
	if err := c.store.Delete(ctx, ownerKey, term); err != nil {
		c.log.Info("claim of an earlier life not removed", "error", err)
		return
	}
	c.log.Info("claim of an earlier life removed", "life", r.Life)
}

// claim tries to become the owner and, if it did, stays owner as long as it can.
func (c *Claimer) claim(ctx context.Context) error {
	value, err := json.Marshal(c.self)
	if err != nil {
		return err
	}
	granted := c.now()
	lease, err := c.store.Grant(ctx, c.ttl)
	if err != nil {
		return err
	}
	term, err := c.store.Put(ctx, ownerKey, value, 0, lease)
	if errors.Is(err, keeper.ErrConflict) {
		c.end(ctx, lease)
		return nil
	}
	if err != nil {
		// The write may take effect yet; its lease ends it.
		c.end(ctx, lease)
		return err
	}
	c.mirror.Merge(keeper.NewEntry(ownerKey, value, term, false))
	c.hold(ctx, term, lease, granted)
	return nil
}

// end ends a lease, so that a claim bound to it can't come into force.
func (c *Claimer) end(ctx context.Context, lease keeper.LeaseID) {
	if err := c.store.Revoke(ctx, lease); err != nil {
		c.log.Info("lease not ended; it runs out", "error", err)
	}
}

// hold runs the owner's work until the ownership ends.
func (c *Claimer) hold(ctx context.Context, term uint64, lease keeper.LeaseID, granted time.Duration) {
	owning, drop := context.WithCancel(ctx)
	c.mu.Lock()
	c.term, c.valid, c.drop = term, granted+c.ttl-validMargin, drop
	c.mu.Unlock()
	c.log.Info("ownership claimed", "term", term)
	var work sync.WaitGroup
	work.Go(func() { c.own(owning, term) })
	c.renew(owning, lease, term)
	drop()
	work.Wait()
	c.mu.Lock()
	unfit := c.unfit
	c.term, c.unfit = 0, ""
	c.mu.Unlock()
	after, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.ttl)
	defer cancel()
	if unfit != "" {
		c.mark(after, unfit)
	}
	c.end(after, lease)
	c.log.Info("ownership ended", "term", term, "unfit", unfit)
	c.wake()
}

// renew prolongs the lease until the ownership ends. While the store is away the
// ownership pauses; it goes on if the lease has outlasted the outage.
func (c *Claimer) renew(ctx context.Context, lease keeper.LeaseID, term uint64) {
	for wait := c.ttl / renewals; ctx.Err() == nil; {
		keeper.Sleep(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		sent := c.now()
		// A store that was silent does not answer what was sent meanwhile.
		bounded, cancel := context.WithTimeout(ctx, c.ttl/renewals)
		err := c.store.Renew(bounded, lease)
		cancel()
		wait = retryPause
		switch {
		case err == nil:
			wait = c.ttl / renewals
			c.mu.Lock()
			c.valid = max(c.valid, sent+c.ttl-validMargin)
			c.mu.Unlock()
		case errors.Is(err, keeper.ErrLeaseExpired):
			c.log.Warn("lease of the ownership has expired", "term", term)
			return
		case ctx.Err() == nil:
			c.log.Warn("lease of the ownership not renewed", "term", term, "error", err)
		}
		if entry, known := c.mirror.Get(ownerKey); c.mirror.ConnectedFor() > 0 && (!known || entry.Version() > term) {
			c.log.Warn("ownership was taken over", "term", term)
			return
		}
	}
}
