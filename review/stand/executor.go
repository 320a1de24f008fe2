package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// holdMax is the longest lease that an executor grants (hold-max-ms).
	holdMax = 6 * time.Second
	// beat is the time between two writes of an executor's entry (heartbeat-ms).
	beat = 1500 * time.Millisecond
	// gangTimeout is how long a member waits for the others (gang-timeout-ms).
	gangTimeout = 3 * time.Second
	// lateTime is the time until an order that is held up is carried out. The users' pages
	// allow 2 to 12 s.
	lateTime = 6 * time.Second
	// endsPerAnswer is the number of ends in one answer.
	endsPerAnswer = 500
)

// Ends of runs, as on the wire.
const (
	howDone    = "done"
	howFailed  = "failed"
	howStopped = "stopped"
	howLapsed  = "lapsed"
	howBroken  = "broken"
	howAlone   = "alone"
	howCrashed = "crashed" // not on the wire: the run ended with its executor
)

// run is a run on an executor.
type run struct {
	task    string
	number  int
	size    size
	gang    *gang // nil if the task is no member of a gang
	work    time.Duration
	started time.Time
	due     time.Time // when it ends; zero while its gang is not complete
}

// end is an end that an executor lists.
type end struct {
	serial uint64
	run    *run
	how    string
	at     time.Time
}

// executor is a stand-in of one executor. It lives over its crashes, as its id does.
type executor struct {
	world    *world
	id       string
	zone     string
	labels   []string
	capacity size
	address  string // of all its lives

	mu       sync.Mutex
	server   *http.Server
	up       bool
	cut      bool // no byte passes
	born     time.Time
	clock    int64 // ms on its clock at its birth
	fence    uint64
	leaseEnd time.Time
	lapsedAt time.Time       // when its lease last ended with runs or without
	runs     map[string]*run // by task and number
	floor    map[string]int  // highest run that was stopped or has ended, by task
	ends     []end
	serial   uint64
	changed  chan struct{}
	seq      int
	ahead    time.Duration // of the time of day of its machine to the true time
	bornMs   int64         // Unix ms of its start, by that time of day
	lives    int
	calls    int // in this life
	conns    map[net.Conn]bool
}

// gatedListener tracks the connections of an executor and holds them up while it is cut off.
type gatedListener struct {
	net.Listener
	e *executor
}

// gatedConn is a connection that passes no byte while its executor is cut off.
type gatedConn struct {
	net.Conn
	e *executor
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.e.mu.Lock()
	l.e.conns[c] = true
	l.e.mu.Unlock()
	return gatedConn{c, l.e}, nil
}

// pass waits while the executor is cut off.
func (c gatedConn) pass() {
	for {
		c.e.mu.Lock()
		cut := c.e.cut
		c.e.mu.Unlock()
		if !cut {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Read reads what has come before a cut or after it. Connections that were open during a cut
// are closed at its end, so that nothing that was held up comes through.
func (c gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.pass()
	if !c.open() {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c gatedConn) Write(b []byte) (int, error) {
	c.pass()
	if !c.open() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

func (c gatedConn) open() bool {
	c.e.mu.Lock()
	defer c.e.mu.Unlock()
	return c.e.conns[c.Conn]
}

func (c gatedConn) Close() error {
	c.e.mu.Lock()
	delete(c.e.conns, c.Conn)
	c.e.mu.Unlock()
	return c.Conn.Close()
}

// start begins a life of the executor, and registers it.
func (e *executor) start() {
	listener := e.listen()
	e.mu.Lock()
	e.born, e.clock = time.Now(), 1000
	e.bornMs = e.born.Add(e.ahead).UnixMilli()
	e.fence, e.leaseEnd, e.lapsedAt = 0, time.Time{}, time.Time{}
	e.runs, e.floor, e.ends, e.serial = map[string]*run{}, map[string]int{}, nil, 0
	e.changed, e.conns, e.seq = make(chan struct{}), map[net.Conn]bool{}, 0
	e.up = true
	e.lives, e.calls = e.lives+1, 0
	e.server = &http.Server{Handler: e}
	server, born := e.server, e.born
	e.mu.Unlock()
	go func() { _ = server.Serve(gatedListener{listener, e}) }() // ends with Close
	go e.tick(born)
	go func() {
		for e.alive(born) {
			e.register()
			time.Sleep(beat)
		}
	}()
}

// listen opens the executor's port, the same in each life.
func (e *executor) listen() net.Listener {
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			e.address = listener.Addr().String()
			return listener
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (e *executor) alive(born time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up && e.born.Equal(born)
}

// register writes the executor's entry. A cut is from the system's machines only, so that
// the entry is written also meanwhile.
func (e *executor) register() {
	e.mu.Lock()
	e.seq++
	entry := map[string]any{
		"service": serviceName, "addr": e.address, "zone": e.zone, "version": "1", "slots": 8, "state": "ready", "seq": e.seq,
		"born": e.bornMs, "capacity": e.capacity, "labels": e.labels,
	}
	e.mu.Unlock()
	e.world.store.put("servers/"+e.id, entry)
}

// crash ends the executor's process with all that it runs. It starts again after down, or
// never if down is 0.
func (e *executor) crash(down time.Duration) {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	now := time.Now()
	for _, r := range e.runs {
		e.world.ended(e, r, howCrashed, now)
	}
	e.runs = map[string]*run{}
	e.notify()
	server := e.server
	for c := range e.conns {
		_ = c.Close() // as the kernel does at the end of a process
	}
	e.mu.Unlock()
	_ = server.Close()
	e.world.note("executor %s crashed, back in %v", e.id, down)
	if down == 0 {
		// The platform removes its entry after three intervals of silence.
		time.AfterFunc(3*beat, func() { e.world.store.drop("servers/" + e.id) })
		return
	}
	time.AfterFunc(down, func() {
		e.start()
		e.world.note("executor %s is back", e.id)
	})
}

// setCut cuts the executor off from the system's machines, or ends the cut. Connections that
// were open meanwhile are reset.
func (e *executor) setCut(cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.world.note("executor %s cut off: %v", e.id, cut)
	if !cut {
		for c := range e.conns {
			delete(e.conns, c)
			_ = c.Close()
		}
	}
	e.cut = cut
}

// jump moves the time of day of the executor's machine.
func (e *executor) jump(by time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ahead += by
	e.world.note("time of day of the machine of %s jumps by %v", e.id, by)
}

// notify wakes the calls that wait for an end. The caller holds mu.
func (e *executor) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// tick ends runs that are due, and all runs when the lease has ended, during one life.
func (e *executor) tick(born time.Time) {
	for e.alive(born) {
		e.mu.Lock()
		e.endDue(time.Now())
		e.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

// endDue ends the runs that are due. The caller holds mu.
func (e *executor) endDue(now time.Time) {
	if !e.up {
		return
	}
	lapsed := !e.leaseEnd.IsZero() && now.After(e.leaseEnd)
	if lapsed {
		e.lapsedAt = e.leaseEnd
	}
	for _, r := range e.sortedRuns() {
		due := r.due
		if r.gang != nil {
			due = r.gang.due(r)
		}
		switch {
		case lapsed:
			e.finish(r, howLapsed, now)
		case r.gang != nil && r.gang.broken(r):
			e.finish(r, howBroken, now)
		case r.gang != nil && due.IsZero() && now.Sub(r.started) > gangTimeout:
			e.finish(r, howAlone, now)
		case !due.IsZero() && now.After(due):
			e.finish(r, howDone, now)
		}
	}
}

// sortedRuns returns the runs in the order of their starts. The caller holds mu.
func (e *executor) sortedRuns() []*run {
	var runs []*run
	for _, r := range e.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return a.started.Compare(b.started) })
	return runs
}

// finish ends a run and lists its end. The caller holds mu.
func (e *executor) finish(r *run, how string, now time.Time) {
	delete(e.runs, runKey(r.task, r.number))
	e.floor[r.task] = max(e.floor[r.task], r.number)
	e.serial++
	e.ends = append(e.ends, end{e.serial, r, how, now})
	e.world.ended(e, r, how, now)
	e.notify()
}

// runKey returns the key of a run in executor.runs.
func runKey(task string, number int) string { return fmt.Sprintf("%s/%d", task, number) }

// call is the body of a call to an executor.
type call struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"until-ms"`
	Fence uint64 `json:"fence"`
	Seen  uint64 `json:"last-seen"`
	Wait  int64  `json:"wait-ms"`
}

// ServeHTTP serves one call.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var c call
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		answer(w, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	if json.NewDecoder(r.Body).Decode(&c) != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	if r.URL.Path == "/-/run-start" && e.world.delays(e, c) {
		e.deliverLate(c)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	born := e.born
	e.calls++
	e.mu.Unlock()
	status, body := http.StatusBadRequest, map[string]any{}
	switch r.URL.Path {
	case "/-/run-start":
		status, body = e.serveStart(c)
	case "/-/run-stop":
		status, body = e.serveStop(c)
	case "/-/hold":
		status, body = e.serveHold(c)
	}
	e.mu.Lock()
	gone := !e.up || !e.born.Equal(born)
	body["clock-ms"] = e.clock + time.Since(e.born).Milliseconds()
	e.mu.Unlock()
	if gone {
		panic(http.ErrAbortHandler)
	}
	answer(w, status, body)
}

// deliverLate carries an order out after lateTime, by whatever life of the executor is up then.
// The caller gets no answer.
func (e *executor) deliverLate(c call) {
	e.world.note("order %s run %d to %s is held up", c.Task, c.Run, e.id)
	time.AfterFunc(lateTime, func() {
		status, body := e.serveStart(c)
		e.world.note("order %s run %d is carried out on %s late: %d %v", c.Task, c.Run, e.id, status, body["reason"])
	})
}

func refused(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// extend takes the lease of a call. The caller holds mu.
func (e *executor) extend(until int64, now time.Time) {
	if until == 0 {
		return
	}
	to := e.born.Add(time.Duration(until-e.clock) * time.Millisecond)
	if latest := now.Add(holdMax); to.After(latest) {
		to = latest
	}
	if to.After(e.leaseEnd) {
		e.leaseEnd = to
	}
}

func (e *executor) serveStart(c call) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if !e.up {
		return http.StatusServiceUnavailable, map[string]any{}
	}
	if c.Fence < e.fence {
		return refused("fence")
	}
	e.fence = c.Fence
	e.endDue(now)
	if e.runs[runKey(c.Task, c.Run)] != nil {
		return http.StatusOK, map[string]any{}
	}
	if c.Run <= e.floor[c.Task] {
		e.extend(c.Until, now)
		return refused("old")
	}
	if e.clock+now.Sub(e.born).Milliseconds() >= c.Until {
		return refused("late")
	}
	if e.leaseEnd.Before(now) {
		e.leaseEnd = now // it runs from now on
	}
	e.extend(c.Until, now)
	r := &run{task: c.Task, number: c.Run, size: e.world.sizeOf(c.Task), work: e.world.workOf(c.Task, c.Spec), started: now}
	r.gang = e.world.gangOf(r)
	if r.gang == nil {
		r.due = now.Add(r.work)
	}
	e.runs[runKey(r.task, r.number)] = r
	e.world.started(e, r)
	return http.StatusOK, map[string]any{}
}

func (e *executor) serveStop(c call) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Fence < e.fence {
		return refused("fence")
	}
	e.fence = c.Fence
	now := time.Now()
	e.endDue(now)
	e.floor[c.Task] = max(e.floor[c.Task], c.Run)
	if r := e.runs[runKey(c.Task, c.Run)]; r != nil {
		e.finish(r, howStopped, now)
	}
	return http.StatusOK, map[string]any{}
}

func (e *executor) serveHold(c call) (int, map[string]any) {
	e.mu.Lock()
	if c.Fence < e.fence {
		e.mu.Unlock()
		return refused("fence")
	}
	e.fence = c.Fence
	now := time.Now()
	e.endDue(now)
	for len(e.ends) > 0 && e.ends[0].serial <= c.Seen {
		e.world.seen(e, e.ends[0], e.lapsedAt)
		e.ends = e.ends[1:]
	}
	e.extend(c.Until, now)
	changed, none := e.changed, len(e.ends) == 0
	e.mu.Unlock()
	if none && c.Wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(c.Wait) * time.Millisecond):
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, r := range e.sortedRuns() {
		running = append(running, []any{r.task, r.number, "", e.percent(r), 100})
	}
	for _, x := range e.ends[:min(len(e.ends), endsPerAnswer)] {
		ended = append(ended, []any{x.serial, x.run.task, x.run.number, x.how, ""})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended, "born": e.bornMs}
}

// percent returns the progress of a run.
func (e *executor) percent(r *run) int {
	due := r.due
	if r.gang != nil {
		due = r.gang.due(r)
	}
	if due.IsZero() || r.work == 0 {
		return 0
	}
	done := r.work - time.Until(due)
	return min(99, max(0, int(100*done/r.work)))
}

// free returns the capacity that no run takes.
func (e *executor) free() size {
	e.mu.Lock()
	defer e.mu.Unlock()
	left := e.capacity
	for _, r := range e.runs {
		left.CPU -= r.size.CPU
		left.Memory -= r.size.Memory
	}
	return left
}

// gang is one try of a gang.
type gang struct {
	mu      sync.Mutex
	members int
	present map[string]bool
	dueAt   time.Time
	over    bool // a member has ended in another way than done
}

// join adds a member and starts the work once all are present.
func (g *gang) join(r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.present[r.task] = true
	if len(g.present) == g.members {
		g.dueAt = time.Now().Add(r.work)
	}
}

func (g *gang) leave(how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.over = g.over || how != howDone
}

func (g *gang) due(*run) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dueAt
}

func (g *gang) broken(*run) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.over
}

// parseTask splits ID.K.STEP.INDEX.
func parseTask(task string) (job string, step, index int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		panic(fmt.Sprintf("task %q", task))
	}
	step, _ = strconv.Atoi(parts[2])
	index, _ = strconv.Atoi(parts[3])
	return parts[0], step, index
}
