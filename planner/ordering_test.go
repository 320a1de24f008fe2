package planner

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

const (
	// slowOrders is the number of starts a second that a slow owner orders: about a third of
	// what largeLoad asks for.
	slowOrders = 600
	// classFloor is the users' floor of the worth of each class of jobs.
	classFloor = 0.13
	// lateWorth is the worth of a late job as a part of that of one in time.
	lateWorth = 0.2
	// ordersInFlight is the number of orders that the owner has in flight at most.
	ordersInFlight = 256
)

// slowOwner replays a load on an owner whose processor takes long for each order.
type slowOwner struct {
	*replay
	idleAt  time.Duration // when all orders so far are sent
	pending int           // starts that are decided and have no outcome
}

func newSlowOwner(t testing.TB, seed uint64) *slowOwner {
	o := &slowOwner{replay: newReplay(t, largeLoad(), 1100, 1, seed)}
	o.order = o.send
	o.decideIn = func(decide func()) {
		limit, rate := 2*ordersInFlight, 0.0
		if o.pending >= ordersInFlight/2 {
			limit, rate = ordersInFlight, slowOrders
		}
		o.p.SetStartLimit(limit - o.pending)
		o.p.SetOrderRate(rate, o.pending)
		decide()
	}
	return o
}

// send orders a start after all that were decided before, if it is still wanted then.
func (o *slowOwner) send(a Action, runTime time.Duration) {
	o.pending++
	o.idleAt = max(o.idleAt, o.now+replayAnswer) + time.Second/slowOrders
	o.after(o.idleAt-o.now, func() {
		o.pending--
		if !o.p.Wanted(a) {
			o.p.ReportStart(a, Withdrawn, o.now)
			return
		}
		o.p.ReportStart(a, Accepted, o.now)
		o.after(runTime, func() { o.end(a, Done) })
	})
}

// worth returns what the jobs of a queue earned as a part of what those submitted could.
func (o *slowOwner) worth(queue string) float64 {
	earned := 0.0
	for _, j := range o.p.jobs {
		end, ended := o.lasts[j.spec.ID]
		switch age := end - j.acceptedAt; {
		case j.spec.Queue != queue || !ended || j.finalState != Completed:
		case age <= j.objective():
			earned++
		case age <= expiredFactor*j.objective():
			earned += lateWorth
		}
	}
	return earned / float64(o.submitted[queue])
}

// TestSlowOwnerServesEachClass (SHORT, issue 52) guards against an owner that accepts more starts than it can
// order and orders them by rank alone, so that a class of jobs gets less than its floor.
func TestSlowOwnerServesEachClass(t *testing.T) {
	for seed := range uint64(2) {
		o := newSlowOwner(t, seed)
		o.run(4*second, 1)
		o.run(8*second, 1.4)
		o.run(18*second, 1)
		o.run(20*second, 0)
		for _, l := range o.load {
			worth := o.worth(l.queue.Name)
			t.Logf("seed %d: %s earned %.3f", seed, l.queue.Name, worth)
			quicktest.Check(t, worth >= classFloor, quicktest.IsTrue, quicktest.Commentf("seed %d: %s earned %.3f, floor %.2f", seed, l.queue.Name, worth, classFloor))
		}
	}
}

// TestTicketsOutlastOrderDelay (SHORT, issue 52) guards against a gang that starts with tickets
// that end before its orders arrive: the first member that a worker refuses ends the try.
func TestTicketsOutlastOrderDelay(t *testing.T) {
	for _, test := range []struct {
		name  string
		delay time.Duration
		want  []Kind
	}{
		{"orders arrive in time", 100 * time.Millisecond, []Kind{Start, Start}},
		{"orders arrive too late", 700 * time.Millisecond, []Kind{RequestAdvice}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 2, Queue{Name: "q", Service: "s", Attempts: 2, Stretch: 2, Objective: second, AdviceCost: &AdviceCost{Base: time.Millisecond, TicketValidity: 2 * second}})
			f.submit("j", newWideGang())
			request := f.decide()[0]
			tickets := map[string]string{"w0": "ticket", "w1": "ticket"}
			f.p.ReportAdvice(AdviceResult{Step: request.Step, Workers: request.Workers, Tickets: tickets, Until: f.now + 600*time.Millisecond})
			f.p.SetOrderDelay(test.delay)
			var kinds []Kind
			for _, a := range f.decide() {
				kinds = append(kinds, a.Kind)
			}
			f.Assert(kinds, quicktest.DeepEquals, test.want)
		})
	}
}
