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
	latencyTime = flag.Duration("latency-time", time.Second, "length of each window of the paced latency test")
)

// Settings of the paced latency test.
const (
	pacedRate     = 5000             // requests per second
	pacedWindows  = 10               // of each kind: direct and through the gateway
	addedTarget   = time.Millisecond // at p99
	executorCount = 17               // executors of one data centre
)

// latencyFixture is a gateway with the executors of a data centre.
type latencyFixture struct {
	*gateway
	client *http.Client
	next   atomic.Uint64 // modulo executorCount: index of the last executor that direct returned
}

// newLatencyFixture returns a gateway with admission, logging and executors.
func newLatencyFixture(tb testing.TB) *latencyFixture {
	logger := hclog.New(&hclog.LoggerOptions{Output: io.Discard, Level: hclog.Info, JSONFormat: true})
	a, err := admitter.New()
	qt.New(tb).Assert(err, qt.IsNil)
	f := &latencyFixture{}
	f.gateway = newGateway(tb, router.WithLogger(logger))
	router.WithRequests(router.Requests{Acquire: f.acquire, Admit: a.Admit, NextPeer: f.nextPeer})(f.Router)
	for i := range executorCount {
		f.addExecutor(tb, fmt.Sprint("e", i), emulator.DefaultSlots)
	}
	f.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, MaxIdleConns: 4096}}
	tb.Cleanup(f.client.CloseIdleConnections)
	return f
}

// direct returns the URL of the next executor in turn.
func (f *latencyFixture) direct() string {
	return "http://" + f.executors[f.next.Add(1)%executorCount].address + "/confirm"
}

// through returns the URL of the service at the gateway.
func (f *latencyFixture) through() string { return f.server.URL + "/v1/services/prenota/confirm" }

// get sends one request and reads the response.
func (f *latencyFixture) get(url string) error {
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

// runWindow sends requests at pacedRate, records how long each takes and returns how
// many failed.
func (f *latencyFixture) runWindow(url func() string, length time.Duration, histogram *hdrhistogram.Histogram) (failed int64) {
	var group sync.WaitGroup
	var mu sync.Mutex
	var failures atomic.Int64
	const interval = time.Second / pacedRate
	start := time.Now()
	for i := range int(length / interval) {
		time.Sleep(time.Until(start.Add(time.Duration(i) * interval)))
		group.Go(func() {
			sent := time.Now()
			if f.get(url()) != nil {
				failures.Add(1)
			}
			took := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			_ = histogram.RecordValue(took.Microseconds())
		})
	}
	group.Wait()
	return failures.Load()
}

// TestAddedLatency checks the latency that the gateway adds to direct requests. Windows
// of both kinds alternate within one run. It needs an idle machine, so it runs only with
// the flag -latency.
func TestAddedLatency(t *testing.T) {
	if !*latencyRun {
		t.Skip("run with -latency")
	}
	c := qt.New(t)
	f := newLatencyFixture(t)
	warmUp := hdrhistogram.New(1, 60_000_000, 3)
	f.runWindow(f.direct, *latencyTime, warmUp)
	f.runWindow(f.through, *latencyTime, warmUp)
	direct, through := hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
	var failed int64
	for range pacedWindows {
		failed += f.runWindow(f.direct, *latencyTime, direct)
		failed += f.runWindow(f.through, *latencyTime, through)
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
func benchmarkRequests(b *testing.B, url func(*latencyFixture) string) {
	f := newLatencyFixture(b)
	b.ReportAllocs()
	for b.Loop() {
		if err := f.get(url(f)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDirect sends requests straight to the executors, as the baseline of
// BenchmarkThrough.
func BenchmarkDirect(b *testing.B) { benchmarkRequests(b, (*latencyFixture).direct) }

// BenchmarkThrough sends requests to the executors through the gateway.
func BenchmarkThrough(b *testing.B) { benchmarkRequests(b, (*latencyFixture).through) }
