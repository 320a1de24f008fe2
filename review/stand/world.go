package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "s"
	apiKey      = "key"
	host        = "h.example"
	// finishTime is how long after the end of the traffic the jobs are asked for (finish_s).
	finishTime = 14 * time.Second
	// stallTime is how long a job must have nothing running to count as lost.
	stallTime = 3 * time.Second
	// clientTimeout is how long clients wait for a response, and clientTries how often they
	// send a request.
	clientTimeout = 3 * time.Second
	clientTries   = 5
)

// size is an amount of resources, as on the wire.
type size struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"mem-mb"`
	GPU    int64 `json:"gpu"`
}

// step is a step of a job, as on the wire.
type step struct {
	Tasks  int    `json:"num-tasks"`
	CPU    int64  `json:"cpu"`
	Memory int64  `json:"mem-mb"`
	Est    int64  `json:"est-ms"`
	After  []int  `json:"after,omitempty"`
	Gang   bool   `json:"gang,omitempty"`
	Label  string `json:"required-label,omitempty"`
}

// job is a job of a client.
type job struct {
	id       string
	prefix   string
	steps    []step
	work     func(index int) time.Duration // true run time of a task
	status   int                           // of the last answer to its submission
	accepted time.Time                     // zero unless accepted
}

// runRecord is what happened to a run.
type runRecord struct {
	executor *executor
	number   int
	started  time.Time
	ended    time.Time // zero while it goes on
	how      string
	noted    bool // its end was taken note of
}

// vm is an entry VM, which is a process of the project.
type vm struct {
	id, zone, callers, internal, config string
	process                             *exec.Cmd
}

// world is all that a case runs.
type world struct {
	dir       string
	binary    string
	store     *store
	executors []*executor
	vms       []*vm
	begun     time.Time
	random    *rand.Rand

	mu     sync.Mutex
	record *os.File
	jobs   map[string]*job
	order  []*job
	runs   map[string][]*runRecord // by task
	gangs  map[string]*gang
	broken []string  // violations
	late   *job      // the next order of a task of this job is held up; nil if none is
	lateOn *executor // the executor whose order was held up; nil before that
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(format, args...)
}

func (w *world) noteLocked(format string, args ...any) {
	fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that a rule was broken.
func (w *world) violation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violationLocked(format, args...)
}

func (w *world) violationLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.noteLocked("BROKEN %s", text)
}

// delays reports whether an order is held up: one of the job late, once.
func (w *world) delays(e *executor, c call) bool {
	id, _, _ := parseTask(c.Task)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.late == nil || w.late.id != id {
		return false
	}
	w.late, w.lateOn = nil, e
	return true
}

func (w *world) sizeOf(task string) size {
	id, n, _ := parseTask(task)
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	if j == nil {
		w.violationLocked("UNASKED: %s was started, and no client sent it", task)
		return size{}
	}
	return size{CPU: j.steps[n].CPU, Memory: j.steps[n].Memory}
}

func (w *world) workOf(task, spec string) time.Duration {
	id, _, index := parseTask(task)
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	if j == nil {
		return time.Second
	}
	if spec != j.id {
		w.violationLocked("UNASKED: %s was started with the spec %q", task, spec)
	}
	return j.work(index)
}

// gangOf returns the gang that a run belongs to, nil if it belongs to none.
func (w *world) gangOf(r *run) *gang {
	id, n, _ := parseTask(r.task)
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	if j == nil || !j.steps[n].Gang {
		return nil
	}
	key := fmt.Sprintf("%s.%d/%d", id, n, r.number)
	g := w.gangs[key]
	if g == nil {
		g = &gang{members: j.steps[n].Tasks, present: map[string]bool{}}
		w.gangs[key] = g
	}
	g.join(r)
	return g
}

// started records a start and checks TWICE: two runs of a task at the same time, or a start
// after a run has ended done whose end was taken note of.
func (w *world) started(e *executor, r *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked("start %s run %d on %s", r.task, r.number, e.id)
	for _, other := range w.runs[r.task] {
		switch {
		case other.ended.IsZero():
			w.violationLocked("TWICE: %s run %d starts on %s while run %d is on %s", r.task, r.number, e.id, other.number, other.executor.id)
		case other.how == howDone && other.noted:
			w.violationLocked("TWICE: %s run %d starts on %s after run %d has ended done, which was taken note of", r.task, r.number, e.id, other.number)
		}
	}
	w.runs[r.task] = append(w.runs[r.task], &runRecord{executor: e, number: r.number, started: r.started})
}

func (w *world) ended(e *executor, r *run, how string, at time.Time) {
	if r.gang != nil {
		r.gang.leave(how)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked("end %s run %d on %s %s", r.task, r.number, e.id, how)
	for _, record := range w.runs[r.task] {
		if record.executor == e && record.number == r.number && record.ended.IsZero() {
			record.ended, record.how = at, how
		}
	}
}

// seen records that the system has taken note of an end: last-seen has reached it, and the
// executor's lease has not lapsed between the two.
func (w *world) seen(e *executor, x end, lapsedAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	lapsed := lapsedAt.After(x.at)
	w.noteLocked("noted %s run %d on %s %s lapsed=%v", x.run.task, x.run.number, e.id, x.how, lapsed)
	if lapsed {
		return
	}
	for _, record := range w.runs[x.run.task] {
		if record.executor != e || record.number != x.run.number || record.how != x.how || !record.ended.Equal(x.at) {
			continue
		}
		record.noted = true
		if x.how != howDone {
			continue
		}
		for _, other := range w.runs[x.run.task] {
			if other != record && other.started.After(record.ended) {
				w.violationLocked("TWICE: %s run %d was started on %s after run %d had ended done on %s, whose end is taken note of now",
					x.run.task, other.number, other.executor.id, record.number, e.id)
			}
		}
	}
}

// newWorld returns a world with a store and no machines.
func newWorld(folder string) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, record: record, store: newStore(), begun: time.Now(), random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)),
		jobs: map[string]*job{}, runs: map[string][]*runRecord{}, gangs: map[string]*gang{},
	}
	return w, nil
}

// serve serves a handler on a free port and returns its address.
func serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(listener, handler) }() // ends with the process
	return listener.Addr().String()
}

// freeAddress returns an address with a port that is free now.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

var zones = []string{"pianura-a", "pianura-b", "pianura-c"}

// addExecutors starts n executors of the same size in all zones, 8 to a rack. The first
// special ones are of the kind b, the others of the kind a.
func (w *world) addExecutors(n, special int) {
	for i := range n {
		kind := "a"
		if i < special {
			kind = "b"
		}
		e := &executor{
			world: w, id: fmt.Sprintf("x-%02d", i), zone: zones[i%len(zones)], labels: []string{kind, fmt.Sprintf("r%d", i/8)},
			capacity: size{CPU: 16000, Memory: 65536},
		}
		w.executors = append(w.executors, e)
		e.start()
	}
}

// queue is a route of the configuration, as on the wire.
func queue(name, prefix string, priority, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "service": serviceName, "priority": priority, "attempts": attempts,
		"stretch": 2.0, "slo-ms": 3000,
	}
}

// configure writes a configuration with these routes.
func (w *world) configure(version int, queues ...map[string]any) {
	w.store.put("op/config", map[string]any{
		"version": version, "routes": queues, "limits": map[string]any{},
		"services": []any{map[string]any{"name": serviceName, "rejects-overload": false}},
		"tenants":  []any{map[string]any{"name": "t", "api-keys": []string{apiKey}, "weight": 100, "cap": size{CPU: 700000, Memory: 2800000}}},
	})
	w.note("configuration %d acknowledged, routes %d", version, len(queues))
}

// addVMs starts n entry VMs, as the deploy file does.
func (w *world) addVMs(n int) error {
	storeAddress := serve(w.store.handler())
	for i := range n {
		v := &vm{id: fmt.Sprintf("front-%d", i), zone: zones[i%len(zones)], callers: freeAddress(), internal: freeAddress()}
		v.config = filepath.Join(w.dir, v.id+".ini")
		text := fmt.Sprintf("[vm]\nid = %s\ncentre = %s\ncallers = %s\nready = %s\ninternal = %s\nmetrics = %s\n"+
			"memory = 284MiB\nfiles = 4100\nprocessor = 0.4\nbootstrap = yes\n\n[platform]\nstore = %s\nlease = 6000ms\n\n"+
			"[log]\nlevel = info\nformat = text\n", v.id, v.zone, v.callers, freeAddress(), v.internal, freeAddress(), storeAddress)
		if err := os.WriteFile(v.config, []byte(text), 0o600); err != nil {
			return err
		}
		w.vms = append(w.vms, v)
		if err := w.startVM(v); err != nil {
			return err
		}
	}
	return nil
}

// startVM starts the process of an entry VM.
func (w *world) startVM(v *vm) error {
	log, err := os.OpenFile(filepath.Join(w.dir, v.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	v.process = exec.Command(w.binary, "entry", "--config", v.config)
	v.process.Stdout, v.process.Stderr = log, log
	v.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return v.process.Start()
}

// owner returns the entry VM that owns the fleet, nil if there is none.
func (w *world) owner() *vm {
	address := w.store.owner()
	for _, v := range w.vms {
		if v.internal == address {
			return v
		}
	}
	return nil
}

// kill ends the process of an entry VM with SIGKILL, and starts it again after down.
func (w *world) kill(v *vm, down time.Duration) error {
	w.note("kill %s", v.id)
	if err := v.process.Process.Kill(); err != nil {
		return err
	}
	_ = v.process.Wait() // killed, as meant
	time.Sleep(down)
	w.note("start %s", v.id)
	return w.startVM(v)
}

// close ends all processes.
func (w *world) close() {
	for _, v := range w.vms {
		_ = v.process.Process.Kill()
		_ = v.process.Wait() // killed, as meant
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.Close()
}

var client = &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call sends one request of a client to an entry VM. The status is 0 without an answer.
func (w *world) call(v *vm, method, path string, body []byte) (int, string) {
	request, err := http.NewRequest(method, "http://"+v.callers+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("X-Timeout-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, strings.TrimSpace(string(data))
}

// submit hands a job in, with the retries of a client at other entry VMs.
func (w *world) submit(j *job) bool {
	w.mu.Lock()
	w.jobs[j.id] = j
	w.order = append(w.order, j)
	n := len(w.order)
	w.mu.Unlock()
	body, err := json.Marshal(map[string]any{"spec": j.id, "steps": j.steps})
	if err != nil {
		panic(err)
	}
	for try := range clientTries {
		v := w.vms[(n+try)%len(w.vms)]
		w.note("POST %s at %s", j.id, v.id)
		status, text := w.call(v, http.MethodPost, j.prefix+j.id, body)
		w.note("answer to POST %s at %s: %d %s", j.id, v.id, status, text)
		j.status = status
		if status/100 == 2 {
			w.mu.Lock()
			j.accepted = time.Now()
			w.mu.Unlock()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job, again at other entry VMs while there is no answer.
func (w *world) state(j *job) (int, string) {
	status, text := 0, ""
	for try := range clientTries {
		status, text = w.call(w.vms[try%len(w.vms)], http.MethodGet, j.prefix+j.id, nil)
		if status == http.StatusOK || status == http.StatusGone || status == http.StatusNotFound {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	var body struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &body) // no state in another answer
	return status, body.State
}

// newID returns a random id of a job.
func (w *world) newID() string { return fmt.Sprintf("%016x", w.random.Uint64()) }

// fixed returns the work of tasks that all take the same time.
func fixed(d time.Duration) func(int) time.Duration { return func(int) time.Duration { return d } }

// running returns the number of runs of a job that go on.
func (w *world) running(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for task, records := range w.runs {
		if !strings.HasPrefix(task, id+".") {
			continue
		}
		for _, r := range records {
			if r.ended.IsZero() {
				n++
			}
		}
	}
	return n
}

// count returns the number of runs of a job that ended in that way.
func (w *world) count(id, how string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for task, records := range w.runs {
		if !strings.HasPrefix(task, id+".") {
			continue
		}
		for _, r := range records {
			if r.how == how {
				n++
			}
		}
	}
	return n
}

// waitUntil polls holds until it returns true, for limit at most.
func waitUntil(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// hasRoom reports whether the executors that a step may use have capacity for it twice over,
// and under half of the service's capacity is in use.
func (w *world) hasRoom(s step) bool {
	var used, all int64
	fits := int64(0)
	for _, e := range w.executors {
		e.mu.Lock()
		up := e.up && !e.cut
		e.mu.Unlock()
		if !up {
			continue
		}
		free := e.free()
		all += e.capacity.CPU
		used += e.capacity.CPU - free.CPU
		if s.Label != "" && s.Label != e.labels[0] {
			continue
		}
		fits += min(free.CPU/max(1, s.CPU), free.Memory/max(1, s.Memory))
	}
	need := int64(2)
	if s.Gang {
		need = 2 * int64(s.Tasks)
	}
	return 2*used < all && fits >= need
}

// judge waits for finishTime after the end of the traffic and then checks LOST: each accepted
// job is known and, if it has not ended, does not have nothing running for stallTime although
// there is capacity for it twice over. last is the step whose turn has come.
func (w *world) judge(last int) {
	w.note("end of the traffic")
	time.Sleep(finishTime)
	for _, e := range w.executors {
		e.mu.Lock()
		lives, calls := e.lives, e.calls
		e.mu.Unlock()
		if lives > 1 {
			w.note("executor %s is in life %d, in which it has got %d calls", e.id, lives, calls)
		}
	}
	w.mu.Lock()
	jobs := append([]*job(nil), w.order...)
	w.mu.Unlock()
	for _, j := range jobs {
		if j.accepted.IsZero() {
			continue
		}
		status, state := w.state(j)
		w.note("job %s: %d %s", j.id, status, state)
		switch {
		case status != http.StatusOK && status != http.StatusNotFound:
			w.violation("LOST: the accepted job %s got the answer %d", j.id, status)
		case state == "failed" && w.count(j.id, howFailed) == 0:
			w.violation("LOST: the job %s is shown as failed, and no run of it has ended failed", j.id)
		case state == "completed" || state == "failed" || state == "cancelled" || w.allDone(j):
		default:
			w.checkStall(j, j.steps[min(last, len(j.steps)-1)])
		}
	}
}

// allDone reports whether all tasks of a job have ended done; of a gang one end stands for all.
func (w *world) allDone(j *job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n, s := range j.steps {
		done := 0
		for index := range s.Tasks {
			for _, r := range w.runs[fmt.Sprintf("%s.0.%d.%d", j.id, n, index)] {
				if r.how == howDone {
					done++
					break
				}
			}
		}
		if done < s.Tasks && (!s.Gang || done == 0) {
			return false
		}
	}
	return true
}

// checkStall checks that a job that has not ended does not have nothing running for
// stallTime.
func (w *world) checkStall(j *job, s step) {
	since := time.Now()
	for time.Since(since) < stallTime {
		if w.running(j.id) > 0 || !w.hasRoom(s) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.violation("LOST: the accepted job %s has nothing running for %v, and there is capacity for it twice over", j.id, stallTime)
}
