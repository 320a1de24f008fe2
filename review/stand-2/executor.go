package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	holdMax = 6 * time.Second        // longest lease, hold-max-ms
	stopMax = 400 * time.Millisecond // longest time that a stop takes, stop-ms
	// stopTime is how long the executors take for a stop.
	stopTime = 300 * time.Millisecond
	// heartbeat is the interval at which an executor writes its entry, heartbeat-ms.
	heartbeat = 1500 * time.Millisecond
)

// running is a run on an executor.
type running struct {
	key      string
	task     string
	run      int
	began    time.Time
	ends     time.Time // when its work is done
	stopping time.Time // when an ordered stop is over; zero without one
}

// ended is the end of a run, as the executor lists it.
type ended struct {
	n    uint64
	task string
	run  int
	how  string
}

// fate is what a trouble does to a call to an executor.
type fate struct {
	silent bool          // the call gets no answer
	lost   bool          // and is never carried out
	after  time.Duration // else it is carried out so much later
}

// executor stands in for one executor. Its clock starts with its incarnation.
type executor struct {
	cluster  *cluster
	id       string
	zone     string
	service  string
	duration func(task string) time.Duration

	mu        sync.Mutex
	listener  net.Listener
	server    *http.Server
	up        bool
	capacity  map[string]int
	kind      string // first label
	rack      string // second label
	booted    time.Time
	born      int64
	seq       int
	fence     uint64
	lease     time.Duration // on the executor's clock
	runs      map[string]*running
	refusedTo map[string]int // highest run stopped or ended, by task
	called    bool           // this incarnation has answered a hold
	ends      []ended
	lastEnd   uint64
	changed   chan struct{}
	// trouble decides about a call, by its path; nil without trouble. handled counts calls.
	trouble func(path string, body []byte) fate
}

func (c *cluster) newExecutor(id string, cpu int, duration func(string) time.Duration) (*executor, error) {
	e := &executor{
		cluster: c, id: id, zone: c.zone, service: c.service, duration: duration, kind: "a", rack: "r-" + id,
		capacity: map[string]int{"cpu": cpu, "mem-mb": 64000, "gpu": 0},
	}
	c.executors = append(c.executors, e)
	return e, e.boot("127.0.0.1:0")
}

// boot starts an incarnation of the executor and registers it.
func (e *executor) boot(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	for path, serve := range map[string]func(http.ResponseWriter, *call){"/-/run-start": e.start, "/-/run-stop": e.stop, "/-/hold": e.hold} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) { e.handle(w, r, path, serve) })
	}
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Instance", e.id)
		w.WriteHeader(http.StatusOK)
	})
	e.mu.Lock()
	e.listener, e.server = listener, &http.Server{Handler: mux}
	e.up, e.booted, e.born, e.seq = true, time.Now(), time.Now().UnixMilli(), 0
	e.fence, e.lease, e.lastEnd, e.ends, e.called = 0, 0, 0, nil, false
	e.runs, e.refusedTo, e.changed = map[string]*running{}, map[string]int{}, make(chan struct{})
	server, born := e.server, e.born
	e.mu.Unlock()
	e.mu.Lock()
	e.publish() // before it answers a call
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go e.work(born)
	return nil
}

// crash ends the incarnation: what runs is gone, and its connections are closed.
func (e *executor) crash() {
	e.mu.Lock()
	e.up = false
	for _, r := range e.runs {
		e.cluster.record.end(e.id, r.task, r.run, "gone")
	}
	e.runs = map[string]*running{}
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
}

// work lets time pass for the incarnation: it ends runs whose work, stop or lease is over,
// and writes the executor's entry.
func (e *executor) work(born int64) {
	next := time.Now().Add(heartbeat)
	for range time.Tick(5 * time.Millisecond) {
		e.mu.Lock()
		if !e.up || e.born != born {
			e.mu.Unlock()
			return
		}
		now := time.Now()
		lapsed := e.clock() >= e.lease
		for _, r := range e.runs {
			switch {
			case !r.stopping.IsZero() && now.After(r.stopping):
				e.finish(r, "stopped")
			case lapsed:
				e.finish(r, "lapsed")
			case now.After(r.ends):
				e.finish(r, "done")
			}
		}
		due := now.After(next)
		if due {
			next = now.Add(heartbeat)
			e.publish()
		}
		e.mu.Unlock()
	}
}

// publish writes the executor's entry. The caller holds e.mu.
func (e *executor) publish() {
	e.seq++
	e.cluster.store.put("servers/"+e.id, map[string]any{
		"service": e.service, "addr": e.listener.Addr().String(), "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
		"capacity": e.capacity, "labels": []string{e.kind, e.rack}, "clock-ms": e.clock().Milliseconds(), "seq": e.seq, "born": e.born,
	})
}

// clock returns the time on the executor's clock. The caller holds e.mu.
func (e *executor) clock() time.Duration { return time.Since(e.booted) + time.Second }

// sorted returns the runs by task and number. The caller holds e.mu.
func (e *executor) sorted() []*running {
	var runs []*running
	for _, r := range e.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(a, b int) bool { return runs[a].key < runs[b].key })
	return runs
}

func runKey(task string, run int) string { return fmt.Sprintf("%s#%06d", task, run) }

// finish ends a run and lists its end. The caller holds e.mu.
func (e *executor) finish(r *running, how string) {
	delete(e.runs, r.key)
	e.refusedTo[r.task] = max(e.refusedTo[r.task], r.run)
	e.lastEnd++
	e.ends = append(e.ends, ended{e.lastEnd, r.task, r.run, how})
	close(e.changed)
	e.changed = make(chan struct{})
	e.cluster.record.end(e.id, r.task, r.run, how)
}

// call is the body of a call to an executor.
type call struct {
	Task     string  `json:"task"`
	Run      int     `json:"run"`
	Spec     string  `json:"spec"`
	Until    int64   `json:"until-ms"`
	Fence    uint64  `json:"fence"`
	LastSeen *uint64 `json:"last-seen"`
	Wait     int64   `json:"wait-ms"`

	done <-chan struct{} // the caller has left
}

// handle serves a call, unless the trouble leaves it without an answer.
func (e *executor) handle(w http.ResponseWriter, r *http.Request, path string, serve func(http.ResponseWriter, *call)) {
	c := &call{done: r.Context().Done()}
	data := json.NewDecoder(r.Body)
	if data.Decode(c) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	if r.Header.Get("X-Expect-Instance") != e.id {
		reply(w, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	e.mu.Lock()
	trouble := e.trouble
	e.mu.Unlock()
	var f fate
	if trouble != nil {
		body, _ := json.Marshal(c)
		f = trouble(path, body)
	}
	switch {
	case f.lost:
		e.cluster.record.note("%s: %s %s run %d until %d is lost", e.id, path, c.Task, c.Run, c.Until)
		<-c.done
	case f.silent:
		e.cluster.record.note("%s: %s %s run %d until %d gets no answer and is carried out in %v", e.id, path, c.Task, c.Run, c.Until, f.after)
		late := *c
		late.Wait, late.done = 0, nil
		time.AfterFunc(f.after, func() {
			waitFor(2*time.Second, e.isUp) // else it gets through once the executor is up again
			serve(discard{http.Header{}}, &late)
		})
		<-c.done
	default:
		serve(w, c)
	}
}

// discard is the writer of an answer that nobody gets.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

// admit checks the fence of a call and extends the lease. The caller holds e.mu.
func (e *executor) admit(w http.ResponseWriter, c *call) bool {
	if !e.up {
		return false
	}
	if c.Fence < e.fence {
		reply(w, http.StatusConflict, map[string]any{"clock-ms": e.clock().Milliseconds(), "reason": "fence"})
		return false
	}
	e.fence = c.Fence
	return true
}

// extend extends the lease to until on the executor's clock, at most by holdMax. The caller
// holds e.mu.
func (e *executor) extend(until int64) {
	limit := min(time.Duration(until)*time.Millisecond, e.clock()+holdMax)
	if limit > e.lease {
		e.lease = limit
	}
}

func (e *executor) start(w http.ResponseWriter, c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.admit(w, c) {
		e.cluster.record.note("%s: start of %s run %d under fence %d is rejected", e.id, c.Task, c.Run, c.Fence)
		return
	}
	clock := map[string]any{"clock-ms": e.clock().Milliseconds()}
	refuse := func(reason string) {
		clock["reason"] = reason
		e.cluster.record.note("%s: start of %s run %d is rejected: %s", e.id, c.Task, c.Run, reason)
		reply(w, http.StatusConflict, clock)
	}
	if time.Duration(c.Until)*time.Millisecond <= e.clock() {
		refuse("late")
		return
	}
	e.extend(c.Until)
	key := runKey(c.Task, c.Run)
	switch {
	case e.runs[key] != nil:
	case c.Run <= e.refusedTo[c.Task]:
		refuse("old")
		return
	default:
		e.runs[key] = &running{key: key, task: c.Task, run: c.Run, began: time.Now(), ends: time.Now().Add(e.duration(c.Task))}
		e.cluster.record.start(e.id, c.Task, c.Run)
	}
	reply(w, http.StatusOK, clock)
}

func (e *executor) stop(w http.ResponseWriter, c *call) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.admit(w, c) {
		return
	}
	e.cluster.record.note("%s: stop of %s run %d", e.id, c.Task, c.Run)
	e.refusedTo[c.Task] = max(e.refusedTo[c.Task], c.Run)
	if r := e.runs[runKey(c.Task, c.Run)]; r != nil && r.stopping.IsZero() {
		r.stopping = time.Now().Add(stopTime)
	}
	reply(w, http.StatusOK, map[string]any{"clock-ms": e.clock().Milliseconds()})
}

func (e *executor) hold(w http.ResponseWriter, c *call) {
	e.mu.Lock()
	if !e.admit(w, c) {
		e.mu.Unlock()
		return
	}
	if c.Until > 0 {
		e.extend(c.Until)
	}
	if c.LastSeen != nil {
		for len(e.ends) > 0 && e.ends[0].n <= *c.LastSeen {
			e.cluster.record.noted(e.id, e.ends[0].task, e.ends[0].run)
			e.ends = e.ends[1:]
		}
	}
	if len(e.ends) == 0 && c.Wait > 0 {
		changed := e.changed
		e.mu.Unlock()
		timer := time.NewTimer(time.Duration(min(c.Wait, 2000)) * time.Millisecond)
		select {
		case <-changed:
		case <-timer.C:
		case <-c.done:
		}
		timer.Stop()
		e.mu.Lock()
	}
	defer e.mu.Unlock()
	e.called = true
	runs, ends := [][]any{}, [][]any{}
	for _, r := range e.sorted() {
		share := 100 * float64(time.Since(r.began)) / float64(r.ends.Sub(r.began))
		runs = append(runs, []any{r.task, r.run, "", int(min(share, 99)), 1000})
	}
	for _, x := range e.ends[:min(len(e.ends), 500)] {
		ends = append(ends, []any{x.n, x.task, x.run, x.how, ""})
	}
	reply(w, http.StatusOK, map[string]any{"clock-ms": e.clock().Milliseconds(), "born": e.born, "running": runs, "ended": ends})
}

// runsTask reports whether a run of a task whose name begins with prefix is on the executor.
func (e *executor) runsTask(prefix string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		if strings.HasPrefix(r.task, prefix) {
			return true
		}
	}
	return false
}

func (e *executor) isUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up
}

// wasCalled reports whether this incarnation has answered a hold.
func (e *executor) wasCalled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.called
}

// setTrouble sets what happens to calls from now on.
func (e *executor) setTrouble(trouble func(path string, body []byte) fate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.trouble = trouble
}
