package keeper_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"filberthaven.example/keeper"
	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
)

// serve starts an HTTP server with the handler and returns a store whose calls go to that
// server.
func serve(c *qt.C, handler http.HandlerFunc, options ...keeper.ClientOption) keeper.Store {
	c.Helper()
	server := httptest.NewServer(handler)
	c.Cleanup(server.Close)
	options = append([]keeper.ClientOption{keeper.WithTimeout(300 * time.Millisecond)}, options...)
	client, err := keeper.New(server.URL, options...)
	c.Assert(err, qt.IsNil)
	return client.Store()
}

// assertErrors asserts that a get fails with the error read, and that a put and a delete
// fail with the error write.
func assertErrors(c *qt.C, store keeper.Store, read, write error) {
	c.Helper()
	_, err := store.Get(context.Background(), "k")
	c.Assert(err, qt.ErrorIs, read)
	_, err = store.Put(context.Background(), "k", []byte("v"), 0, 0)
	c.Assert(err, qt.ErrorIs, write)
	c.Assert(store.Delete(context.Background(), "k", 1), qt.ErrorIs, write)
}

func TestClientErrors(t *testing.T) {
	c := qt.New(t)
	c.Run("connection refused", func(c *qt.C) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		address := listener.Addr().String()
		c.Assert(listener.Close(), qt.IsNil)
		client, err := keeper.New(address)
		c.Assert(err, qt.IsNil)
		assertErrors(c, client.Store(), keeper.ErrUnavailable, keeper.ErrUnavailable)
	})
	c.Run("connection broken", func(c *qt.C) {
		store := serve(c, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		assertErrors(c, store, keeper.ErrUnavailable, keeper.ErrOutcomeUnknown)
	})
	c.Run("no response in time", func(c *qt.C) {
		store := serve(c, func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // otherwise the server does not notice that the client disconnects
			<-r.Context().Done()
		})
		assertErrors(c, store, keeper.ErrUnavailable, keeper.ErrOutcomeUnknown)
	})
	c.Run("an error status without a known error", func(c *qt.C) {
		store := serve(c, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "bad gateway", http.StatusBadGateway) })
		assertErrors(c, store, keeper.ErrUnavailable, keeper.ErrOutcomeUnknown)
	})
	c.Run("a truncated response", func(c *qt.C) {
		store := serve(c, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"vers`)) })
		_, err := store.Put(context.Background(), "k", nil, 0, 0)
		c.Assert(err, qt.ErrorIs, keeper.ErrOutcomeUnknown)
	})
	for name, want := range map[string]error{
		"conflict": keeper.ErrConflict, "unavailable": keeper.ErrUnavailable, "expired": keeper.ErrLeaseExpired,
	} {
		c.Run(name, func(c *qt.C) {
			store := serve(c, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusConflict)
				_, _ = w.Write([]byte(`{"error":"` + name + `"}`))
			})
			assertErrors(c, store, want, want)
		})
	}
	c.Run("no address", func(c *qt.C) {
		_, err := keeper.New("http://")
		c.Assert(err, qt.ErrorMatches, ".*no host:port or URL.*")
	})
}

func TestWriteRateLimit(t *testing.T) {
	c := qt.New(t)
	registry := metrics.NewRegistry()
	calls := 0
	store := serve(c, func(w http.ResponseWriter, _ *http.Request) {
		calls++
		_, _ = w.Write([]byte(`{"version":1}`))
	}, keeper.WithRates(1, 2), keeper.WithRegistry(registry))
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	for range 2 {
		_, err := store.Put(ctx, "k", nil, 0, 0)
		c.Assert(err, qt.IsNil)
	}
	_, err := store.Put(ctx, "k", nil, 0, 0)
	c.Assert(err, qt.ErrorIs, keeper.ErrUnavailable)
	c.Assert(calls, qt.Equals, 2)
	c.Assert(registry.Get("store.writes").(metrics.Counter).Count(), qt.Equals, int64(3))
	c.Assert(registry.Get("store.errors").(metrics.Counter).Count(), qt.Equals, int64(1))
}
