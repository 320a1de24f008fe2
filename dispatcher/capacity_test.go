package dispatcher

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"filberthaven.example/messenger"
	"filberthaven.example/placer"
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

// countingClient returns a client that counts the bytes of its connections.
func countingClient(bytes *atomic.Int64) *http.Client {
	transport := messenger.NewTransport(nil)
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, bytes}, err
	}
	return &http.Client{Transport: transport}
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	qt.Assert(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// benchGuard returns the guard of a worker that reports n running tasks.
func benchGuard(n int) *Guard {
	var running []RunningTask
	for i := range n {
		attempt := NewAttempt(placer.NewTaskID("pianura-a.0-3-18fa2c", i), 1)
		running = append(running, NewRunningTask(attempt, 3, placer.NewResources(730, 1890, 0)))
	}
	return NewGuard(Agent{
		Fence:       func(uint64) {},
		Report:      func() Report { return NewReport("pianura-a-worker-117-1", running, nil) },
		Start:       func(uint64, Attempt, TaskSpec) error { return nil },
		Acknowledge: func(Attempt) error { return nil },
		Renew:       func(time.Time) {},
		Expire:      func() {},
	})
}

// BenchmarkHeartbeat measures one exchange between an owner and a worker on
// loopback: its bytes including HTTP, and the processor time of both sides
// together.
func BenchmarkHeartbeat(b *testing.B) {
	for _, tasks := range []int{0, 22, 54} {
		b.Run(fmt.Sprintf("running=%d", tasks), func(b *testing.B) { benchExchange(b, tasks, nil) })
	}
	spec := NewTaskSpec(placer.NewJobSpec("pianura-a.0-3-18fa2c", "team-117", placer.NewResources(1000, 2048, 0),
		placer.WithName("overnight"), placer.WithEstimate(time.Minute)))
	start := StartOrder(NewAttempt(placer.NewTaskID("pianura-a.0-3-18fa2c", 1), 1), spec)
	acknowledge := AcknowledgeOrder(NewAttempt(placer.NewTaskID("pianura-a.0-3-18fa2c", 2), 1))
	b.Run("running=22,start", func(b *testing.B) { benchExchange(b, 22, []Order{start}) })
	b.Run("running=22,start,acknowledge", func(b *testing.B) { benchExchange(b, 22, []Order{start, acknowledge}) })
}

// benchExchange measures exchanges in which the owner sends orders and the worker
// reports a number of running tasks.
func benchExchange(b *testing.B, tasks int, orders []Order) {
	c := qt.New(b)
	var bytes atomic.Int64
	m, err := messenger.New(messenger.WithClient(countingClient(&bytes), "http"))
	c.Assert(err, qt.IsNil)
	mux := http.NewServeMux()
	guard := benchGuard(tasks)
	b.Cleanup(guard.Close)
	Handle(m, mux, guard)
	server := httptest.NewServer(mux)
	b.Cleanup(server.Close)
	d := New(WithMessenger(m, func(string) (string, bool) { return server.Listener.Addr().String(), true }))
	_, err = d.Fence(b.Context(), "w", 3)
	c.Assert(err, qt.IsNil)
	n, before, used := 0, bytes.Load(), processorTime(b)
	for b.Loop() {
		n++
		if _, err := d.Deliver(b.Context(), "w", 3, time.Minute, orders); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load()-before)/float64(n), "wire-B/op")
	b.ReportMetric(float64((processorTime(b)-used).Microseconds())/float64(n), "cpu-us/op")
}

// BenchmarkGuard measures the worker's part of a heartbeat without the network.
func BenchmarkGuard(b *testing.B) {
	guard := benchGuard(22)
	b.Cleanup(guard.Close)
	sequence := uint64(0)
	for b.Loop() {
		sequence++
		response, err := guard.Deliver(b.Context(), Batch{term: 3, sequence: sequence})
		if err != nil {
			b.Fatal(err)
		}
		newResponseMessage(response)
	}
}
