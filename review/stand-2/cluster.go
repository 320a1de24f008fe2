package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	routeHost   = "queue.example"
	routePrefix = "/queue/"
	apiKey      = "key-of-the-team"
)

// entryVM is a process of the project.
type entryVM struct {
	name, ip, config string
	callers          string
	process          *exec.Cmd
	ended            chan struct{} // closed when the process has ended
}

// cluster is a small deployment.
type cluster struct {
	record    *record
	store     *store
	folder    string // temporary
	zone      string
	service   string
	vms       []*entryVM
	executors []*executor
}

// newCluster starts the store and as many entry VMs as given, and writes the configuration.
func newCluster(record *record, vms int, config map[string]any) (*cluster, error) {
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: record, store: s, folder: folder, zone: "zone-a", service: "worker"}
	s.put("op/config", config)
	for i := range vms {
		vm := &entryVM{name: fmt.Sprintf("front-zone-a-%d", i+1)}
		if err := c.configure(vm); err != nil {
			return c, err
		}
		c.vms = append(c.vms, vm)
	}
	for _, vm := range c.vms {
		if err := c.launch(vm, true); err != nil {
			return c, err
		}
	}
	return c, nil
}

// Ports of an entry VM that the platform's settings and the template name.
const (
	internalPort = 7420
	metricsPort  = 7421
)

// configure chooses the addresses of an entry VM: a loopback address on which the named ports
// are free.
func (c *cluster) configure(vm *entryVM) error {
	pid := os.Getpid()
	for try := range 40 {
		vm.ip = fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, 2+len(c.vms)+5*try)
		if isFree(vm.ip, internalPort) && isFree(vm.ip, metricsPort) {
			break
		}
	}
	vm.config = filepath.Join(c.folder, vm.name+".ini")
	port, err := freePort(vm.ip)
	vm.callers = fmt.Sprintf("%s:%d", vm.ip, port)
	return err
}

// isFree reports whether a port is free at an address.
func isFree(ip string, port int) bool {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return false
	}
	return listener.Close() == nil
}

// freePort returns a port that is free at an address.
func freePort(ip string) (int, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

// launch starts the process of an entry VM with the settings of the deploy file's template.
func (c *cluster) launch(vm *entryVM, bootstrap bool) error {
	template, err := os.ReadFile("deploy/entry.ini")
	if err != nil {
		return err
	}
	ready, err := freePort(vm.ip)
	if err != nil {
		return err
	}
	answer := map[bool]string{true: "yes", false: "no"}[bootstrap]
	text := strings.NewReplacer(
		"{{node}}", vm.name, "{{zone}}", c.zone, "{{listen.front}}", vm.callers, "{{listen.readiness}}", fmt.Sprintf("%s:%d", vm.ip, ready),
		"{{ip}}", vm.ip, "{{port-range.0}}", strconv.Itoa(internalPort), "{{limits.memory-mb}}", "284", "{{limits.max-fds}}", "4100", "{{limits.cpu-share}}", "0.4",
		"{{#bootstrap}}yes{{/bootstrap}}{{^bootstrap}}no{{/bootstrap}}", answer,
		"{{platform.addr}}", c.store.address(), "{{advice}}", "", "{{bounds.hold-max-ms}}", "6000",
	).Replace(string(template))
	text = strings.ReplaceAll(text, "advice = \n", "")
	if strings.Contains(text, "{{") {
		return errors.New("the template has a field that is not known here")
	}
	if err := os.WriteFile(vm.config, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.folder, vm.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	vm.process = exec.Command("target/filberthaven", "entry", "--config", vm.config)
	vm.process.Stdout, vm.process.Stderr = log, log
	if err := vm.process.Start(); err != nil {
		return err
	}
	started.Lock()
	started.processes = append(started.processes, vm.process.Process)
	started.Unlock()
	c.record.note("%s: process started", vm.name)
	process, ended := vm.process, make(chan struct{})
	vm.ended = ended
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// started holds all processes that were started, for the end of a case that hangs.
var started struct {
	sync.Mutex
	processes []*os.Process
}

// killAll ends all processes that were started.
func killAll() {
	started.Lock()
	defer started.Unlock()
	for _, p := range started.processes {
		_ = p.Kill()
	}
}

// signal sends a signal to the process of an entry VM.
func (c *cluster) signal(vm *entryVM, s syscall.Signal) {
	c.record.note("%s: signal %v", vm.name, s)
	_ = vm.process.Process.Signal(s)
}

// close ends all processes and removes the temporary folder.
func (c *cluster) close() {
	for _, vm := range c.vms {
		if vm.process != nil {
			_ = vm.process.Process.Kill()
			<-vm.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	}
}

// owner returns the entry VM that the store names as the owner, nil if there is none.
func (c *cluster) owner() *entryVM {
	var claim struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(c.store.value("live/owner"), &claim) != nil {
		return nil
	}
	for _, vm := range c.vms {
		if vm.name == claim.ID {
			return vm
		}
	}
	return nil
}

// other returns an entry VM that is not the given one.
func (c *cluster) other(vm *entryVM) *entryVM {
	for _, o := range c.vms {
		if o != vm {
			return o
		}
	}
	return vm
}

// request makes a client's call about a job and returns the status and the body, or 0 without
// an answer.
func (c *cluster) request(vm *entryVM, method, id string, body any) (int, string) {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		content = bytes.NewReader(data)
	}
	r, err := http.NewRequest(method, "http://"+vm.callers+routePrefix+id, content)
	if err != nil {
		panic(err)
	}
	r.Host = routeHost
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Timeout-Ms", "3000")
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		c.record.note("client: %s %s at %s: no answer", method, id, vm.name)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	c.record.note("client: %s %s at %s: %d %s", method, id, vm.name, resp.StatusCode, strings.TrimSpace(string(data)))
	return resp.StatusCode, string(data)
}

// submit hands a job in until it is accepted, as a client does.
func (c *cluster) submit(vm *entryVM, id string, job map[string]any) error {
	for range 40 {
		if status, _ := c.request(vm, http.MethodPost, id, job); status/100 == 2 {
			return nil
		}
		time.Sleep(250 * time.Millisecond)
	}
	return fmt.Errorf("job %s is not accepted", id)
}

// waitFor waits until a condition holds, and reports whether it does.
func waitFor(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// newConfig returns a configuration with one queue, without advice, and one tenant.
func newConfig(attempts int, capCPU int) map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-work", "host": routeHost, "prefix": routePrefix, "type": "unsafe", "timeout-ms": 3000, "slo-ms": 1000, "priority": 1,
			"service": "worker", "attempts": attempts, "stretch": 2.2, "public": false,
		}},
		"services": []any{map[string]any{"name": "worker", "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0, "rejects-overload": false, "spare": false}},
		"limits":   map[string]any{"header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "team", "api-keys": []string{apiKey}, "priority": 1, "weight": 37, "cap": map[string]any{"cpu": capCPU, "mem-mb": 0, "gpu": 0}}},
	}
}

// newJob returns a job of one step.
func newJob(tasks, cpu int, estimate time.Duration) map[string]any {
	return map[string]any{"spec": "work", "steps": []any{map[string]any{"num-tasks": tasks, "cpu": cpu, "mem-mb": 256, "est-ms": estimate.Milliseconds()}}}
}
