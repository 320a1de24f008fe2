package configurer

import (
	"context"
	"errors"
	"sync"
	"time"

	"filberthaven.example/messenger"
)

// usesProcedure is the RPC procedure that returns when an entry VM last accepted each key.
const usesProcedure = "/configurer/uses"

type usesRequest struct{}

type usesResponse struct {
	Uses map[string]time.Time `cbor:"uses"` // time of the last use by id of the key; only keys used there
}

// WithLastUse sets the function that returns when this entry VM last accepted a key, and
// whether it has. By default, no key has been used.
func WithLastUse(lastUse func(id string) (time.Time, bool)) ReplicatorOption {
	return func(r *Replicator) { r.lastUse = lastUse }
}

// Handle registers the handler from which other entry VMs get the uses of keys.
func (r *Replicator) Handle(m *messenger.Messenger, mux messenger.Mux) {
	messenger.Handle(m, mux, usesProcedure, func(context.Context, *usesRequest) (*usesResponse, error) {
		return &usesResponse{Uses: r.localUses()}, nil
	})
}

// localUses returns when this entry VM last accepted each declared key, by id. Keys that it
// hasn't accepted are left out.
func (r *Replicator) localUses() map[string]time.Time {
	uses := map[string]time.Time{}
	for key := range r.copy.document().Keys() {
		if used, ok := r.lastUse(key.id); ok {
			uses[key.id] = used
		}
	}
	return uses
}

// Uses returns when any entry VM last accepted each key, by id. If some entry VMs weren't
// reached, it returns the uses on the others and the joined errors.
func (r *Replicator) Uses(ctx context.Context) (map[string]time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var mu sync.Mutex
	uses, failures := r.localUses(), []error{}
	var group sync.WaitGroup
	for _, peer := range r.peers() {
		group.Go(func() {
			response, err := messenger.Call[usesRequest, usesResponse](ctx, r.messenger, peer.address, usesProcedure, &usesRequest{})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failures = append(failures, err)
				return
			}
			mergeUses(uses, response.Uses)
		})
	}
	group.Wait()
	return uses, errors.Join(failures...)
}

// mergeUses merges others into uses. The later time of each key is kept.
func mergeUses(uses, others map[string]time.Time) {
	for id, used := range others {
		if used.After(uses[id]) {
			uses[id] = used
		}
	}
}
