package planner

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

const (
	simulationStep = 10 * time.Millisecond
	simulatedLease = 6 * time.Second
	entryTimeout   = 4500 * time.Millisecond // after which the platform removes the entry of a silent worker
)

// simulation plays a fleet with faults, and knows what has really happened to each worker.
type simulation struct {
	*fixture
	random       *rand.Rand
	faults       faults
	workers      map[string]*simulatedWorker
	nextID       int
	gone         bool           // crashed workers may be gone for good
	crashes      map[string]int // by task: workers that have really crashed under it
	signed       map[string]int // of these, those whose machine closed its connections
	late         map[string]int // by task: starts after three signed crashes
	state        []byte
	log          []string
	noDecide     time.Duration // until then no owner decides
	minDeadlyAge time.Duration // of the runs that crash their workers
}

func newSimulation(t *testing.T, seed uint64, workers int, f faults) *simulation {
	s := &simulation{
		fixture: newFixture(t, 0, Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: 100 * second}), random: rand.New(rand.NewPCG(seed, 39)), faults: f,
		minDeadlyAge: 5 * time.Millisecond, workers: map[string]*simulatedWorker{}, crashes: map[string]int{}, signed: map[string]int{}, late: map[string]int{},
	}
	s.now = second
	for range workers {
		s.addNew("address " + strconv.Itoa(s.nextID))
	}
	return s
}

func (s *simulation) logf(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%8.3f ", s.now.Seconds())+fmt.Sprintf(format, args...))
}

// of returns the lines of the log on a job, and on the workers that its runs were on.
func (s *simulation) of(job string) string {
	workers := map[string]bool{}
	for _, line := range s.log {
		if _, at, found := strings.Cut(line, " on "); found && strings.Contains(line, " "+job+".") {
			workers[at] = true
		}
	}
	var lines []string
	for _, line := range s.log {
		fields := strings.Fields(line)
		if strings.Contains(line, " "+job+".") || workers[fields[len(fields)-1]] && !strings.Contains(line, "start") || strings.Contains(line, "owner") {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines[max(0, len(lines)-80):], "\n")
}

// sorted returns the workers in order.
func (s *simulation) sorted() []*simulatedWorker {
	ids := slices.SortedFunc(maps.Keys(s.workers), func(a, b string) int {
		x, _ := strconv.Atoi(a[1:])
		y, _ := strconv.Atoi(b[1:])
		return x - y
	})
	list := make([]*simulatedWorker, len(ids))
	for i, id := range ids {
		list[i] = s.workers[id]
	}
	return list
}

func (s *simulation) happens(rate float64) bool {
	return s.random.Float64() < rate*simulationStep.Seconds()
}

// call sends a heartbeat to a worker.
func (s *simulation) call(w *simulatedWorker) {
	failed, closed, replaced := s.fails(w)
	if failed {
		w.calledAt = s.now + 300*time.Millisecond
		s.p.HeartbeatMissed(w.id)
		if closed {
			s.p.ObserveClosed(w.id, s.now)
		}
		if replaced {
			s.p.ObserveReplaced(w.id, s.now)
		}
		return
	}
	if s.p.Busy(w.id) && s.p.Renewable(w.id) {
		s.p.ExtendLease(w.id, s.now+simulatedLease)
		w.leaseUntil = s.now + simulatedLease - 200*time.Millisecond
	}
	status := WorkerStatus{Worker: w.id, Incarnation: w.incarnation, SentAt: s.now, Ended: slices.Clone(w.ended)}
	for _, r := range w.runs {
		status.Running = append(status.Running, RunningEntry{Task: r.Task, Number: r.Number, Progress: 50})
	}
	ends := s.p.HandleStatus(status, s.now)
	w.ended = nil
	s.flush(Record{Ends: ends})
	if !s.p.IsWorkerStored(w.id) {
		s.p.MarkWorkerStored(w.id)
		s.record(Record{AddedWorker: w.id})
	}
	w.calledAt = s.now + 150*time.Millisecond
	if s.p.OnProbation(w.id) {
		w.calledAt = s.now + simulationStep
	}
}

// flush writes a record, and lets callers see the jobs that have ended.
func (s *simulation) flush(r Record) {
	ended := s.p.TakeEnded()
	r.Failed = s.p.Failed(ended)
	if len(r.Ends) > 0 || len(r.Failed) > 0 || len(s.p.newCrashes) > 0 {
		for _, c := range s.p.newCrashes {
			s.logf("crash %s %s suspect=%t proven=%t survived=%t prompt=%t on %s", c.Task, c, c.Suspect, c.Proven, c.Survived, c.Prompt, c.Worker)
		}
		s.record(r)
	}
	for _, id := range ended {
		s.p.MarkEndStored(id)
		s.logf("end of %s. %s", id, s.p.FinalState(id))
	}
}

// decideAndOrder makes a decision and carries it out.
func (s *simulation) decideAndOrder() {
	actions := s.decide()
	s.flush(Record{})
	for _, a := range actions {
		w := s.workers[a.Worker]
		switch a.Kind {
		case Stop:
			failed, closed, replaced := s.fails(w)
			if failed {
				s.p.ReportStop(a, false, s.now)
				if closed {
					s.p.ObserveClosed(w.id, s.now)
				}
				if replaced {
					s.p.ObserveReplaced(w.id, s.now)
				}
				continue
			}
			for _, r := range slices.Clone(w.runs) {
				if r.Task == a.Task && r.Number == a.Number {
					w.endRun(r, Stopped)
				}
			}
			s.p.ReportStop(a, true, s.now)
		case Start:
			s.start(w, a)
		}
	}
}

func isDeadly(a Action) bool { return strings.HasPrefix(a.Task, "deadly") }

func (s *simulation) start(w *simulatedWorker, a Action) {
	if !s.p.Wanted(a) || !s.p.Accepts(a.Worker) {
		s.p.ReportStart(a, Withdrawn, s.now)
		return
	}
	s.p.ExtendLease(a.Worker, s.now+simulatedLease)
	s.p.MarkOrdered(a, s.now)
	failed, closed, replaced := s.fails(w)
	if failed {
		outcome := Unknown
		if closed {
			s.p.ObserveClosed(w.id, s.now)
			outcome = NotSent
		}
		if replaced {
			outcome = Replaced
		}
		s.p.ReportStart(a, outcome, s.now)
		if replaced {
			s.p.ObserveReplaced(w.id, s.now)
		}
		return
	}
	w.leaseUntil = s.now + simulatedLease - 200*time.Millisecond
	r := simulatedRun{Action: a, startedAt: s.now, endsAt: s.now + 300*time.Millisecond + s.duration(3*second)}
	if isDeadly(a) {
		r.crashesAt = s.now + s.minDeadlyAge + s.duration(60*time.Millisecond)
		if s.signed[a.Task] >= 3 {
			s.late[a.Task]++
		}
	}
	s.logf("start %s run %d separate=%t on %s", a.Task, a.Number, a.Separate, w.id)
	w.runs = append(w.runs, r)
	w.calledAt = min(w.calledAt, s.now+simulationStep)
	s.p.ReportStart(a, Accepted, s.now)
}

// advance lets time pass for the workers.
func (s *simulation) advance(faulty bool) {
	s.now += simulationStep
	for _, w := range s.sorted() {
		if w.cut != reachable && s.now >= w.cutUntil {
			w.cut = reachable
			s.logf("back is %s", w.id)
		}
		s.advanceRuns(w)
		if faulty && w.alive {
			s.addFaults(w)
		}
		if !w.alive && w.backAt != 0 && s.now >= w.backAt {
			w.backAt = 0
			if w.replaced {
				s.addNew(w.address)
			} else {
				w.incarnation, w.alive = max(w.incarnation+1, wall+s.now.Milliseconds()), true
			}
		}
		s.updateEntry(w)
	}
	for _, w := range s.sorted() {
		if s.now >= w.calledAt && (s.p.NeedsHeartbeat(w.id) || len(w.ended) > 0) {
			s.call(w)
		}
	}
}

// changeOwner changes the owner.
func (s *simulation) changeOwner() {
	s.flush(Record{})
	s.logf("owner changes")
	config := s.p.config
	s.p = New()
	s.Assert(s.p.Restore(s.state, s.records, s.now, wall+s.now.Milliseconds(), s.now+simulatedLease), quicktest.IsNil)
	s.p.Configure(config, s.now)
	for _, w := range s.sorted() {
		if w.listed {
			s.register(w)
		}
		w.calledAt = s.now + s.duration(second/2)
	}
	s.noDecide = s.now + s.duration(2*second)
}

// play plays for d, with faults or without.
func (s *simulation) play(d time.Duration, faulty bool) {
	for end := s.now + d; s.now < end; {
		if s.now >= s.noDecide {
			s.decideAndOrder()
		}
		s.advance(faulty)
		if s.now%second == 0 {
			_, stored := s.p.PruneWorkers(s.now)
			for _, id := range stored {
				s.record(Record{RemovedWorker: id})
			}
		}
		if faulty && s.happens(s.faults.snapshots) {
			s.flush(Record{})
			state, err := s.p.Snapshot(s.now, wall+s.now.Milliseconds())
			s.Assert(err, quicktest.IsNil)
			s.state, s.records = state, nil
		}
		if faulty && s.happens(s.faults.takeOvers) {
			s.changeOwner()
		}
	}
}

// duration returns a random duration below limit.
func (s *simulation) duration(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}
