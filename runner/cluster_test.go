package runner

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/narrator"
	"filberthaven.example/platform/imitator"
	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// cluster is a set of entry VMs in this process on a fake platform.
type cluster struct {
	*quicktest.C
	platform *imitator.Platform
	vms      []*vm
	logs     *syncBuffer
}

// vm is one entry VM.
type vm struct {
	runner  *Runner
	address string // for callers
	stop    context.CancelFunc
	done    chan error // result of Run
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(data)
}

func (b *syncBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.String()
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress(c *quicktest.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer listener.Close()
	return listener.Addr().String()
}

func newCluster(t *testing.T, vms int) *cluster {
	cl := &cluster{C: quicktest.New(t), platform: imitator.New(7), logs: &syncBuffer{}}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(cl.logs.text())
		}
	})
	t.Cleanup(cl.platform.Close)
	cl.Assert(cl.platform.Configure(3), quicktest.IsNil)
	for n := range 4 {
		cl.Assert(cl.platform.AddExecutor(fmt.Sprintf("w%d", n), "s", "a", 4000), quicktest.IsNil)
	}
	for n := range vms {
		cl.start(n)
	}
	return cl
}

// start starts the VM with index n. Another process may take a free address before the VM does;
// the VM then starts with other ones.
func (cl *cluster) start(n int) {
	for !cl.tryStart(n) {
	}
}

// tryStart starts the VM with index n, unless one of its addresses is in use by now.
func (cl *cluster) tryStart(n int) bool {
	settings := &Settings{
		id: fmt.Sprintf("vm%d", n), centre: "a", callers: freeAddress(cl.C), ready: freeAddress(cl.C), internal: freeAddress(cl.C),
		store: cl.platform.StoreAddress, advice: cl.platform.AdviceAddress, lease: 2 * time.Second, drain: 100 * time.Millisecond,
	}
	runner, err := New(settings, hclog.New(&hclog.LoggerOptions{Name: "filberthaven", Output: cl.logs}), metrics.NewRegistry())
	cl.Assert(err, quicktest.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	v := &vm{runner: runner, address: settings.callers, stop: stop, done: make(chan error, 1)}
	go func() { v.done <- runner.Run(ctx) }()
	for !strings.Contains(cl.logs.text(), "callers="+settings.callers+" ") {
		select {
		case err := <-v.done:
			cl.Assert(err, quicktest.ErrorIs, syscall.EADDRINUSE)
			stop()
			return false
		case <-time.After(time.Millisecond):
		}
	}
	cl.vms = append(cl.vms, v)
	cl.Cleanup(func() { stop(); <-v.done })
	return true
}

// call sends a caller's request to the VM with index n, modulo their number, and
// returns the status and body. The status is 0 if the request fails.
func (cl *cluster) call(n int, method, path, key, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+cl.vms[n%len(cl.vms)].address+path, strings.NewReader(body))
	cl.Assert(err, quicktest.IsNil)
	request.Host = imitator.Host
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	cl.Assert(err, quicktest.IsNil)
	return response.StatusCode, string(data)
}

// waitFor polls holds until it returns true, and fails the test after timeout.
func (cl *cluster) waitFor(timeout time.Duration, condition string, holds func() bool) {
	cl.Helper()
	for end := time.Now().Add(timeout); !holds(); time.Sleep(30 * time.Millisecond) {
		if time.Now().After(end) {
			cl.Fatalf("timed out after %v waiting for: %s\n%s", timeout, condition, tail(cl.logs.text()))
		}
	}
}

// tail returns the last 6000 bytes of a log.
func tail(text string) string { return text[max(0, len(text)-6000):] }

const (
	// waitTimeout is enough for each step of these tests on a loaded CI machine.
	waitTimeout = 60 * time.Second
)

// owner returns the VM that is the owner now, or nil.
func (cl *cluster) owner() *vm {
	for _, v := range cl.vms {
		if v.runner.receiver.IsOwner() {
			return v
		}
	}
	return nil
}

// TestFleetWithFaults submits jobs through all VMs while orders are carried out late,
// responses get lost and the owner resigns. Every accepted job must complete, without an
// invariant violation.
func TestFleetWithFaults(t *testing.T) {
	cl := newCluster(t, 3)
	cl.waitFor(waitTimeout, "an owner", func() bool {
		status, _ := cl.call(0, "GET", imitator.QueuePrefix, imitator.APIKey, "")
		return status == 200
	})
	cl.platform.SetFaults(0.05, 0.05)
	accepted := 0
	for n := range 30 {
		id := fmt.Sprintf("%016x", n)
		cl.waitFor(waitTimeout, "job "+id+" accepted", func() bool {
			status, _ := cl.call(n, "POST", imitator.QueuePrefix+id, imitator.APIKey, imitator.JobBody)
			return status == 200
		})
		accepted++
		if n == 12 {
			cl.owner().runner.claimer.Resign()
		}
	}
	for n := range accepted {
		path := fmt.Sprintf("/q/%016x", n)
		cl.waitFor(waitTimeout, path+" completed", func() bool {
			_, body := cl.call(n, "GET", path, imitator.APIKey, "")
			return imitator.JobState([]byte(body)) == "completed"
		})
	}
	cl.Assert(cl.platform.Violations(), quicktest.HasLen, 0)
	cl.Assert(strings.Count(cl.logs.text(), "ownership claimed") >= 2, quicktest.IsTrue)
}

// TestFleetWithCrashes submits jobs while executors crash and start again under their ids,
// shrink and grow, some jobs crash each executor that starts them, and the owner resigns.
// Each of these jobs must fail, every other one must complete, without an invariant violation.
func TestFleetWithCrashes(t *testing.T) {
	cl := newCluster(t, 3)
	for n := 4; n < 8; n++ {
		cl.Assert(cl.platform.AddExecutor(fmt.Sprintf("w%d", n), "s", "a", 4000), quicktest.IsNil)
	}
	states := map[string]string{} // as expected at the end, by job
	for n := range 30 {
		id, body := fmt.Sprintf("%016x", n), imitator.JobBody
		states[id] = "completed"
		if n%10 == 3 {
			states[id], body = "failed", imitator.DeadlyJob
		}
		cl.waitFor(waitTimeout, "job "+id+" accepted", func() bool {
			status, _ := cl.call(n, "POST", imitator.QueuePrefix+id, imitator.APIKey, body)
			return status == 200
		})
		switch executor := fmt.Sprintf("w%d", 1+n%7); n % 6 {
		case 1:
			cl.platform.CrashExecutor(executor, 50*time.Millisecond, 200*time.Millisecond)
		case 2:
			cl.platform.ResizeExecutor(executor, 1000)
		case 4:
			cl.platform.ResizeExecutor(fmt.Sprintf("w%d", 1+(n-2)%7), 4000)
		case 5:
			cl.owner().runner.claimer.Resign()
		}
	}
	for id, want := range states {
		cl.waitFor(waitTimeout, id+" "+want, func() bool {
			_, body := cl.call(0, "GET", imitator.QueuePrefix+id, imitator.APIKey, "")
			return imitator.JobState([]byte(body)) == want
		})
	}
	cl.Assert(cl.platform.Violations(), quicktest.HasLen, 0)
}

// TestFleetWithOddEntries submits jobs while another writer puts odd entries among those of the
// executors, under new ids and under those of executors that run tasks. Every accepted job
// must complete, without an invariant violation, and no VM may end or stop following the list.
func TestFleetWithOddEntries(t *testing.T) {
	cl := newCluster(t, 3)
	cl.waitFor(waitTimeout, "an owner", func() bool {
		status, _ := cl.call(0, "GET", imitator.QueuePrefix, imitator.APIKey, "")
		return status == 200
	})
	var accepted []string
	submit := func(jobs int) {
		for range jobs {
			id := fmt.Sprintf("%016x", len(accepted))
			cl.waitFor(waitTimeout, "job "+id+" accepted", func() bool {
				status, _ := cl.call(len(accepted), "POST", imitator.QueuePrefix+id, imitator.APIKey, imitator.JobBody)
				return status == 200
			})
			accepted = append(accepted, id)
		}
	}
	n := 0
	for _, kind := range slices.Sorted(maps.Keys(imitator.OddEntries())) {
		live := fmt.Sprintf("w%d", 1+n%3)
		cl.Assert(cl.platform.PutOddEntry(fmt.Sprintf("odd%d", n), kind), quicktest.IsNil)
		submit(4)
		if kind != "nobody at the port" { // cannot be told from a true one
			cl.Assert(cl.platform.PutOddEntry(live, kind), quicktest.IsNil)
			time.Sleep(100 * time.Millisecond)
			cl.Assert(cl.platform.RegisterExecutor(live), quicktest.IsNil)
		}
		if n == 1 {
			cl.owner().runner.claimer.Resign()
		}
		n++
	}
	cl.Assert(cl.platform.AddExecutor("late", "s", "a", 4000), quicktest.IsNil)
	for _, id := range []string{"w1", "w2", "w3", "late"} {
		before := cl.platform.StartsOn(id)
		cl.waitFor(waitTimeout, id+" in use", func() bool {
			submit(2)
			return cl.platform.StartsOn(id) > before
		})
	}
	for _, id := range accepted {
		cl.waitFor(waitTimeout, id+" completed", func() bool {
			_, body := cl.call(0, "GET", imitator.QueuePrefix+id, imitator.APIKey, "")
			return imitator.JobState([]byte(body)) == "completed"
		})
	}
	cl.Assert(cl.platform.Violations(), quicktest.HasLen, 0)
}

// TestBadInput checks the HTTP status of each request that must be refused.
func TestBadInput(t *testing.T) {
	cl := newCluster(t, 2)
	cl.waitFor(waitTimeout, "an owner", func() bool {
		status, _ := cl.call(0, "GET", imitator.QueuePrefix, imitator.APIKey, "")
		return status == 200
	})
	const id = "/q/00000000000000aa"
	for _, test := range []struct {
		name, method, path, key, body string
		want                          int
	}{
		{"no key", "POST", id, "", imitator.JobBody, 401},
		{"unknown key", "GET", id, "other", "", 401},
		{"unknown queue", "POST", "/other/00000000000000aa", imitator.APIKey, imitator.JobBody, 404},
		{"malformed body", "POST", id, imitator.APIKey, imitator.MalformedJob, 400},
		{"wrong type", "POST", id, imitator.APIKey, imitator.MistypedJob, 400},
		{"no steps", "POST", id, imitator.APIKey, imitator.EmptyJob, 400},
		{"cycle", "POST", id, imitator.APIKey, imitator.CyclicJob, 400},
		{"invalid id", "POST", "/q/zz", imitator.APIKey, imitator.JobBody, 400},
		{"oversized", "POST", id, imitator.APIKey, strings.Repeat("x", 300<<10), 413},
		{"unknown method", "PUT", id, imitator.APIKey, "", 405},
		{"unknown job", "GET", id, imitator.APIKey, "", 410},
		{"cancel of an unknown job", "DELETE", id, imitator.APIKey, "", 410},
	} {
		t.Run(test.name, func(t *testing.T) {
			status, body := cl.call(1, test.method, test.path, test.key, test.body)
			quicktest.New(t).Assert(status, quicktest.Equals, test.want, quicktest.Commentf("%s", body))
		})
	}
}

// TestCauseFromLogs checks that the timeline tool finds the cause of a failed request
// from its id and the logs alone.
func TestCauseFromLogs(t *testing.T) {
	cl := newCluster(t, 1)
	cl.waitFor(waitTimeout, "an owner", func() bool {
		status, _ := cl.call(0, "GET", imitator.QueuePrefix, imitator.APIKey, "")
		return status == 200
	})
	cause := func(id string) string {
		timeline := narrator.New(id)
		cl.Assert(timeline.Read(strings.NewReader(cl.logs.text())), quicktest.IsNil)
		return timeline.Cause()
	}
	submit := func(id, body string) int {
		status, _ := cl.call(0, "POST", imitator.QueuePrefix+id, imitator.APIKey, body)
		return status
	}

	const completed, refused = "00000000000000c1", "00000000000000c2"
	cl.waitFor(waitTimeout, "a job accepted", func() bool { return submit(completed, imitator.JobBody) == 200 })
	cl.waitFor(waitTimeout, "it completed", func() bool {
		_, body := cl.call(0, "GET", imitator.QueuePrefix+completed, imitator.APIKey, "")
		return imitator.JobState([]byte(body)) == "completed"
	})
	cl.Assert(cause(completed), quicktest.Equals, "it completed")

	cl.platform.SetStoreFaults(emulator.Down())
	cl.waitFor(waitTimeout, "a request refused", func() bool { return submit(refused, imitator.JobBody) == 503 })
	cl.Assert(cause(refused), quicktest.Matches, ".*(reached no owner|could not take it).*")
}

// TestNothingIsServedWithoutAllAddresses checks that a VM of which one address is in use serves
// nothing on the others. Callers would be refused by a VM that never has an owner.
func TestNothingIsServedWithoutAllAddresses(t *testing.T) {
	c := quicktest.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer taken.Close()
	platform := imitator.New(7)
	defer platform.Close()
	settings := &Settings{
		id: "vm", centre: "a", callers: freeAddress(c), ready: freeAddress(c), internal: taken.Addr().String(),
		store: platform.StoreAddress, advice: platform.AdviceAddress, lease: 2 * time.Second, drain: 100 * time.Millisecond,
	}
	runner, err := New(settings, hclog.NewNullLogger(), metrics.NewRegistry())
	c.Assert(err, quicktest.IsNil)
	c.Assert(runner.Run(t.Context()), quicktest.ErrorIs, syscall.EADDRINUSE)
	_, err = net.Dial("tcp", settings.callers)
	c.Assert(err, quicktest.ErrorIs, syscall.ECONNREFUSED)
}
