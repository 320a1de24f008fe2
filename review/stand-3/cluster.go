package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"
)

// vm is an entry VM, a process of the project's own program.
type vm struct {
	id, callers, ready string
	command            *exec.Cmd
	exited             chan struct{}
}

// cluster is a small deployment.
type cluster struct {
	program string
	folder  string // temporary
	record  *record
	store   *store
	fleet   *fleet
	address string // of the store
	advice  string // of the advice service
	vms     []*vm
	client  *http.Client
	next    atomic.Int64
}

const (
	host    = "bookings.example"
	prefix  = "/jobs/"
	service = "prenota"
	key     = "key-of-anna"
	other   = "key-of-bruno"
)

func newCluster(program string, r *record) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s := newStore()
	c := &cluster{
		program: program, folder: folder, record: r, store: s, fleet: &fleet{store: s, record: r, sizes: map[string]int{}},
		client: &http.Client{Timeout: 3 * time.Second},
	}
	if c.address, err = serve(s.handler()); err != nil {
		return nil, err
	}
	c.advice, err = serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, map[string]any{"good": [][]string{}, "valid-ms": 2000})
	}))
	return c, err
}

func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String(), nil
}

// configure writes the operator's configuration: two tenants without a limit and one queue.
func (c *cluster) configure() {
	c.store.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{
				"name": "r-slot", "host": host, "prefix": prefix, "type": "unsafe", "timeout-ms": 3000, "slo-ms": 3000, "priority": 0,
				"service": service, "attempts": 3, "stretch": 4.0, "public": false,
			},
		},
		"services": []any{map[string]any{"name": service, "rejects-overload": false, "health-path": "/health"}},
		"tenants": []any{
			map[string]any{"name": "anna", "api-keys": []string{key}, "weight": 20, "cap": map[string]int{"cpu": 0, "mem-mb": 0, "gpu": 0}},
			map[string]any{"name": "bruno", "api-keys": []string{other}, "weight": 20, "cap": map[string]int{"cpu": 0, "mem-mb": 0, "gpu": 0}},
		},
		"limits": map[string]any{},
	})
}

// startVM starts an entry VM with settings as the template of the deploy file renders them.
func (c *cluster) startVM(zone string) error {
	v := &vm{id: fmt.Sprintf("front-%s-%d", zone, len(c.vms)+1), callers: freeAddress(), ready: freeAddress(), exited: make(chan struct{})}
	settings := fmt.Sprintf(`[vm]
id = %s
centre = %s
callers = %s
ready = %s
internal = %s
metrics = %s
memory = 284MiB
files = 4100
processor = 0.4
bootstrap = yes

[platform]
store = %s
advice = %s
lease = 6000ms

[planning]
speeds = yes
spread = yes
runtimes = yes

[log]
level = info
format = text
`, v.id, zone, v.callers, v.ready, freeAddress(), freeAddress(), c.address, c.advice)
	path := filepath.Join(c.folder, v.id+".conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(c.folder, v.id+".log"))
	if err != nil {
		return err
	}
	v.command = exec.Command(c.program, "entry", "--config", path)
	v.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + c.folder, "FILBERTHAVEN_CONFIG=" + path}
	v.command.Stdout, v.command.Stderr = log, log
	if err := v.command.Start(); err != nil {
		return err
	}
	go func() {
		_ = v.command.Wait()
		_ = log.Close()
		close(v.exited)
	}()
	c.vms = append(c.vms, v)
	c.record.add("%s starts: %s entry --config %s", v.id, filepath.Base(c.program), filepath.Base(path))
	return nil
}

// close ends all processes and removes the temporary folder, but for the logs if keep is set.
func (c *cluster) close(keep string) {
	for _, v := range c.vms {
		_ = v.command.Process.Kill()
		<-v.exited
	}
	if keep != "" {
		logs, _ := filepath.Glob(filepath.Join(c.folder, "*.log"))
		for _, path := range logs {
			if data, err := os.ReadFile(path); err == nil {
				_ = os.WriteFile(filepath.Join(keep, filepath.Base(path)), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(c.folder)
}

var errNoFleet = errors.New("no entry VM serves")

// awaitReady waits until an entry VM serves the queue.
func (c *cluster) awaitReady() error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if status, _ := c.send(http.MethodGet, "", key, nil); status == http.StatusOK {
			return nil
		}
	}
	return errNoFleet
}

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// send makes one call through the next entry VM. It returns the status, 0 without an answer.
func (c *cluster) send(method, id, apiKey string, body any) (int, string) {
	v := c.vms[int(c.next.Add(1))%len(c.vms)]
	var content io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		content = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+v.callers+prefix+id, content)
	if err != nil {
		return 0, err.Error()
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("X-Timeout-Ms", "3000")
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	status, text := 0, ""
	response, err := c.client.Do(request)
	if err == nil {
		data, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		status, text = response.StatusCode, strings.TrimSpace(string(data))
	} else {
		text = err.Error()
	}
	c.record.add("%s %s%s through %s: %d %s", method, prefix, id, v.id, status, text)
	return status, text
}

// job is the body of a submitted job.
type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

type step struct {
	Tasks       int   `json:"num-tasks"`
	CPU         int   `json:"cpu"`
	Memory      int   `json:"mem-mb"`
	Estimate    int   `json:"est-ms,omitempty"`
	After       []int `json:"after,omitempty"`
	MaxPerHost  int   `json:"anti-affinity,omitempty"`
	LongRunning bool  `json:"long-running,omitempty"`
	Gang        bool  `json:"gang,omitempty"`

	Label string `json:"required-label,omitempty"`
}

// submit hands a job of the first tenant in until it is accepted, and returns its id.
func (c *cluster) submit(what string, j job) (string, error) { return c.submitAs(key, what, j) }

// submitBookings hands in 20 sound jobs within 3 s, beside which one job that can never be done is a
// share below 0.05, the largest of the sites.
func (c *cluster) submitBookings() error {
	for range 20 {
		if _, err := c.submit("a sound booking", job{"work-ms=300", []step{{Tasks: 1, CPU: 500, Memory: 256, Estimate: 300}}}); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// submitAs is submit with the key of a tenant.
func (c *cluster) submitAs(apiKey, what string, j job) (string, error) {
	id := newID()
	c.fleet.setSize(id, j.Steps[0].CPU)
	for range 5 {
		status, text := c.send(http.MethodPost, id, apiKey, j)
		if status/100 == 2 {
			c.record.say("accepted: %s, job %s", what, id)
			return id, nil
		}
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout && status != http.StatusServiceUnavailable {
			return "", fmt.Errorf("%s was not accepted: %d %s", what, status, text)
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "", fmt.Errorf("%s was not accepted", what)
}

// state returns the state of a job of the first tenant as a client is told it, empty if it is
// told none.
func (c *cluster) state(id string) string { return c.stateAs(key, id) }

// stateAs is state with the key of a tenant.
func (c *cluster) stateAs(apiKey, id string) string {
	var body struct {
		State string `json:"state"`
	}
	if status, text := c.send(http.MethodGet, id, apiKey, nil); status == http.StatusOK {
		_ = json.Unmarshal([]byte(text), &body)
	}
	return body.State
}

// awaitRunning waits until that many tasks of a job run.
func (c *cluster) awaitRunning(id string, n int, within time.Duration) error {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if len(c.fleet.running(id)) >= n {
			return nil
		}
	}
	return fmt.Errorf("only %d of %d tasks of %s run after %v", len(c.fleet.running(id)), n, id, within)
}
