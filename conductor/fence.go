package conductor

import (
	"context"
	"sync/atomic"

	"filberthaven.example/keeper"
	"filberthaven.example/planner"
)

// newestVersion is the highest version of an entry that answers of the store have named. The
// versions of all writes to the store rise, and a term is the version of its claim.
type newestVersion struct{ atomic.Uint64 }

func (v *newestVersion) observe(version uint64) {
	for {
		old := v.Load()
		if version <= old || v.CompareAndSwap(old, version) {
			return
		}
	}
}

// wrap returns the store, whose answers v observes from then on.
func (v *newestVersion) wrap(store keeper.Store) keeper.Store {
	put, get, list := store.Put, store.Get, store.List
	store.Put = func(ctx context.Context, key string, value []byte, expect uint64, lease keeper.LeaseID) (uint64, error) {
		version, err := put(ctx, key, value, expect, lease)
		if err == nil {
			v.observe(version)
		}
		return version, err
	}
	store.Get = func(ctx context.Context, key string) (keeper.Entry, error) {
		entry, err := get(ctx, key)
		if err == nil {
			v.observe(entry.Version())
		}
		return entry, err
	}
	store.List = func(ctx context.Context, prefix string) ([]keeper.Entry, error) {
		entries, err := list(ctx, prefix)
		if err == nil {
			for _, entry := range entries {
				v.observe(entry.Version())
			}
		}
		return entries, err
	}
	return store
}

// fenceOf returns the fence for calls to the worker's known incarnation. It is higher than that of
// each call to an earlier incarnation that acknowledged ends, since the journal has been written to
// between the two, so the worker refuses these calls if they are executed late. It is lower than
// the term of each later owner: while this VM owns the fleet, no claim follows the version that it
// has seen. The caller holds c.mu.
func (c *Conductor) fenceOf(s *session) uint64 { return max(c.term, s.fence) }

// raiseFence chooses the fence for the calls to an incarnation that begins now. The caller holds
// c.mu.
func (c *Conductor) raiseFence(s *session) {
	newest := c.newestVersion.Load()
	if c.isOwner() { // after newest was seen
		s.fence = max(s.fence, newest)
	}
}

// refusedAsOutdated reports whether a worker has refused a call for its fence since the call was for an
// earlier incarnation, and not since the worker has a newer owner: calls carry a higher one by now.
func (c *Conductor) refusedAsOutdated(s *session, fence uint64, outcome planner.Outcome) bool {
	if outcome != planner.StaleTerm {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return fence < c.fenceOf(s)
}
