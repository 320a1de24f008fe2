package claimer

import (
	"context"
	"encoding/json"
	"errors"

	"filberthaven.example/keeper"
	"github.com/cenkalti/backoff/v5"
)

// record is what an entry VM tells others of itself.
type record struct {
	ID      string `json:"id"`
	Life    string `json:"life"` // differs with each start of the process
	Address string `json:"address"`
	Centre  string `json:"centre"`
	// Processor is the part of a core that the VM may use; 0 when it isn't told.
	Processor float64 `json:"processor,omitempty"`
}

// Member is an entry VM that is registered.
type Member struct{ id, address, centre string }

// NewMember returns an entry VM that its peers call at address.
func NewMember(id, address, centre string) Member { return Member{id, address, centre} }

// ID returns the name of the VM.
func (m Member) ID() string { return m.id }

// Address returns where its peers call it.
func (m Member) Address() string { return m.address }

// Centre returns its data centre.
func (m Member) Centre() string { return m.centre }

// register keeps the VM's own record alive.
func (c *Claimer) register(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = retryPause, registerLimit
	for ctx.Err() == nil {
		lease, err := c.store.Grant(ctx, memberTTL)
		if err == nil {
			err = c.putMember(ctx, lease)
		}
		if err == nil {
			retry.Reset()
		}
		for err == nil && ctx.Err() == nil {
			keeper.Sleep(ctx, memberTTL/renewals)
			if err = c.store.Renew(ctx, lease); err != nil && !errors.Is(err, keeper.ErrLeaseExpired) && ctx.Err() == nil {
				// The lease may outlast an outage of the store.
				keeper.Sleep(ctx, retryPause)
				err = c.store.Renew(ctx, lease)
			}
		}
		if ctx.Err() == nil {
			c.log.Warn("registration lost", "error", err)
		}
		keeper.Sleep(ctx, retry.NextBackOff())
	}
	// The record goes at once after a planned stop.
	if entry, found := c.mirror.Get(vmPrefix + c.self.ID); found {
		after, cancel := context.WithTimeout(context.WithoutCancel(ctx), retryPause)
		defer cancel()
		if err := c.store.Delete(after, entry.Key(), entry.Version()); err != nil {
			c.log.Info("record outlives the process until its lease ends", "error", err)
		}
	}
}

func (c *Claimer) putMember(ctx context.Context, lease keeper.LeaseID) error {
	value, err := json.Marshal(c.self)
	if err != nil {
		return err
	}
	key := vmPrefix + c.self.ID
	expect := uint64(0)
	if entry, err := c.store.Get(ctx, key); err == nil {
		expect = entry.Version()
	} else if !errors.Is(err, keeper.ErrNotFound) {
		return err
	}
	_, err = c.store.Put(ctx, key, value, expect, lease)
	return err
}

// crowd returns the number of entry VMs that are known.
func (c *Claimer) crowd() int { return max(1, len(c.roster.list())) }

// Members returns the registered entry VMs by id; the list is not to be changed.
func (c *Claimer) Members() []Member { return c.roster.list() }

// member returns the VM of a record.
func (r record) member() Member { return Member{r.ID, r.Address, r.Centre} }
