package conductor

import (
	"testing"
	"time"

	"filberthaven.example/claimer"
	"filberthaven.example/planner"
	"github.com/frankban/quicktest"
)

// TestAdviceBacklog guards against a takeover whose whole backlog needs advice at
// once, slow requests first. No queue may grow beyond its limit, and urgent requests
// must find a short one.
func TestAdviceBacklog(t *testing.T) {
	c := quicktest.New(t)
	members := []claimer.Member{
		claimer.NewMember("a", "", ""), claimer.NewMember("b", "", ""), claimer.NewMember("c", "", ""),
		claimer.NewMember("d", "", ""), claimer.NewMember("self", "", ""),
	}
	b := newAdviceBalancer()
	slow := planner.Action{Kind: planner.Ask, Cost: 750 * time.Millisecond}
	urgent := planner.Action{Kind: planner.Ask, Cost: 11 * time.Millisecond, Urgent: true}
	assigned := 0
	for range 100 {
		if _, due, found := b.assign(members, "self", slow, 0); found {
			assigned++
			c.Assert(due <= maxNormalQueue+slow.Cost+adviceOverhead, quicktest.IsTrue)
		}
	}
	c.Assert(assigned, quicktest.Equals, 3) // one for each VM that is not reserved for urgent queues
	for range 10 {
		_, due, found := b.assign(members, "self", urgent, 0)
		c.Assert(found, quicktest.IsTrue)
		c.Assert(due < maxUrgentQueue, quicktest.IsTrue)
	}
}

// TestAdviceBackoff checks that a VM gets no requests for adviceBackoff after a failed
// one.
func TestAdviceBackoff(t *testing.T) {
	c := quicktest.New(t)
	members := []claimer.Member{claimer.NewMember("a", "", "")}
	b := newAdviceBalancer()
	b.recordFailure("a", 0, 0)
	_, _, found := b.assign(members, "self", planner.Action{}, adviceBackoff-1)
	c.Assert(found, quicktest.IsFalse)
	_, _, found = b.assign(members, "self", planner.Action{}, adviceBackoff)
	c.Assert(found, quicktest.IsTrue)
}

// TestAdviceDeadVM guards against requests to a dead VM, which stays registered for
// seconds: 85 urgent requests a second would wait there for a second each. After the
// first failure one request at a time tries it again, with growing back-off.
func TestAdviceDeadVM(t *testing.T) {
	c := quicktest.New(t)
	members := []claimer.Member{claimer.NewMember("gone", "", ""), claimer.NewMember("sound", "", "")}
	b := newAdviceBalancer()
	urgent := planner.Action{Kind: planner.Ask, Cost: time.Millisecond, Urgent: true}
	inFlight := map[time.Duration]int{} // requests to the dead VM by the time at which they were sent
	hung := 0
	for now := time.Duration(0); now < 6*time.Second; now += 10 * time.Millisecond {
		for range inFlight[now-urgentGrace] {
			b.recordFailure("gone", now-urgentGrace, now)
		}
		member, _, found := b.assign(members, "self", urgent, now)
		c.Assert(found, quicktest.IsTrue)
		if member.ID() == "gone" {
			inFlight[now]++
			hung++
		}
	}
	// The requests of the first 0.4 s, then one retry 2 s later; the next is due after 6 s.
	c.Assert(hung <= int(urgentGrace/(10*time.Millisecond))+2, quicktest.IsTrue, quicktest.Commentf("%d requests", hung))
	b.recordSuccess("gone")
	c.Assert(b.vm("gone").usable(6*time.Second), quicktest.IsTrue)
}
