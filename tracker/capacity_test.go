package tracker

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"filberthaven.example/messenger"
	qt "github.com/frankban/quicktest"
)

// The size of the fleet that is expected in two years.
const (
	fleetWorkers   = 2400
	fleetCentres   = 7
	fleetEntries   = 21
	fleetEndpoints = 420
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

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	qt.Assert(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// fleetRecords returns the platform's list of the fleet that is expected in two years.
func fleetRecords() []vmRecord {
	var records []vmRecord
	add := func(n int, record vmRecord) {
		for i := range n {
			record.Centre = fmt.Sprintf("pianura-%c", 'a'+i%fleetCentres)
			record.ID = fmt.Sprintf("%s-%s-%d", record.Centre, record.Role, i)
			record.Address = fmt.Sprintf("10.%d.%d.%d:7070", i%fleetCentres, i/250, i%250)
			if record.Role == "worker" {
				record.Rack = fmt.Sprintf("%s-rack-%d", record.Centre, i/160)
			}
			records = append(records, record)
		}
	}
	add(fleetEntries, vmRecord{Role: "entry", State: "live", Incarnation: 1})
	add(fleetWorkers, vmRecord{Role: "worker", CPU: 16_000, Memory: 64 << 10, State: "live", Incarnation: 1})
	add(fleetEndpoints, vmRecord{Role: "endpoint", Service: "booking", Slots: 8, Connections: 64, State: "live", Incarnation: 1})
	return records
}

// BenchmarkList measures decoding and applying a response of the platform that has
// the whole list, one VM or none. Each iteration applies the same response, so the
// VMs change in the first iteration only.
func BenchmarkList(b *testing.B) {
	records := fleetRecords()
	for _, changes := range []int{len(records), 1, 0} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			c := qt.New(b)
			data, err := json.Marshal(listResponse{Revision: 1, VMs: records[:changes]})
			c.Assert(err, qt.IsNil)
			t, err := New()
			c.Assert(err, qt.IsNil)
			for b.Loop() {
				var response listResponse
				if err := json.Unmarshal(data, &response); err != nil {
					b.Fatal(err)
				}
				t.apply(response)
			}
			b.ReportMetric(float64(len(data)), "answer-B")
		})
	}
}

// BenchmarkMemory measures the memory of the list per VM.
func BenchmarkMemory(b *testing.B) {
	records := fleetRecords()
	data, err := json.Marshal(listResponse{Revision: 1, VMs: records})
	qt.Assert(b, err, qt.IsNil)
	for b.Loop() {
		before := heapInUse()
		var response listResponse
		qt.Assert(b, json.Unmarshal(data, &response), qt.IsNil)
		t, err := New()
		qt.Assert(b, err, qt.IsNil)
		t.apply(response)
		response = listResponse{}
		b.ReportMetric(float64(heapInUse()-before)/float64(len(records)), "heap-B/vm")
		runtime.KeepAlive(t)
	}
}

// heapInUse returns the bytes of the heap in use after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkWorkers measures one read of the workers of a data centre. An owner
// makes two a second.
func BenchmarkWorkers(b *testing.B) {
	t, err := New()
	qt.Assert(b, err, qt.IsNil)
	t.apply(listResponse{Revision: 1, VMs: fleetRecords()})
	for b.Loop() {
		t.Workers("pianura-a")
	}
}

// BenchmarkBeat measures one heartbeat between two entry VMs on loopback: its
// bytes including HTTP, and the processor time of both sides together.
func BenchmarkBeat(b *testing.B) {
	c := qt.New(b)
	var bytes atomic.Int64
	transport := messenger.NewTransport(nil)
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, &bytes}, err
	}
	m, err := messenger.New(messenger.WithClient(&http.Client{Transport: transport}, "http"))
	c.Assert(err, qt.IsNil)
	callee, err := New(WithMessenger(m), WithSelf("pianura-b-entry-1", 1, "pianura-b"))
	c.Assert(err, qt.IsNil)
	mux := http.NewServeMux()
	callee.Register(mux)
	server := httptest.NewServer(mux)
	b.Cleanup(server.Close)
	t, err := New(WithMessenger(m), WithSelf("pianura-a-entry-1", 1_790_000_000_000, "pianura-a"))
	c.Assert(err, qt.IsNil)
	vm := VM{id: "pianura-b-entry-1", address: server.Listener.Addr().String(), role: EntryRole}
	t.sendHeartbeat(b.Context(), vm)
	n, before, used := 0, bytes.Load(), processorTime(b)
	for b.Loop() {
		n++
		t.sendHeartbeat(b.Context(), vm)
	}
	b.ReportMetric(float64(bytes.Load()-before)/float64(n), "wire-B/op")
	b.ReportMetric(float64((processorTime(b)-used).Microseconds())/float64(n), "cpu-us/op")
}
