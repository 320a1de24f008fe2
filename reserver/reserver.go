package reserver

import (
	"cmp"
	"iter"
	"slices"
	"time"
)

const (
	// Share is the largest part of the fleet that is reserved, apart from what the first gang
	// needs. A worker that drains evenly is half idle on average, and up to all idle while
	// tickets are awaited, so this keeps about a tenth of the fleet idle at most.
	Share = 0.15
	// Horizon is how far ahead the start of a gang may lie that is not the first in the order.
	// It is about twice the time of a request for tickets. In replays of a burst, gangs that
	// could start only after 2 or 3 s kept workers from those that could start sooner.
	Horizon = time.Second
	// slip is by how much the start of a reservation may be later than planned before other
	// workers are looked for. Forecasts of ends err by this much in normal operation.
	slip = 500 * time.Millisecond
	// retryInterval is the least time between two searches for workers for the same gang. A
	// search visits all workers that may run the gang.
	retryInterval = 100 * time.Millisecond
	// maxVisits is the number of workers visited in one Plan from which it begins no further
	// search. With 2,000 gangs and 1,100 workers, unlimited searches took 1.1 s.
	maxVisits = 5000
)

// Gang is a set of equal tasks that wait to start together.
type Gang struct {
	Name    string
	Tasks   int              // at least 1
	Latest  time.Duration    // from then on a start is out of reach
	Workers iter.Seq[string] // those that are known to be eligible, each once
	Room    func(worker string) Room
}

// Room is what a worker offers to a gang.
type Room struct {
	// Starts has when the first, the second and each further task of the gang may start on the
	// worker if nothing else starts there, in ascending order. It is empty if none may.
	Starts []time.Duration
	Free   int // number of tasks that fit now, whether or not they may start
}

// Allotment is a number of a gang's tasks on one worker.
type Allotment struct {
	Worker string
	Tasks  int // at least 1
}

// Reservation holds workers for one gang.
type Reservation struct {
	Gang       string
	Start      time.Duration // when all tasks are expected to fit
	Allotments []Allotment   // of as many tasks as the gang has, each worker once
}

// held is the state of a gang that has, or has looked for, a reservation.
type held struct {
	Reservation               // without allotments if it has none
	planned     time.Duration // Start when the workers were chosen
	retryAt     time.Duration // earliest time of the next search
}

// Reserver keeps the reservations of one fleet.
type Reserver struct {
	gangs   map[string]*held
	holders map[string]*held // by worker
	times   []time.Duration  // scratch space of startTime
	rooms   []room           // scratch space of search
	visits  int              // workers that the searches of the current Plan have visited
}

// New returns a reserver without reservations.
func New() *Reserver {
	return &Reserver{gangs: map[string]*held{}, holders: map[string]*held{}}
}

// Plan returns the reservations of the gangs, which are in the order in which they are served,
// in a fleet of that many workers. A worker is in one reservation at most.
func (r *Reserver) Plan(gangs []Gang, workers int, now time.Duration) []Reservation {
	r.dropOthers(gangs)
	r.visits = 0
	limit := int(Share * float64(workers))
	var plan []Reservation
	for i := range gangs {
		g, first := &gangs[i], len(plan) == 0
		h := r.gangs[g.Name]
		if h == nil {
			h = &held{Reservation: Reservation{Gang: g.Name}}
			r.gangs[g.Name] = h
		}
		if len(h.Allotments) == 0 && len(r.holders) >= limit && !first {
			continue // gangs that hold workers keep them, so that these drain for somebody
		}
		most := len(h.Allotments) + max(0, limit-len(r.holders))
		if first {
			most = workers
		}
		r.renew(g, h, first, most, now)
		if len(h.Allotments) == 0 {
			continue
		}
		if !first && h.Start > min(g.Latest, now+Horizon) {
			r.release(h)
			continue
		}
		plan = append(plan, Reservation{h.Gang, h.Start, slices.Clone(h.Allotments)})
	}
	return plan
}

// dropOthers drops what is held for gangs that do not wait any more.
func (r *Reserver) dropOthers(gangs []Gang) {
	if len(r.gangs) == 0 {
		return
	}
	waiting := make(map[string]bool, len(gangs))
	for i := range gangs {
		waiting[gangs[i].Name] = true
	}
	for name, h := range r.gangs {
		if !waiting[name] {
			r.release(h)
			delete(r.gangs, name)
		}
	}
}

// release frees the workers of a reservation.
func (r *Reserver) release(h *held) {
	for _, a := range h.Allotments {
		delete(r.holders, a.Worker)
	}
	h.Allotments = nil
}

// renew computes the start of a reservation anew. If workers are missing or the start has
// slipped, it looks for others, so that there are most workers at most. If it finds none, it
// releases the reservation, but keeps that of the first gang as long as that has enough
// workers. The first gang may take workers of later gangs if it would otherwise start too late.
func (r *Reserver) renew(g *Gang, h *held, first bool, most int, now time.Duration) {
	kept := make([]room, 0, len(h.Allotments))
	for _, a := range h.Allotments {
		if o := g.Room(a.Worker); len(o.Starts) > 0 {
			kept = append(kept, room{o, a.Worker, true})
		}
	}
	start, enough := r.startTime(kept, g.Tasks)
	if enough && start <= h.planned+slip {
		r.hold(h, chosen(kept, start, g.Tasks), start)
		return
	}
	if now >= h.retryAt && r.visits < maxVisits {
		h.retryAt = now + retryInterval
		rooms, at, found := r.search(g, h, false)
		if first && (!found || at > g.Latest) {
			rooms, at, found = r.search(g, h, true)
		}
		if found {
			if allotments := chosen(rooms, at, g.Tasks); len(allotments) <= most {
				r.hold(h, allotments, at)
				h.planned = at
				return
			}
		}
	}
	if !enough || !first && start > h.planned+slip {
		r.release(h)
		return
	}
	r.hold(h, chosen(kept, start, g.Tasks), start)
}

// room is the room on a worker that may be reserved for a gang.
type room struct {
	Room
	worker string
	held   bool // the worker is reserved for the gang already
}

// tasks returns how many tasks may start up to the given time.
func (r *room) tasks(at time.Duration) int {
	n, _ := slices.BinarySearch(r.Starts, at+1)
	return n
}

// gain returns how many tasks may start at the given time less those that fit now. Where it is
// large, little idles until then.
func (r *room) gain(at time.Duration) int { return r.tasks(at) - r.Free }

// search returns the rooms of the workers that may be reserved for a gang, and when it can
// start on them. Workers of other reservations count only if it may take them.
func (r *Reserver) search(g *Gang, h *held, take bool) (rooms []room, start time.Duration, enough bool) {
	rooms = r.rooms[:0]
	for w := range g.Workers {
		r.visits++
		holder := r.holders[w]
		if holder != nil && holder != h && !take {
			continue
		}
		if o := g.Room(w); len(o.Starts) > 0 {
			rooms = append(rooms, room{o, w, holder == h})
		}
	}
	r.rooms = rooms
	start, enough = r.startTime(rooms, g.Tasks)
	return rooms, start, enough
}

// startTime returns when that many tasks fit in the rooms, and whether they ever do.
func (r *Reserver) startTime(rooms []room, tasks int) (start time.Duration, enough bool) {
	times := r.times[:0]
	for i := range rooms {
		times = append(times, rooms[i].Starts...)
	}
	r.times = times
	if len(times) < tasks {
		return 0, false
	}
	slices.Sort(times)
	return times[tasks-1], true
}

// chosen returns allotments of that many tasks that fit at start, in the rooms that are held
// already, then in those with the largest gain and in those that take most tasks.
func chosen(rooms []room, start time.Duration, tasks int) []Allotment {
	slices.SortFunc(rooms, func(a, b room) int {
		if a.held != b.held {
			if a.held {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.gain(start), a.gain(start)), cmp.Compare(b.tasks(start), a.tasks(start)), cmp.Compare(a.worker, b.worker))
	})
	var allotments []Allotment
	for i := range rooms {
		n := min(tasks, rooms[i].tasks(start))
		if n == 0 {
			continue
		}
		allotments = append(allotments, Allotment{rooms[i].worker, n})
		if tasks -= n; tasks == 0 {
			break
		}
	}
	return allotments
}

// hold reserves the workers of the allotments for a gang and releases its others.
func (r *Reserver) hold(h *held, allotments []Allotment, start time.Duration) {
	r.release(h)
	h.Start, h.Allotments = start, allotments
	for _, a := range h.Allotments {
		r.take(a.Worker, h)
	}
}

// take reserves a worker, which another gang loses if it had it.
func (r *Reserver) take(worker string, h *held) {
	if other := r.holders[worker]; other != nil {
		other.Allotments = slices.DeleteFunc(other.Allotments, func(a Allotment) bool { return a.Worker == worker })
	}
	r.holders[worker] = h
}
