package router_test

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filberthaven.example/admitter"
	"filberthaven.example/emulator"
	"filberthaven.example/router"
	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
)

var (
	latencyRun  = flag.Bool("latency", false, "run the paced latency test")
	latencyTime = flag.Duration("latency-time", time.Second, "time of each of its windows")
)

// The paced latency test.
const (
	pacedRate    = 5000 // requests per second
	pacedWindows = 10   // of each way, in turn
	addedTarget  = time.Millisecond
	fleetSize    = 17 // executors of a data centre
)

// fleet is a gateway with a data centre's executors.
type fleet struct {
	*gateway
	client *http.Client
	next   atomic.Uint64
}

// newFleet returns a gateway with admission, log lines and executors.
func newFleet(tb testing.TB) *fleet {
	logger := hclog.New(&hclog.LoggerOptions{Output: io.Discard, Level: hclog.Info, JSONFormat: true})
	a, err := admitter.New()
	qt.New(tb).Assert(err, qt.IsNil)
	f := &fleet{}
	f.gateway = newGateway(tb, router.WithLogger(logger))
	router.WithRequests(router.Requests{Acquire: f.acquire, Admit: a.Admit, NextPeer: f.forwardTo})(f.Router)
	for i := range fleetSize {
		f.addExecutor(tb, fmt.Sprint("e", i), emulator.DefaultSlots)
	}
	f.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, MaxIdleConns: 4096}}
	tb.Cleanup(f.client.CloseIdleConnections)
	return f
}

// direct returns the URL of one executor in turn.
func (f *fleet) direct() string {
	return "http://" + f.slots[f.next.Add(1)%fleetSize].address + "/confirm"
}

// through returns the URL at the gateway.
func (f *fleet) through() string { return f.server.URL + "/v1/services/prenota/confirm" }

// get sends one request and reads its answer.
func (f *fleet) get(url string) error {
	request, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+f.keys["cremona"])
	response, err := f.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

// window sends requests at the paced rate and records how long each took.
func (f *fleet) window(url func() string, length time.Duration, histogram *hdrhistogram.Histogram) (failed int64) {
	var group sync.WaitGroup
	var mu sync.Mutex
	var failures atomic.Int64
	const interval = time.Second / pacedRate
	start := time.Now()
	for i := range int(length / interval) {
		time.Sleep(time.Until(start.Add(time.Duration(i) * interval)))
		group.Go(func() {
			begin := time.Now()
			if f.get(url()) != nil {
				failures.Add(1)
			}
			took := time.Since(begin)
			mu.Lock()
			defer mu.Unlock()
			_ = histogram.RecordValue(took.Microseconds())
		})
	}
	group.Wait()
	return failures.Load()
}

// TestAddedLatency compares requests through the gateway with direct ones, in
// turn within one run. It needs a quiet machine and is run by its flag.
func TestAddedLatency(t *testing.T) {
	if !*latencyRun {
		t.Skip("run with -latency")
	}
	c := qt.New(t)
	f := newFleet(t)
	discard := hdrhistogram.New(1, 60_000_000, 3)
	f.window(f.direct, *latencyTime, discard)
	f.window(f.through, *latencyTime, discard)
	direct, through := hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
	var failed int64
	for range pacedWindows {
		failed += f.window(f.direct, *latencyTime, direct)
		failed += f.window(f.through, *latencyTime, through)
	}
	for _, q := range []float64{50, 90, 99, 99.9} {
		a, b := direct.ValueAtQuantile(q), through.ValueAtQuantile(q)
		t.Logf("p%g: direct %d us, through %d us, added %d us", q, a, b, b-a)
	}
	t.Logf("%d requests each way, %d failed", direct.TotalCount(), failed)
	c.Assert(failed, qt.Equals, int64(0))
	added := time.Duration(through.ValueAtQuantile(99)-direct.ValueAtQuantile(99)) * time.Microsecond
	c.Assert(added <= addedTarget, qt.IsTrue, qt.Commentf("%v added at p99", added))
}

// benchmarkRequests sends requests one after another.
func benchmarkRequests(b *testing.B, url func(*fleet) string) {
	f := newFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		if err := f.get(url(f)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDirect is the base of BenchmarkThrough: caller and executor alone.
func BenchmarkDirect(b *testing.B) { benchmarkRequests(b, (*fleet).direct) }

// BenchmarkThrough adds the gateway between caller and executor.
func BenchmarkThrough(b *testing.B) { benchmarkRequests(b, (*fleet).through) }
