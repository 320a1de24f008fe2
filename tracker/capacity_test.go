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

// Sizes of the fleet in two years.
const (
	manyWorkers   = 2400
	manyCentres   = 7
	manyEntries   = 21
	manyEndpoints = 420
)

// wire counts the bytes of a connection in both directions.
type wire struct {
	net.Conn
	bytes *atomic.Int64
}

func (w wire) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	w.bytes.Add(int64(n))
	return n, err
}

func (w wire) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	w.bytes.Add(int64(n))
	return n, err
}

// processorTime returns what this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	qt.Assert(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// manyVMs returns the platform's list of the fleet in two years.
func manyVMs() []vmRecord {
	var records []vmRecord
	add := func(n int, record vmRecord) {
		for i := range n {
			record.Centre = fmt.Sprintf("pianura-%c", 'a'+i%manyCentres)
			record.ID = fmt.Sprintf("%s-%s-%d", record.Centre, record.Role, i)
			record.Address = fmt.Sprintf("10.%d.%d.%d:7070", i%manyCentres, i/250, i%250)
			if record.Role == "worker" {
				record.Rack = fmt.Sprintf("%s-rack-%d", record.Centre, i/160)
			}
			records = append(records, record)
		}
	}
	add(manyEntries, vmRecord{Role: "entry", State: "live", Incarnation: 1})
	add(manyWorkers, vmRecord{Role: "worker", CPU: 16_000, Memory: 64 << 10, State: "live", Incarnation: 1})
	add(manyEndpoints, vmRecord{Role: "endpoint", Service: "booking", Slots: 8, Connections: 64, State: "live", Incarnation: 1})
	return records
}

// BenchmarkList takes over the platform's list, whole as after a start, and one
// change of it.
func BenchmarkList(b *testing.B) {
	records := manyVMs()
	for _, changes := range []int{len(records), 1, 0} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			c := qt.New(b)
			data, err := json.Marshal(listAnswer{Revision: 1, VMs: records[:changes]})
			c.Assert(err, qt.IsNil)
			t, err := New()
			c.Assert(err, qt.IsNil)
			for b.Loop() {
				var answer listAnswer
				if err := json.Unmarshal(data, &answer); err != nil {
					b.Fatal(err)
				}
				t.apply(answer)
			}
			b.ReportMetric(float64(len(data)), "answer-B")
		})
	}
}

// BenchmarkMemory reports the memory of the list for each VM.
func BenchmarkMemory(b *testing.B) {
	records := manyVMs()
	data, err := json.Marshal(listAnswer{Revision: 1, VMs: records})
	qt.Assert(b, err, qt.IsNil)
	for b.Loop() {
		before := heap()
		var answer listAnswer
		qt.Assert(b, json.Unmarshal(data, &answer), qt.IsNil)
		t, err := New()
		qt.Assert(b, err, qt.IsNil)
		t.apply(answer)
		answer = listAnswer{}
		b.ReportMetric(float64(heap()-before)/float64(len(records)), "heap-B/vm")
		runtime.KeepAlive(t)
	}
}

// heap returns the bytes in use after a collection.
func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkWorkers is one look at the workers of a data centre, of which owners
// make two a second.
func BenchmarkWorkers(b *testing.B) {
	t, err := New()
	qt.Assert(b, err, qt.IsNil)
	t.apply(listAnswer{Revision: 1, VMs: manyVMs()})
	for b.Loop() {
		t.Workers("pianura-a")
	}
}

// BenchmarkBeat is one heartbeat between two entry VMs on loopback: its bytes
// with HTTP, and the processor time of both sides together.
func BenchmarkBeat(b *testing.B) {
	c := qt.New(b)
	var bytes atomic.Int64
	transport := messenger.NewTransport(nil)
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return wire{conn, &bytes}, err
	}
	m, err := messenger.New(messenger.WithClient(&http.Client{Transport: transport}, "http"))
	c.Assert(err, qt.IsNil)
	other, err := New(WithMessenger(m), WithSelf("pianura-b-entry-1", 1, "pianura-b"))
	c.Assert(err, qt.IsNil)
	mux := http.NewServeMux()
	other.Register(mux)
	server := httptest.NewServer(mux)
	b.Cleanup(server.Close)
	t, err := New(WithMessenger(m), WithSelf("pianura-a-entry-1", 1_790_000_000_000, "pianura-a"))
	c.Assert(err, qt.IsNil)
	vm := VM{id: "pianura-b-entry-1", address: server.Listener.Addr().String(), role: EntryRole}
	t.beatOne(b.Context(), vm)
	n, before, used := 0, bytes.Load(), processorTime(b)
	for b.Loop() {
		n++
		t.beatOne(b.Context(), vm)
	}
	b.ReportMetric(float64(bytes.Load()-before)/float64(n), "wire-B/op")
	b.ReportMetric(float64((processorTime(b)-used).Microseconds())/float64(n), "cpu-us/op")
}
