package elector_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"filberthaven.example/emulator"
	"filberthaven.example/keeper"
	qt "github.com/frankban/quicktest"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkWatch measures the bytes over HTTP of one watch that returns a given
// number of renewals of entry VMs.
func BenchmarkWatch(b *testing.B) {
	for _, changes := range []int{1, 10, 21} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) { benchWatch(b, changes) })
	}
}

func benchWatch(b *testing.B, changes int) {
	c := qt.New(b)
	store := emulator.NewStore()
	server := httptest.NewServer(emulator.NewPlatform(store))
	b.Cleanup(server.Close)
	var bytes atomic.Int64
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, &bytes}, err
	}}
	client, err := keeper.New(server.URL, keeper.WithHTTPClient(&http.Client{Transport: transport}),
		keeper.WithName("pianura-a-entry-1"), keeper.WithRates(1e6, 1e6))
	c.Assert(err, qt.IsNil)
	const renewal = `{"incarnation":1790000000000000000,"address":"10.20.1.10:7443","centre":"pianura-a","count":123456}`
	for i := range changes {
		_, err := store.KV().Put(b.Context(), fmt.Sprintf("live/vm/pianura-a-entry-%d", i), []byte(renewal), 0, 0)
		c.Assert(err, qt.IsNil)
	}
	n := 0
	for b.Loop() {
		n++
		if _, _, err := client.Store().Watch(b.Context(), "live/", 0); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(n), "wire-B/op")
}
