package reserver

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// fleet is a number of workers, w0 and up, each with the same room for any gang unless rooms
// says otherwise.
type fleet struct {
	*quicktest.C
	*Reserver
	workers int
	starts  []time.Duration            // usual Room.Starts
	rooms   map[string][]time.Duration // Room.Starts of other workers
	now     time.Duration
}

func newFleet(t *testing.T, workers int, starts ...time.Duration) *fleet {
	return &fleet{C: quicktest.New(t), Reserver: New(), workers: workers, starts: starts, rooms: map[string][]time.Duration{}}
}

// gang returns a gang that may use the whole fleet.
func (f *fleet) gang(name string, tasks int) Gang {
	return Gang{
		Name: name, Tasks: tasks, Latest: time.Minute,
		Workers: func(yield func(string) bool) {
			for i := 0; i < f.workers && yield("w"+strconv.Itoa(i)); i++ {
			}
		},
		Room: func(worker string) Room {
			if starts, found := f.rooms[worker]; found {
				return Room{Starts: starts}
			}
			return Room{Starts: f.starts}
		},
	}
}

// plan returns the numbers of workers reserved, by gang. It checks that each worker is reserved
// once, and that the tasks are those of the gang.
func (f *fleet) plan(gangs ...Gang) map[string]int {
	f.Helper()
	reserved := map[string]int{}
	taken := map[string]bool{}
	for _, r := range f.Plan(gangs, f.workers, f.now) {
		i := slices.IndexFunc(gangs, func(g Gang) bool { return g.Name == r.Gang })
		tasks := 0
		for _, a := range r.Allotments {
			f.Assert(taken[a.Worker], quicktest.IsFalse)
			taken[a.Worker] = true
			tasks += a.Tasks
		}
		f.Assert(tasks, quicktest.Equals, gangs[i].Tasks)
		reserved[r.Gang] = len(r.Allotments)
	}
	return reserved
}

// TestReservationsAreBounded guards against gangs that together hold most of the fleet, as they
// did when each gang that waited reserved workers.
func TestReservationsAreBounded(t *testing.T) {
	f := newFleet(t, 100, 0, 0)
	f.Assert(f.plan(f.gang("a", 12), f.gang("b", 12), f.gang("c", 12), f.gang("d", 4)), quicktest.DeepEquals, map[string]int{"a": 6, "b": 6, "d": 2})
}

// TestWideGangDoesNotStarve guards against a gang that never starts since it needs more than
// the bound, or since later gangs hold what it needs.
func TestWideGangDoesNotStarve(t *testing.T) {
	f := newFleet(t, 100, 10*time.Second)
	f.Assert(f.plan(f.gang("wide", 95)), quicktest.DeepEquals, map[string]int{"wide": 95})
	f = newFleet(t, 100, 0)
	f.Assert(f.plan(f.gang("small", 10)), quicktest.DeepEquals, map[string]int{"small": 10})
	f.Assert(f.plan(f.gang("wide", 95), f.gang("small", 10)), quicktest.DeepEquals, map[string]int{"wide": 95})
	f.now += time.Second
	f.Assert(f.plan(f.gang("wide", 95), f.gang("small", 10)), quicktest.DeepEquals, map[string]int{"wide": 95})
}

// TestReservationIsStable guards against workers that drain for nobody: a reservation that
// moves to other workers in each decision.
func TestReservationIsStable(t *testing.T) {
	f := newFleet(t, 20, 500*time.Millisecond)
	first := f.Plan([]Gang{f.gang("a", 2)}, f.workers, f.now)
	for i := range 20 {
		f.now += 10 * time.Millisecond
		f.rooms["w"+strconv.Itoa(10+i%10)] = []time.Duration{f.now, f.now}
		f.Assert(f.Plan([]Gang{f.gang("new", 1), f.gang("a", 2)}, f.workers, f.now)[1], quicktest.DeepEquals, first[0])
	}
}

// TestReservationIsRepaired guards against a reservation that keeps a worker which is lost, or
// loses those that are not.
func TestReservationIsRepaired(t *testing.T) {
	f := newFleet(t, 20, 0)
	f.Assert(f.plan(f.gang("a", 3)), quicktest.DeepEquals, map[string]int{"a": 3})
	f.rooms["w1"] = nil
	f.now += time.Second
	workers := func() (names []string) {
		for _, a := range f.Plan([]Gang{f.gang("a", 3)}, f.workers, f.now)[0].Allotments {
			names = append(names, a.Worker)
		}
		return names
	}
	f.Assert(workers(), quicktest.DeepEquals, []string{"w0", "w10", "w11"})
}

// TestGangOutOfReachDoesNotBlock guards against a gang that holds workers although it can't
// start for long, or not in time, while others could start now.
func TestGangOutOfReachDoesNotBlock(t *testing.T) {
	f := newFleet(t, 40, 0)
	far := f.gang("far", 2)
	far.Room = func(string) Room { return Room{Starts: []time.Duration{2 * Horizon}} }
	late := f.gang("late", 2)
	late.Latest = -1
	f.Assert(f.plan(f.gang("first", 2), far, late, f.gang("soon", 2)), quicktest.DeepEquals, map[string]int{"first": 2, "soon": 2})
}

// TestGangThatDoesNotWaitHoldsNothing guards against workers that stay reserved for a gang that
// has started, ended or expired.
func TestGangThatDoesNotWaitHoldsNothing(t *testing.T) {
	f := newFleet(t, 20, 0)
	f.plan(f.gang("first", 1), f.gang("a", 2))
	f.plan()
	f.Assert(f.gangs, quicktest.HasLen, 0)
	f.Assert(f.holders, quicktest.HasLen, 0)
}

// TestSearchesAreBounded guards against a plan that visits all workers for each of many gangs that
// find no room: with 2,000 gangs and 1,100 workers it took 1.1 s.
func TestSearchesAreBounded(t *testing.T) {
	f := newFleet(t, 1100)
	visits := 0
	var gangs []Gang
	for i := range 2000 {
		g := f.gang("g"+strconv.Itoa(i), 5)
		workers := g.Workers
		g.Workers = func(yield func(string) bool) {
			workers(func(w string) bool { visits++; return yield(w) })
		}
		gangs = append(gangs, g)
	}
	f.Plan(gangs, f.workers, f.now)
	f.Assert(visits <= maxVisits+2*f.workers, quicktest.IsTrue, quicktest.Commentf("%d visits", visits))
}
