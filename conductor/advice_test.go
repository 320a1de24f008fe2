package conductor

import (
	"testing"
	"time"

	"filberthaven.example/claimer"
	"filberthaven.example/planner"
	"github.com/frankban/quicktest"
)

// TestAdviceBacklog checks a backlog that needs advice all at once after a takeover, with
// slow requests first. No queue may grow beyond its limit, and urgent requests must
// still find a short queue.
func TestAdviceBacklog(t *testing.T) {
	c := quicktest.New(t)
	members := []claimer.Member{
		claimer.NewMember("a", "", ""), claimer.NewMember("b", "", ""), claimer.NewMember("c", "", ""),
		claimer.NewMember("d", "", ""), claimer.NewMember("self", "", ""),
	}
	b := newAdviceBalancer()
	slow := planner.Action{Kind: planner.RequestAdvice, Cost: 750 * time.Millisecond}
	urgent := planner.Action{Kind: planner.RequestAdvice, Cost: 11 * time.Millisecond, Urgent: true}
	assigned := 0
	for range 100 {
		if _, expectedAt, found := b.assign(members, "self", slow, 0); found {
			assigned++
			c.Assert(expectedAt <= maxNormalQueue+slow.Cost+adviceOverhead, quicktest.IsTrue)
		}
	}
	c.Assert(assigned, quicktest.Equals, 3) // one for each VM that is not reserved for urgent queues
	for range 10 {
		_, expectedAt, found := b.assign(members, "self", urgent, 0)
		c.Assert(found, quicktest.IsTrue)
		c.Assert(expectedAt < maxUrgentQueue, quicktest.IsTrue)
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

// TestAdviceDeadVM checks that few requests go to a dead VM, which stays registered for
// seconds. Otherwise 85 urgent requests a second would wait there for a second each.
// After the first failure the VM gets one request at a time, with growing back-off.
func TestAdviceDeadVM(t *testing.T) {
	c := quicktest.New(t)
	members := []claimer.Member{claimer.NewMember("gone", "", ""), claimer.NewMember("sound", "", "")}
	b := newAdviceBalancer()
	urgent := planner.Action{Kind: planner.RequestAdvice, Cost: time.Millisecond, Urgent: true}
	inFlight := map[time.Duration]int{} // requests to the dead VM by the time at which they were sent
	sentToDead := 0
	for now := time.Duration(0); now < 6*time.Second; now += 10 * time.Millisecond {
		for range inFlight[now-urgentGrace] {
			b.recordFailure("gone", now-urgentGrace, now)
		}
		member, _, found := b.assign(members, "self", urgent, now)
		c.Assert(found, quicktest.IsTrue)
		if member.ID() == "gone" {
			inFlight[now]++
			sentToDead++
		}
	}
	// The requests of the first 0.4 s, then one retry 2 s later; the next is due after 6 s.
	c.Assert(sentToDead <= int(urgentGrace/(10*time.Millisecond))+2, quicktest.IsTrue, quicktest.Commentf("%d requests", sentToDead))
	b.recordSuccess("gone")
	c.Assert(b.vm("gone").usable(6*time.Second), quicktest.IsTrue)
}

// TestShortAdviceOnIdleVMs checks that short requests of other queues go to VMs for urgent queues
// when their own are busy, and that one of these VMs is left to urgent requests.
func TestShortAdviceOnIdleVMs(t *testing.T) {
	c := quicktest.New(t)
	var members []claimer.Member
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "self"} {
		members = append(members, claimer.NewMember(id, "", ""))
	}
	b := newAdviceBalancer()
	slow := planner.Action{Kind: planner.RequestAdvice, Cost: 750 * time.Millisecond}
	short := planner.Action{Kind: planner.RequestAdvice, Cost: 75 * time.Millisecond}
	urgent := planner.Action{Kind: planner.RequestAdvice, Cost: 11 * time.Millisecond, Urgent: true}
	taken := 0
	for range 20 {
		if _, _, found := b.assign(members, "self", slow, 0); found {
			taken++
		}
	}
	c.Assert(taken, quicktest.Equals, 6)
	member, expectedAt, found := b.assign(members, "self", short, 0)
	c.Assert(found, quicktest.IsTrue)
	c.Assert(member.ID() == "a" || member.ID() == "b", quicktest.IsTrue)
	c.Assert(expectedAt, quicktest.Equals, short.Cost+adviceOverhead)
	_, _, found = b.assign(members, "self", short, 0)
	c.Assert(found, quicktest.IsFalse)
	_, expectedAt, found = b.assign(members, "self", urgent, 0)
	c.Assert(found, quicktest.IsTrue)
	c.Assert(expectedAt, quicktest.Equals, urgent.Cost+adviceOverhead)
}
