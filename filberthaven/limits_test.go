package main_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"filberthaven.example/launcher"
	"filberthaven.example/platform/imitator"
	qt "github.com/frankban/quicktest"
)

const (
	// crowdPerKind is the number of clients of each kind, with a known and with an unknown
	// key each.
	crowdPerKind = 60
	// crowdTime limits how long a client sends: longer than all timeouts for bodies.
	crowdTime = 4 * time.Second
	// entryMemory and entryFiles are in the settings of the entry VMs, and the bounds of
	// their peak memory and open descriptors.
	entryMemory = 64 << 20
	entryFiles  = 400
	// serveMemory and serveFiles are the bounds of a process of serve.
	serveMemory = 48 << 20
	serveFiles  = 320
	// bodySize is the largest legal body of a request to entry, jobSize to serve.
	bodySize = 256 << 10
	jobSize  = 64 << 10
)

// bodyKinds are the ways in which clients send a body. Each returns the header fields that
// frame the body, and what is sent at a time, without the last byte or chunk.
var bodyKinds = map[string]func(size int) (string, [][]byte){
	"whole":        func(size int) (string, [][]byte) { return sized(size), [][]byte{filler(size - 1)} },
	"pieces":       func(size int) (string, [][]byte) { return sized(size), pieces(filler(size-1), 16<<10) },
	"large chunks": func(size int) (string, [][]byte) { return chunkedHeader, chunks(size-1, 32<<10) },
	"small chunks": func(size int) (string, [][]byte) { return chunkedHeader, chunks(size-3, 3) },
}

const chunkedHeader = "Transfer-Encoding: chunked\r\n"

func sized(size int) string { return fmt.Sprintf("Content-Length: %d\r\n", size) }

func filler(size int) []byte { return bytes.Repeat([]byte{' '}, size) }

func pieces(data []byte, size int) [][]byte {
	var parts [][]byte
	for ; len(data) > size; data = data[size:] {
		parts = append(parts, data[:size])
	}
	return append(parts, data)
}

func chunks(total, size int) [][]byte {
	var encoded bytes.Buffer
	for ; total > 0; total -= size {
		n := min(size, total)
		fmt.Fprintf(&encoded, "%x\r\n%s\r\n", n, filler(n))
	}
	return pieces(encoded.Bytes(), 64<<10)
}

// crowd is a set of clients that keep their connections open until the test ends.
type crowd struct {
	c     *qt.C
	group sync.WaitGroup
	mu    sync.Mutex
	conns []net.Conn
}

func newCrowd(c *qt.C) *crowd {
	cr := &crowd{c: c}
	c.Cleanup(func() {
		for _, conn := range cr.conns {
			_ = conn.Close()
		}
	})
	return cr
}

// send opens a connection in the background, and sends the parts with short pauses. A server
// may refuse, close or not read it.
func (cr *crowd) send(address, header string, parts [][]byte) {
	cr.group.Go(func() {
		conn, err := net.DialTimeout("tcp", address, crowdTime)
		if err != nil {
			return
		}
		cr.mu.Lock()
		cr.conns = append(cr.conns, conn)
		cr.mu.Unlock()
		_ = conn.SetWriteDeadline(time.Now().Add(crowdTime))
		for _, part := range append([][]byte{[]byte(header)}, parts...) {
			if _, err := conn.Write(part); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
}

// sendBodies sends bodies of all kinds that stop short of their end, with a known and an
// unknown key.
func (cr *crowd) sendBodies(address, target string, keys []string, size int) {
	for _, name := range []string{"whole", "pieces", "large chunks", "small chunks"} {
		framing, parts := bodyKinds[name](size)
		for _, key := range keys {
			header := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\n%s\r\n", target, imitator.Host, key, framing)
			for range crowdPerKind {
				cr.send(address, header, parts)
			}
		}
	}
}

// sendHeaders opens idle connections, and others whose header of 12 KB has no end.
func (cr *crowd) sendHeaders(address string) {
	field := "X-Filler: " + strings.Repeat("x", 12<<10) + "\r\n"
	for range 4 * crowdPerKind {
		cr.send(address, "", nil)
		cr.send(address, "GET / HTTP/1.1\r\nHost: x\r\n"+field, nil)
	}
}

// process is a process whose descriptors are counted while a crowd sends.
type process struct {
	name  string
	pid   int
	files int // most open descriptors seen
}

// watch counts the descriptors of the processes until the crowd has sent everything.
func (cr *crowd) watch(processes ...*process) {
	done := make(chan struct{})
	go func() { cr.group.Wait(); close(done) }()
	for {
		for _, p := range processes {
			entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid)) // of an ended process: checked later
			p.files = max(p.files, len(entries))
		}
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

var peakPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// assertBounds checks that the process lives, and its peak memory and open descriptors.
func (p *process) assertBounds(c *qt.C, memory, files int) {
	c.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	c.Assert(err, qt.IsNil)
	found := peakPattern.FindSubmatch(status)
	c.Assert(found, qt.HasLen, 2, qt.Commentf("%s has ended", p.name))
	peak, err := strconv.Atoi(string(found[1]))
	c.Assert(err, qt.IsNil)
	c.Logf("%s: peak memory %d KiB, most descriptors %d", p.name, peak, p.files)
	c.Check(peak<<10 <= memory, qt.IsTrue, qt.Commentf("%s: peak memory %d KiB, bound %d KiB", p.name, peak, memory>>10))
	c.Check(p.files <= files, qt.IsTrue, qt.Commentf("%s: %d descriptors, bound %d", p.name, p.files, files))
}

// buildForMemory builds the program without the race detector, which takes several times the
// memory.
func buildForMemory(c *qt.C) string {
	path := filepath.Join(c.TempDir(), "filberthaven")
	output, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", output))
	return path
}

// entryPair is an owner and an entry VM that forwards to it.
type entryPair struct {
	c         *qt.C
	platform  *imitator.Platform
	addresses map[string][]string // of both VMs, by listener
	processes []*process
}

func newEntryPair(c *qt.C, program string) *entryPair {
	p := &entryPair{c: c, platform: imitator.New(1), addresses: map[string][]string{}}
	c.Cleanup(p.platform.Close)
	c.Assert(p.platform.Configure(1), qt.IsNil)
	for n := range 4 {
		c.Assert(p.platform.AddExecutor(fmt.Sprintf("w%d", n), "s", "a", 4000), qt.IsNil)
	}
	for n := range 2 {
		settings := fmt.Sprintf("[vm]\nid = vm%d\ncentre = a\ndrain = 100ms\nmemory = %dMiB\nfiles = %d\n", n, entryMemory>>20, entryFiles)
		for _, name := range []string{"callers", "ready", "internal", "metrics"} {
			address := freeAddress(c)
			p.addresses[name] = append(p.addresses[name], address)
			settings += name + " = " + address + "\n"
		}
		settings += fmt.Sprintf("\n[platform]\nstore = %s\nadvice = %s\nlease = 2s\n", p.platform.StoreAddress, p.platform.AdviceAddress)
		config := filepath.Join(c.TempDir(), "entry.ini")
		c.Assert(os.WriteFile(config, []byte(settings), 0o600), qt.IsNil)
		p.start(program, config, fmt.Sprintf("vm%d", n))
	}
	p.awaitAnswers("before")
	return p
}

func (p *entryPair) start(program, config, name string) {
	command := exec.Command(program, "entry", "--config", config)
	log, err := os.Create(filepath.Join(logFolder(p.c), name+".log"))
	p.c.Assert(err, qt.IsNil)
	command.Stdout, command.Stderr = log, log
	p.c.Assert(command.Start(), qt.IsNil)
	p.processes = append(p.processes, &process{name: name, pid: command.Process.Pid})
	p.c.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait() // the exit status of a killed process does not matter
		_ = log.Close()
	})
}

// awaitAnswers waits until each VM has accepted a job, one of them by forwarding it to the
// owner, and each listener for operators answers.
func (p *entryPair) awaitAnswers(when string) {
	p.c.Helper()
	for n, address := range p.addresses["callers"] {
		awaitStatus(p.c, fmt.Sprintf("vm%d %s", n, when), func() (*http.Request, error) {
			id := fmt.Sprintf("%016x", time.Now().UnixNano())
			request, err := http.NewRequest(http.MethodPost, "http://"+address+imitator.QueuePrefix+id, strings.NewReader(imitator.JobBody))
			request.Host = imitator.Host
			request.Header.Set("Authorization", "Bearer "+imitator.APIKey)
			return request, err
		})
		awaitStatus(p.c, "readiness "+when, func() (*http.Request, error) {
			return http.NewRequest(http.MethodGet, "http://"+p.addresses["ready"][n]+"/-/ready", nil)
		})
		awaitStatus(p.c, "metrics "+when, func() (*http.Request, error) {
			return http.NewRequest(http.MethodGet, "http://"+p.addresses["metrics"][n]+"/", nil)
		})
	}
}

// awaitStatus repeats a request until it succeeds.
func awaitStatus(c *qt.C, name string, newRequest func() (*http.Request, error)) {
	c.Helper()
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(awaitTimeout); ; time.Sleep(100 * time.Millisecond) {
		request, err := newRequest()
		c.Assert(err, qt.IsNil)
		response, err := client.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode < http.StatusMultipleChoices {
				return
			}
		}
		if time.Now().After(end) {
			c.Fatalf("%s: no answer within %v: %v %v", name, awaitTimeout, response, err)
		}
	}
}

// TestEntryUnderManyBodies guards against clients that exhaust the memory or the descriptors
// of entry VMs with bodies, headers or connections on any of the listeners.
func TestEntryUnderManyBodies(t *testing.T) {
	if testing.Short() {
		t.Skip("starts eight processes")
	}
	program := buildForMemory(qt.New(t))
	for listener, target := range map[string]string{
		"callers": imitator.QueuePrefix + "00000000000000aa", "internal": "/fleet/call", "ready": "/-/ready", "metrics": "/",
	} {
		t.Run(listener, func(t *testing.T) {
			c := qt.New(t)
			p := newEntryPair(c, program)
			cr := newCrowd(c)
			for _, address := range p.addresses[listener] {
				cr.sendBodies(address, target, []string{imitator.APIKey, "unknown"}, bodySize)
				cr.sendHeaders(address)
			}
			cr.watch(p.processes...)
			for _, process := range p.processes {
				process.assertBounds(c, entryMemory, entryFiles)
			}
			p.awaitAnswers("afterwards")
		})
	}
}

// TestServeUnderManyBodies guards against the same at both listeners of serve.
func TestServeUnderManyBodies(t *testing.T) {
	if testing.Short() {
		t.Skip("starts two processes")
	}
	program := buildForMemory(qt.New(t))
	for _, listener := range []string{"callers", "internal"} {
		t.Run(listener, func(t *testing.T) {
			c := qt.New(t)
			fleet, err := launcher.New(t.Context(), launcher.WithoutEntries(), launcher.WithCentres(centres...))
			c.Assert(err, qt.IsNil)
			c.Cleanup(fleet.Close)
			p := &processes{c: c, program: program, fleet: fleet, client: http.DefaultClient}
			e := p.newEntry("alfa-1", "alfa")
			settings, err := os.ReadFile(e.config)
			c.Assert(err, qt.IsNil)
			settings = append(settings, "\n[limits]\nconnections = 100\nbodies = 4MiB\n"...)
			c.Assert(os.WriteFile(e.config, settings, 0o600), qt.IsNil)
			p.start(e)
			c.Cleanup(func() { p.kill(e) })
			awaitJob := func(when string) {
				awaitStatus(c, "job "+when, func() (*http.Request, error) {
					request, err := http.NewRequest(http.MethodPost, "http://"+e.listen+"/v1/jobs", strings.NewReader(`{"cpu":1}`))
					request.Header.Set("Authorization", "Bearer "+fleet.Keys().Team())
					request.Header.Set("Content-Type", "application/json")
					return request, err
				})
			}
			awaitJob("before")
			cr := newCrowd(c)
			address := map[string]string{"callers": e.listen, "internal": e.internal}[listener]
			for _, target := range []string{"/v1/jobs", "/v1/services/" + fleet.Service()} {
				cr.sendBodies(address, target, []string{fleet.Keys().Team(), "unknown"}, jobSize)
			}
			cr.sendHeaders(address)
			process := &process{name: e.id, pid: e.command.Process.Pid}
			cr.watch(process)
			process.assertBounds(c, serveMemory, serveFiles)
			awaitJob("afterwards")
		})
	}
}
