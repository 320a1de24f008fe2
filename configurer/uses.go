package configurer

import (
	"context"
	"errors"
	"sync"
	"time"

	"filberthaven.example/messenger"
)

// usesProcedure asks an entry VM when it last accepted each key.
const usesProcedure = "/configurer/uses"

type usesRequest struct{}

type usesResponse struct {
	Uses map[string]time.Time `cbor:"uses"` // by id of the key; only keys used there
}

// WithLastUse sets what tells when this entry VM last accepted a key.
func WithLastUse(lastUse func(id string) (time.Time, bool)) ReplicatorOption {
	return func(s *Replicator) { s.lastUse = lastUse }
}

// Handle registers the handler through which other entry VMs ask for the uses of keys.
func (s *Replicator) Handle(m *messenger.Messenger, mux messenger.Mux) {
	messenger.Handle(m, mux, usesProcedure, func(context.Context, *usesRequest) (*usesResponse, error) {
		return &usesResponse{Uses: s.ownUses()}, nil
	})
}

// ownUses returns when this entry VM last accepted each key that it has seen.
func (s *Replicator) ownUses() map[string]time.Time {
	uses := map[string]time.Time{}
	for key := range s.copy.document().Keys() {
		if used, ok := s.lastUse(key.id); ok {
			uses[key.id] = used
		}
	}
	return uses
}

// Uses returns when any entry VM last accepted each key. The error joins those of the entry
// VMs that weren't reached; what the others know is returned all the same.
func (s *Replicator) Uses(ctx context.Context) (map[string]time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	var mu sync.Mutex
	uses, failures := s.ownUses(), []error{}
	var group sync.WaitGroup
	for _, peer := range s.peers() {
		group.Go(func() {
			response, err := messenger.Call[usesRequest, usesResponse](ctx, s.messenger, peer.address, usesProcedure, &usesRequest{})
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

// mergeUses keeps the later time of each key.
func mergeUses(uses, others map[string]time.Time) {
	for id, used := range others {
		if used.After(uses[id]) {
			uses[id] = used
		}
	}
}
