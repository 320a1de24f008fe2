package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat    = 1500 * time.Millisecond // between two writes of an executor's entry
	maxLease     = 6 * time.Second         // hold-max-ms
	listedEnds   = 500
	unlistedEnds = 4                      // that a late heartbeat waits for
	startupTime  = 200 * time.Millisecond // until a task that lasts is at work
	entryTimeout = 3 * heartbeat
)

// start is one run of a task, for the checks.
type start struct {
	task     string
	number   int
	executor string
	at, end  time.Time // end is zero while it runs
	how      string    // how it has ended; "crash" if its executor has crashed
	noted    time.Time // when last-seen reached its end; zero if it has not
}

// fleet is all executors, and the log of what they have run.
type fleet struct {
	store  *store
	record *record

	mu     sync.Mutex
	starts []*start
	sizes  map[string]int // thousandths of a processor of a task, by job
}

// setSize notes the size of the tasks of a job of one step.
func (f *fleet) setSize(job string, cpu int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sizes[job] = cpu
}

func (f *fleet) sizeOf(task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	return f.sizes[id]
}

// runsOf returns copies of the runs of the tasks whose names begin with the prefix.
func (f *fleet) runsOf(prefix string) []start {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []start
	for _, s := range f.starts {
		if strings.HasPrefix(s.task, prefix) {
			found = append(found, *s)
		}
	}
	return found
}

// startedAfterDone describes the runs that started after a run of their task had ended done, if that
// end was taken note of then or later.
func (f *fleet) startedAfterDone() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	done := map[string]*start{}
	for _, s := range f.starts {
		if s.how == "done" && !s.noted.IsZero() && (done[s.task] == nil || s.end.Before(done[s.task].end)) {
			done[s.task] = s
		}
	}
	var found []string
	for _, s := range f.starts {
		if first := done[s.task]; first != nil && s.at.After(first.end) {
			found = append(found, fmt.Sprintf("%s: run %d had ended done on %s, its end was taken note of, and run %d started %.3f s after it on %s",
				s.task, first.number, first.executor, s.number, s.at.Sub(first.end).Seconds(), s.executor))
		}
	}
	return found
}

// hasEnded reports whether a run of the task has ended done.
func (f *fleet) hasEnded(task string) bool {
	for _, s := range f.runsOf(task) {
		if s.how == "done" {
			return true
		}
	}
	return false
}

// running returns those of the runs that have not ended.
func (f *fleet) running(prefix string) []start {
	var found []start
	for _, s := range f.runsOf(prefix) {
		if s.end.IsZero() {
			found = append(found, s)
		}
	}
	return found
}

// run is a run on an executor.
type run struct {
	start *start
	work  time.Duration // 0: it lasts
	how   string        // how it ends by itself
	cpu   int           // thousandths of a processor
	timer *time.Timer
}

type endRow struct {
	serial int
	run    *start
}

// executor is a stand-in of one executor machine. Each life begins with nothing of before.
type executor struct {
	fleet    *fleet
	id       string
	address  string
	service  string
	zone     string
	capacity map[string]int
	labels   []string

	mu       sync.Mutex
	up       bool
	life     int // number of the life, so that timers of earlier ones do nothing
	server   *http.Server
	born     time.Time
	fence    uint64
	until    int64 // ms on its clock
	seq      int
	runs     map[string]*run // by task and number
	highest  map[string]int  // by task: highest run stopped or ended
	ends     []endRow
	serial   int
	ended    chan struct{} // closed and replaced at each end
	lastBeat time.Time
	delayed  string // task whose first order is carried out late
	late     time.Duration

	listed    int  // serial of the newest end that an answer has listed
	delayFrom int  // last-seen from which a heartbeat is carried out late; 0 for none
	hasLeft   bool // a heartbeat was left unanswered
}

func (f *fleet) add(id, service, zone, kind, rack string, cpu int) *executor {
	e := &executor{
		fleet: f, id: id, address: freeAddress(), service: service, zone: zone,
		capacity: map[string]int{"cpu": cpu, "mem-mb": 65536, "gpu": 0}, labels: []string{kind, rack},
	}
	e.begin()
	go e.beat()
	return e
}

// begin starts a life of the executor.
func (e *executor) begin() {
	e.mu.Lock()
	defer e.mu.Unlock()
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		panic(err)
	}
	e.up, e.life, e.born = true, e.life+1, time.Now()
	e.fence, e.until, e.seq, e.serial, e.listed = 0, 0, 0, 0, 0
	e.runs, e.highest, e.ends, e.ended = map[string]*run{}, map[string]int{}, nil, make(chan struct{})
	mux := http.NewServeMux()
	life := e.life
	mux.HandleFunc("POST /-/run-start", func(w http.ResponseWriter, r *http.Request) { e.call(w, r, life, e.runStart) })
	mux.HandleFunc("POST /-/run-stop", func(w http.ResponseWriter, r *http.Request) { e.call(w, r, life, e.runStop) })
	mux.HandleFunc("POST /-/hold", func(w http.ResponseWriter, r *http.Request) { e.hold(w, r, life) })
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(listener) }()
	go e.watchLease(life)
	e.write()
	e.fleet.record.add("executor %s is up at %s", e.id, e.address)
}

// crash ends the life of the executor, and all that it runs. It sends nothing.
func (e *executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return
	}
	e.up = false
	_ = e.server.Close()
	for _, r := range e.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		e.fleet.finish(r.start, "crash")
	}
	e.runs = map[string]*run{}
	e.fleet.record.add("executor %s crashes", e.id)
}

func (e *executor) isUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up
}

// free returns the thousandths of a processor that no run takes.
func (e *executor) free() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	used := 0
	for _, r := range e.runs {
		used += r.cpu
	}
	return e.capacity["cpu"] - used
}

// beat writes the executor's entry, and removes it after three heartbeats of silence.
func (e *executor) beat() {
	for range time.Tick(100 * time.Millisecond) {
		e.mu.Lock()
		silence := time.Since(e.lastBeat)
		switch {
		case e.up && silence >= heartbeat:
			e.write()
		case !e.up && silence >= entryTimeout && silence < entryTimeout+time.Second:
			e.fleet.store.drop("servers/" + e.id)
		}
		e.mu.Unlock()
	}
}

func (e *executor) write() {
	e.seq++
	e.lastBeat = time.Now()
	e.fleet.store.put("servers/"+e.id, map[string]any{
		"service": e.service, "addr": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
		"capacity": e.capacity, "labels": e.labels, "clock-ms": e.clock(), "seq": e.seq, "born": e.born.UnixMilli(),
	})
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() }

// watchLease ends all runs when the lease has run out.
func (e *executor) watchLease(life int) {
	for range time.Tick(10 * time.Millisecond) {
		e.mu.Lock()
		if e.life != life || !e.up {
			e.mu.Unlock()
			return
		}
		if e.clock() >= e.until {
			for _, r := range e.runs {
				e.finish(r, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

func (f *fleet) finish(s *start, how string) {
	f.mu.Lock()
	s.end, s.how = time.Now(), how
	f.mu.Unlock()
	f.record.add("run ends: %s run %d on %s: %s", s.task, s.number, s.executor, how)
}

// finish ends a run. The caller holds e.mu.
func (e *executor) finish(r *run, how string) {
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(e.runs, runKey(r.start.task, r.start.number))
	e.highest[r.start.task] = max(e.highest[r.start.task], r.start.number)
	e.serial++
	e.fleet.finish(r.start, how)
	e.ends = append(e.ends, endRow{e.serial, r.start})
	close(e.ended)
	e.ended = make(chan struct{})
}

func runKey(task string, number int) string { return task + "/" + strconv.Itoa(number) }

// order is the body of a call to an executor.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Until    int64  `json:"until-ms"`
	Fence    uint64 `json:"fence"`
	LastSeen int    `json:"last-seen"`
	Wait     int    `json:"wait-ms"`
}

// accept decodes a call and checks its addressee and fence. The caller holds e.mu.
func (e *executor) accept(w http.ResponseWriter, r *http.Request, life int) (order, bool) {
	var o order
	err := json.NewDecoder(r.Body).Decode(&o)
	id := r.Header.Get("X-Expect-Instance")
	switch {
	case e.life != life || !e.up:
		panic(http.ErrAbortHandler)
	case id != "" && id != e.id:
		reply(w, http.StatusMisdirectedRequest, map[string]any{"clock-ms": e.clock()})
	case err != nil:
		reply(w, http.StatusBadRequest, map[string]any{"clock-ms": e.clock()})
	case o.Fence < e.fence:
		reply(w, http.StatusConflict, map[string]any{"clock-ms": e.clock(), "reason": "fence"})
	default:
		e.fence = o.Fence
		return o, true
	}
	return o, false
}

func (e *executor) extend(until int64) {
	e.until = max(e.until, min(until, e.clock()+maxLease.Milliseconds()))
}

func (e *executor) call(w http.ResponseWriter, r *http.Request, life int, serve func(order) (int, string)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o, ok := e.accept(w, r, life)
	if !ok {
		return
	}
	if o.Spec != "" && e.isDelayed(o) {
		e.fleet.record.add("order left unanswered: %s run %d on %s", o.Task, o.Run, e.id)
		e.delayed = ""
		time.AfterFunc(e.late, func() { e.carryOut(o, life, serve) })
		e.mu.Unlock()
		<-r.Context().Done()
		e.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	status, reason := serve(o)
	body := map[string]any{"clock-ms": e.clock()}
	if reason != "" {
		body["reason"] = reason
	}
	reply(w, status, body)
}

// carryOut carries out an order that was left unanswered.
func (e *executor) carryOut(o order, life int, serve func(order) (int, string)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != life || !e.up || o.Fence < e.fence {
		return
	}
	status, reason := serve(o)
	e.fleet.record.add("order carried out late: %s run %d on %s: %d %s", o.Task, o.Run, e.id, status, reason)
}

func (e *executor) runStart(o order) (int, string) {
	e.extend(o.Until)
	switch {
	case e.runs[runKey(o.Task, o.Run)] != nil:
		return http.StatusOK, ""
	case o.Run <= e.highest[o.Task]:
		return http.StatusConflict, "old"
	case e.until <= e.clock() || o.Until <= e.clock():
		return http.StatusConflict, "late"
	}
	s := &start{task: o.Task, number: o.Run, executor: e.id, at: time.Now()}
	e.fleet.mu.Lock()
	e.fleet.starts = append(e.fleet.starts, s)
	e.fleet.mu.Unlock()
	e.fleet.record.add("run starts: %s run %d on %s, fence %d", o.Task, o.Run, e.id, o.Fence)
	work, how := workOf(o.Spec)
	r := &run{start: s, work: work, how: how, cpu: e.fleet.sizeOf(o.Task)}
	if r.work > 0 {
		life := e.life
		r.timer = time.AfterFunc(r.work, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.life == life && e.up && e.runs[runKey(s.task, s.number)] == r {
				e.finish(r, r.how)
			}
		})
	}
	e.runs[runKey(o.Task, o.Run)] = r
	return http.StatusOK, ""
}

// workOf returns how long a task with that spec works, 0 if it lasts, and how it ends.
func workOf(spec string) (time.Duration, string) {
	kind, value, _ := strings.Cut(spec, "-ms=")
	ms, err := strconv.Atoi(value)
	switch {
	case err != nil:
		return 0, ""
	case kind == "fail":
		return time.Duration(ms) * time.Millisecond, "failed"
	default:
		return time.Duration(ms) * time.Millisecond, "done"
	}
}

// delay leaves the first order to start a task unanswered, and carries it out that much later.
func (e *executor) delay(task string, late time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delayed, e.late = task, late
}

// isDelayed reports whether an order is to be carried out late. The caller holds e.mu.
func (e *executor) isDelayed(o order) bool {
	return e.delayed != "" && e.delayed == o.Task && o.Run == 1
}

func (e *executor) runStop(o order) (int, string) {
	if r := e.runs[runKey(o.Task, o.Run)]; r != nil {
		e.finish(r, "stopped")
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	return http.StatusOK, ""
}

// forget forgets the ends up to last-seen. The caller holds e.mu.
func (e *executor) forget(lastSeen int) {
	for len(e.ends) > 0 && e.ends[0].serial <= lastSeen {
		e.fleet.mu.Lock()
		e.ends[0].run.noted = time.Now()
		e.fleet.mu.Unlock()
		e.ends = e.ends[1:]
	}
}

// lives returns how often the executor has started.
func (e *executor) lives() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

// delayHeartbeat leaves the next heartbeat unanswered whose last-seen is at least that, and carries
// it out that much later, whatever life the executor is in then.
func (e *executor) delayHeartbeat(lastSeen int, late time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delayFrom, e.late = lastSeen, late
}

// hasDelayed reports whether a heartbeat was left unanswered.
func (e *executor) hasDelayed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hasLeft
}

// carryOutHeartbeat carries out a heartbeat that was left unanswered, at a time within the next
// second at which some ends have not been listed yet.
func (e *executor) carryOutHeartbeat(o order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for deadline := time.Now().Add(time.Second); e.serial-e.listed < unlistedEnds && time.Now().Before(deadline); {
		e.mu.Unlock()
		time.Sleep(time.Millisecond)
		e.mu.Lock()
	}
	if !e.up || o.Fence < e.fence {
		return
	}
	before := len(e.ends)
	e.fence = o.Fence
	if o.Until > 0 {
		e.extend(o.Until)
	}
	e.forget(o.LastSeen)
	e.fleet.record.say("heartbeat carried out late by %s: last-seen %d, %d of %d ends forgotten", e.id, o.LastSeen, before-len(e.ends), before)
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request, life int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o, ok := e.accept(w, r, life)
	if !ok {
		return
	}
	if e.delayFrom > 0 && o.LastSeen >= e.delayFrom && !e.hasLeft {
		e.hasLeft = true
		e.fleet.record.say("heartbeat left unanswered by %s: last-seen %d", e.id, o.LastSeen)
		time.AfterFunc(e.late, func() { e.carryOutHeartbeat(o) })
		e.mu.Unlock()
		<-r.Context().Done()
		e.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	if o.Until > 0 {
		e.extend(o.Until)
	}
	e.forget(o.LastSeen)
	deadline := time.After(time.Duration(o.Wait) * time.Millisecond)
	for waiting := o.Wait > 0; waiting && len(e.ends) == 0; {
		ended := e.ended
		e.mu.Unlock()
		select {
		case <-ended:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		e.mu.Lock()
		if e.life != life || !e.up {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range e.runs {
		running = append(running, []any{r.start.task, r.start.number, "", r.percent(), 100})
	}
	for _, row := range e.ends[:min(len(e.ends), listedEnds)] {
		e.listed = max(e.listed, row.serial)
		ended = append(ended, []any{row.serial, row.run.task, row.run.number, row.run.how, ""})
	}
	reply(w, http.StatusOK, map[string]any{"clock-ms": e.clock(), "born": e.born.UnixMilli(), "running": running, "ended": ended})
}

func (r *run) percent() int {
	age := time.Since(r.start.at)
	switch {
	case r.work > 0:
		return int(min(99, 100*age/r.work))
	case age < startupTime:
		return 0
	default:
		return 100
	}
}

// Ports are drawn from a range below that of the kernel's own, so that no connection takes a port
// between the check and the start of the process that listens there. Each process of this
// program has a part of the range, so that cases may run at the same time.
const (
	firstPort     = 20000
	portsPerCase  = 40
	casesAtOnce   = 300
	portsPerRange = portsPerCase * casesAtOnce
)

var nextPort = os.Getpid() % casesAtOnce * portsPerCase // used before any goroutine starts a VM

func freeAddress() string {
	for range portsPerRange {
		address := "127.0.0.1:" + strconv.Itoa(firstPort+nextPort%portsPerRange)
		nextPort++
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
	panic("no free port")
}
