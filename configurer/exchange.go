package configurer

import (
	"context"

	"filberthaven.example/messenger"
	"github.com/samber/oops"
)

// Procedures between entry VMs.
const (
	fetchProcedure = "/configurer/fetch"
	offerProcedure = "/configurer/offer"
)

type fetchRequest struct {
	Known uint64 `cbor:"known"` // number of the newest revision that the asker has
}

type fetchResponse struct {
	Revision uint64 `cbor:"revision"`
	Data     []byte `cbor:"data,omitempty"` // only when newer than known
}

type offerRequest struct {
	Data []byte `cbor:"data"` // a stored revision
}

type offerResponse struct {
	Revision uint64 `cbor:"revision"` // in force after the offer
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

// Fetch asks the entry VM at address for a newer revision, brings it into force,
// and returns the number that the other has.
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

// Push offers the revision in force to the entry VM at address and returns the
// number that the other has then.
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
