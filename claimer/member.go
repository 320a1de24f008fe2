package claimer

import (
	"context"
	"encoding/json"
	"errors"

	"filberthaven.example/keeper"
	"github.com/cenkalti/backoff/v5"
)

// record describes an entry VM to its peers. It is the value of the VM's own key and,
// for the owner, of the owner's key.
type record struct {
	ID          string `json:"id"`
	Incarnation string `json:"life"` // differs with each start of the process
	Address     string `json:"address"`
	Centre      string `json:"centre"`
	// Processor is the part of a core that the VM may use; 0 if unknown.
	Processor float64 `json:"processor,omitempty"`
}

// Member is a registered entry VM.
type Member struct {
	id, address, centre string
	processor           float64 // part of a core that the VM may use; 0 if unknown
}

// MemberOption configures a Member.
type MemberOption func(*Member)

// WithMemberProcessor sets the part of a core that the VM may use.
func WithMemberProcessor(share float64) MemberOption { return func(m *Member) { m.processor = share } }

// NewMember returns an entry VM that its peers call at address.
func NewMember(id, address, centre string, options ...MemberOption) Member {
	m := Member{id: id, address: address, centre: centre}
	for _, option := range options {
		option(&m)
	}
	return m
}

// ID returns the id of the VM.
func (m Member) ID() string { return m.id }

// Address returns the address at which peers call the VM.
func (m Member) Address() string { return m.address }

// Processor returns the part of a core that the VM may use, 0 if unknown.
func (m Member) Processor() float64 { return m.processor }

// Centre returns the data centre of the VM.
func (m Member) Centre() string { return m.centre }

// register keeps the VM's own record in the store until ctx ends, and then deletes it.
func (c *Claimer) register(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = retryDelay, maxRegisterBackoff
	var warnings Repeats
	for ctx.Err() == nil {
		lease, err := c.store.Grant(ctx, memberTTL)
		if err == nil {
			err = c.putRecord(ctx, lease)
		}
		if err == nil {
			retry.Reset()
		}
		for err == nil && ctx.Err() == nil {
			keeper.Sleep(ctx, memberTTL/renewalsPerTTL)
			if err = c.store.Renew(ctx, lease); err != nil && !errors.Is(err, keeper.ErrLeaseExpired) && ctx.Err() == nil {
				// The lease may survive an outage of the store.
				keeper.Sleep(ctx, retryDelay)
				err = c.store.Renew(ctx, lease)
			}
		}
		if ctx.Err() == nil {
			if repeats, due := warnings.Next(c.now()); due {
				c.log.Warn("entry VM not registered; retrying", "repeats", repeats, "error", err)
			}
		}
		keeper.Sleep(ctx, retry.NextBackOff())
	}
	// Delete the record, so that peers do not wait for its lease to expire.
	if entry, found := c.mirror.Get(vmPrefix + c.self.ID); found {
		closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), retryDelay)
		defer cancel()
		if err := c.store.Delete(closing, entry.Key(), entry.Version()); err != nil {
			c.log.Info("failed to delete VM record; it will expire", "error", err)
		}
	}
}

// putRecord writes the VM's own record, also over one of an earlier incarnation.
func (c *Claimer) putRecord(ctx context.Context, lease keeper.LeaseID) error {
	value, err := json.Marshal(c.self)
	if err != nil {
		return err
	}
	key := vmPrefix + c.self.ID
	version := uint64(0) // of the VM's record in the store, 0 if there is none
	if entry, err := c.store.Get(ctx, key); err == nil {
		version = entry.Version()
	} else if !errors.Is(err, keeper.ErrNotFound) {
		return err
	}
	_, err = c.store.Put(ctx, key, value, version, lease)
	return err
}

// vmCount returns the number of registered entry VMs, at least 1.
func (c *Claimer) vmCount() int { return max(1, len(c.roster.list())) }

// Members returns the registered entry VMs, sorted by id. The caller must not modify
// the list.
func (c *Claimer) Members() []Member { return c.roster.list() }

func (r record) member() Member {
	return NewMember(r.ID, r.Address, r.Centre, WithMemberProcessor(r.Processor))
}
