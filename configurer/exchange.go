package configurer

import (
	"context"

	"filberthaven.example/messenger"
	"github.com/samber/oops"
)

// RPC procedures between entry VMs.
const (
	fetchProcedure = "/configurer/fetch"
	offerProcedure = "/configurer/offer"
)

type fetchRequest struct {
	Known uint64 `cbor:"known"` // number of the revision in force on the calling VM
}

type fetchResponse struct {
	Revision uint64 `cbor:"revision"`       // number of the revision in force; 0: none
	Data     []byte `cbor:"data,omitempty"` // the revision as stored, only if newer than known
}

type offerRequest struct {
	Data []byte `cbor:"data"` // the offered revision as stored
}

type offerResponse struct {
	Revision uint64 `cbor:"revision"` // number of the revision in force after the offer
}

// Handle registers the handlers through which other entry VMs fetch and offer revisions.
func (c *Copy) Handle(m *messenger.Messenger, mux messenger.Mux) {
	messenger.Handle(m, mux, fetchProcedure, func(_ context.Context, request *fetchRequest) (*fetchResponse, error) {
		revision := c.Latest()
		if revision == nil {
			return &fetchResponse{}, nil
		}
		response := &fetchResponse{Revision: revision.number}
		if revision.number > request.Known {
			response.Data = revision.data
		}
		return response, nil
	})
	messenger.Handle(m, mux, offerProcedure, func(_ context.Context, request *offerRequest) (*offerResponse, error) {
		c.Offer(request.Data)
		return &offerResponse{Revision: c.Revision()}, nil
	})
}

// Fetch gets the revision from the entry VM at address and brings it into force if it is
// newer. It returns the number of the revision in force there, or 0 if there is none.
func (c *Copy) Fetch(ctx context.Context, m *messenger.Messenger, address string) (uint64, error) {
	response, err := messenger.Call[fetchRequest, fetchResponse](ctx, m, address, fetchProcedure, &fetchRequest{Known: c.Revision()})
	if err != nil {
		return 0, oops.In("configurer").Wrapf(err, "revision can't be fetched from %s", address)
	}
	if len(response.Data) > 0 {
		c.Offer(response.Data)
	}
	return response.Revision, nil
}

// Push offers the revision in force to the entry VM at address, or fetches from there if
// this copy has none. It returns the number of the revision in force there afterwards.
func (c *Copy) Push(ctx context.Context, m *messenger.Messenger, address string) (uint64, error) {
	revision := c.Latest()
	if revision == nil {
		return c.Fetch(ctx, m, address)
	}
	response, err := messenger.Call[offerRequest, offerResponse](ctx, m, address, offerProcedure, &offerRequest{Data: revision.data})
	if err != nil {
		return 0, oops.In("configurer").Wrapf(err, "revision can't be offered to %s", address)
	}
	return response.Revision, nil
}
