package planner

import (
	"math"
	"time"

	"filberthaven.example/placer"
)

// demand is the work of urgent queues that arrives, as a moving mean.
type demand struct {
	rate float64 // core-ms, of thousandths, in a ms: thousandths of processors in use
	at   time.Duration
}

const (
	// demandSpan is the time constant of the moving mean: a burst of some seconds
	// is to be seen while it lasts.
	demandSpan = 3 * time.Second
	// headroom is the room kept free for urgent work, as a multiple of its
	// demand: arrivals vary, and only a part of the workers may run each step.
	headroom = 1.5
	// mostHeadroom bounds that room as a part of a worker.
	mostHeadroom = 0.35
)

// add takes in work that arrives.
func (d *demand) add(work float64, now time.Duration) {
	d.rate = d.current(now) + work/float64(demandSpan.Milliseconds())
	d.at = now
}

func (d *demand) current(now time.Duration) float64 {
	return d.rate * math.Exp(-float64(now-d.at)/float64(demandSpan))
}

// keepFree returns the part of each worker that other work leaves to urgent work.
// It answers a full fleet: tasks of some seconds would take all room, and urgent
// ones would wait for their ends.
func (p *Planner) keepFree(now time.Duration) float64 {
	if p.load.capacity <= 0 {
		return 0
	}
	return min(mostHeadroom, headroom*p.urgent.current(now)/p.load.capacity)
}

// leaves reports whether a task of that size on the worker leaves the part that
// is kept for urgent work, of which urgent runs there take their share.
func (w *worker) leaves(size placer.Resources, part float64) bool {
	other := w.used.Sub(w.urgent).Add(size)
	capacity := w.report.Capacity
	return float64(other.CPU()) <= (1-part)*float64(capacity.CPU()) &&
		float64(other.Memory()) <= (1-part)*float64(capacity.Memory())
}
