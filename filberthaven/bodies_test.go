package main_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filberthaven.example/launcher"
	"filberthaven.example/platform/imitator"
	qt "github.com/frankban/quicktest"
)

const (
	// completeJobs is the number of jobs of the largest legal size that a crowd sends whole.
	completeJobs = 240
	// responseTime limits the wait for the response to one request.
	responseTime = 30 * time.Second
)

// completeBodies are the ways in which clients send a whole body, as in bodyKinds.
var completeBodies = map[string]func(data []byte) (string, [][]byte){
	"whole":        func(data []byte) (string, [][]byte) { return sized(len(data)), [][]byte{data} },
	"pieces":       func(data []byte) (string, [][]byte) { return sized(len(data)), pieces(data, 16<<10) },
	"large chunks": func(data []byte) (string, [][]byte) { return chunkedHeader, encodeChunks(data, 32<<10) },
	"small chunks": func(data []byte) (string, [][]byte) { return chunkedHeader, encodeChunks(data, 3) },
}

func encodeChunks(data []byte, size int) [][]byte {
	var encoded bytes.Buffer
	for _, chunk := range pieces(data, size) {
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	encoded.WriteString("0\r\n\r\n")
	return pieces(encoded.Bytes(), 64<<10)
}

// post sends one request in parts with short pauses, and returns the status of the response.
func post(address, target, key, framing string, parts [][]byte) (int, error) {
	conn, err := net.DialTimeout("tcp", address, responseTime)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(responseTime)); err != nil {
		return 0, err
	}
	header := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\n%s\r\n", target, imitator.Host, key, framing)
	for _, part := range append([][]byte{[]byte(header)}, parts...) {
		if _, err := conn.Write(part); err != nil {
			return 0, err
		}
		time.Sleep(5 * time.Millisecond)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// assertServed checks that a body that is sent alone is served, however it is framed.
func assertServed(c *qt.C, address, key string, target func() string, body []byte) {
	c.Helper()
	for name, frame := range completeBodies {
		framing, parts := frame(body)
		status, err := post(address, target(), key, framing, parts)
		c.Check(err, qt.IsNil, qt.Commentf("%s", name))
		c.Check(status >= http.StatusOK && status < http.StatusMultipleChoices, qt.IsTrue, qt.Commentf("%s: status %d", name, status))
	}
}

// TestEntryServesLargeBody guards against limits that a single request of legal size meets, at
// the owner and at a VM that forwards to it.
func TestEntryServesLargeBody(t *testing.T) {
	if testing.Short() {
		t.Skip("starts two processes")
	}
	c := qt.New(t)
	p := newEntryPair(c, buildForMemory(c))
	jobs := 0
	for _, address := range p.addresses["callers"] {
		assertServed(c, address, imitator.APIKey, func() string {
			jobs++
			return fmt.Sprintf("%s%016x", imitator.QueuePrefix, jobs)
		}, imitator.LargeJob(bodySize))
	}
}

// TestServeServesLargeBody guards against the same at serve.
func TestServeServesLargeBody(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a process")
	}
	c := qt.New(t)
	fleet, err := launcher.New(t.Context(), launcher.WithoutEntries(), launcher.WithCentres(centres...))
	c.Assert(err, qt.IsNil)
	c.Cleanup(fleet.Close)
	p := &processes{c: c, program: buildForMemory(c), fleet: fleet, client: http.DefaultClient}
	e := p.newEntry("alfa-1", "alfa")
	p.start(e)
	c.Cleanup(func() { p.kill(e) })
	awaitStatus(c, "job", func() (*http.Request, error) {
		request, err := http.NewRequest(http.MethodPost, "http://"+e.listen+"/v1/jobs", strings.NewReader(`{"cpu":1}`))
		request.Header.Set("Authorization", "Bearer "+fleet.Keys().Team())
		request.Header.Set("Content-Type", "application/json")
		return request, err
	})
	body := `{"cpu":1` + strings.Repeat(" ", jobSize-len(`{"cpu":1}`)) + `}`
	assertServed(c, e.listen, fleet.Keys().Team(), func() string { return "/v1/jobs" }, []byte(body))
}

// TestEntryUnderLargeJobs guards against clients that exhaust the memory of entry VMs with
// accepted jobs, whose payloads the owner keeps until they end.
func TestEntryUnderLargeJobs(t *testing.T) {
	if testing.Short() {
		t.Skip("starts two processes")
	}
	c := qt.New(t)
	p := newEntryPair(c, buildForMemory(c))
	cr := newCrowd(c)
	body := imitator.LargeJob(bodySize)
	var statuses sync.Map // number of responses by status
	for n := range completeJobs {
		address := p.addresses["callers"][n%2]
		cr.group.Go(func() {
			framing, parts := completeBodies["pieces"](body)
			status, err := post(address, fmt.Sprintf("%s%016x", imitator.QueuePrefix, 1<<20+n), imitator.APIKey, framing, parts)
			if err != nil {
				status = 0 // closed
			}
			count, _ := statuses.LoadOrStore(status, new(atomic.Int64))
			count.(*atomic.Int64).Add(1)
		})
	}
	cr.watch(p.processes...)
	statuses.Range(func(status, count any) bool {
		c.Logf("status %v: %d responses", status, count.(*atomic.Int64).Load())
		return true
	})
	for _, process := range p.processes {
		process.assertBounds(c, entryMemory, entryFiles)
	}
	p.awaitAnswers("afterwards")
}
