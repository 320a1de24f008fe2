package runner

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"filberthaven.example/emulator"
	"filberthaven.example/narrator"
	"filberthaven.example/platform/imitator"
	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// day is a fleet of entry VMs in this process on an imitated platform.
type day struct {
	*quicktest.C
	platform *imitator.Platform
	vms      []*vm
	logs     *syncBuffer
}

// vm is one entry VM.
type vm struct {
	runner  *Runner
	address string
	stop    context.CancelFunc
	ended   chan error
}

// syncBuffer is a buffer for several writers.
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

// port returns an address on loopback that is free now.
func port(c *quicktest.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer listener.Close()
	return listener.Addr().String()
}

func newDay(t *testing.T, vms int) *day {
	d := &day{C: quicktest.New(t), platform: imitator.New(7), logs: &syncBuffer{}}
	t.Cleanup(d.platform.Close)
	d.Assert(d.platform.Configure(3), quicktest.IsNil)
	for n := range 4 {
		d.Assert(d.platform.AddExecutor(fmt.Sprintf("w%d", n), "s", "a", 4000), quicktest.IsNil)
	}
	for n := range vms {
		d.start(n)
	}
	return d
}

func (d *day) start(n int) {
	settings := &Settings{
		id: fmt.Sprintf("vm%d", n), centre: "a", callers: port(d.C), ready: port(d.C), internal: port(d.C),
		store: d.platform.StoreAddress, advice: d.platform.AdviceAddress, lease: 2 * time.Second, drain: 100 * time.Millisecond,
	}
	runner, err := New(settings, hclog.New(&hclog.LoggerOptions{Name: "filberthaven", Output: d.logs}), metrics.NewRegistry())
	d.Assert(err, quicktest.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	v := &vm{runner: runner, address: settings.callers, stop: stop, ended: make(chan error, 1)}
	go func() { v.ended <- runner.Run(ctx) }()
	d.vms = append(d.vms, v)
	d.Cleanup(func() { stop(); <-v.ended })
}

// call makes a caller's request on some VM and returns status and body.
func (d *day) call(n int, method, path, key, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+d.vms[n%len(d.vms)].address+path, strings.NewReader(body))
	d.Assert(err, quicktest.IsNil)
	request.Host = imitator.Host
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	d.Assert(err, quicktest.IsNil)
	return response.StatusCode, string(data)
}

// until tries f until it holds, for at most limit.
func (d *day) until(limit time.Duration, what string, f func() bool) {
	d.Helper()
	for end := time.Now().Add(limit); !f(); time.Sleep(30 * time.Millisecond) {
		if time.Now().After(end) {
			d.Fatalf("not within %v: %s\n%s", limit, what, tail(d.logs.text()))
		}
	}
}

func tail(text string) string { return text[max(0, len(text)-6000):] }

const (
	// patience is what a loaded CI machine may need for anything here.
	patience = 60 * time.Second
)

func (d *day) owner() *vm {
	for _, v := range d.vms {
		if v.runner.receiver.IsOwner() {
			return v
		}
	}
	return nil
}

// A short day: jobs are handed in on all VMs while orders are carried out late,
// answers get lost and the owner is stopped. Every job that was accepted completes
// and no promise is broken.
func TestShortDay(t *testing.T) {
	d := newDay(t, 3)
	d.until(patience, "an owner", func() bool {
		status, _ := d.call(0, "GET", imitator.QueuePrefix, imitator.APIKey, "")
		return status == 200
	})
	d.platform.SetFaults(0.05, 0.05)
	accepted := 0
	for n := range 30 {
		id := fmt.Sprintf("%016x", n)
		d.until(patience, "job "+id+" accepted", func() bool {
			status, _ := d.call(n, "POST", imitator.QueuePrefix+id, imitator.APIKey, imitator.JobBody)
			return status == 200
		})
		accepted++
		if n == 12 {
			d.owner().runner.claimer.Resign()
		}
	}
	for n := range accepted {
		path := fmt.Sprintf("/q/%016x", n)
		d.until(patience, path+" completed", func() bool {
			_, body := d.call(n, "GET", path, imitator.APIKey, "")
			return imitator.JobState([]byte(body)) == "completed"
		})
	}
	d.Assert(d.platform.Violations(), quicktest.HasLen, 0)
	d.Assert(strings.Count(d.logs.text(), "ownership claimed") >= 2, quicktest.IsTrue)
}

// Bad input gets a clear answer, and nothing of it is accepted.
func TestBadInput(t *testing.T) {
	d := newDay(t, 2)
	d.until(patience, "an owner", func() bool {
		status, _ := d.call(0, "GET", imitator.QueuePrefix, imitator.APIKey, "")
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
		{"damaged body", "POST", id, imitator.APIKey, imitator.MalformedJob, 400},
		{"wrong type", "POST", id, imitator.APIKey, imitator.MistypedJob, 400},
		{"no steps", "POST", id, imitator.APIKey, imitator.EmptyJob, 400},
		{"cycle", "POST", id, imitator.APIKey, imitator.CyclicJob, 400},
		{"not an id", "POST", "/q/zz", imitator.APIKey, imitator.JobBody, 400},
		{"oversized", "POST", id, imitator.APIKey, strings.Repeat("x", 300<<10), 413},
		{"unknown method", "PUT", id, imitator.APIKey, "", 405},
		{"unknown job", "GET", id, imitator.APIKey, "", 410},
		{"cancel of an unknown job", "DELETE", id, imitator.APIKey, "", 410},
	} {
		t.Run(test.name, func(t *testing.T) {
			status, body := d.call(1, test.method, test.path, test.key, test.body)
			quicktest.New(t).Assert(status, quicktest.Equals, test.want, quicktest.Commentf("%s", body))
		})
	}
}

// An on-call engineer finds the cause of a failed request from its id and the
// logs alone.
func TestCauseFromLogs(t *testing.T) {
	d := newDay(t, 1)
	d.until(patience, "an owner", func() bool {
		status, _ := d.call(0, "GET", imitator.QueuePrefix, imitator.APIKey, "")
		return status == 200
	})
	cause := func(id string) string {
		story := narrator.New(id)
		d.Assert(story.Read(strings.NewReader(d.logs.text())), quicktest.IsNil)
		return story.Cause()
	}
	handIn := func(id, body string) int {
		status, _ := d.call(0, "POST", imitator.QueuePrefix+id, imitator.APIKey, body)
		return status
	}

	const completed, away = "00000000000000c1", "00000000000000c2"
	d.until(patience, "a job accepted", func() bool { return handIn(completed, imitator.JobBody) == 200 })
	d.until(patience, "it completed", func() bool {
		_, body := d.call(0, "GET", imitator.QueuePrefix+completed, imitator.APIKey, "")
		return imitator.JobState([]byte(body)) == "completed"
	})
	d.Assert(cause(completed), quicktest.Equals, "it completed")

	d.platform.SetStoreFaults(emulator.Down())
	d.until(patience, "a request refused", func() bool { return handIn(away, imitator.JobBody) == 503 })
	d.Assert(cause(away), quicktest.Matches, ".*(reached no owner|could not take it).*")
}
