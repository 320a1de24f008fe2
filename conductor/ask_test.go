package conductor

import (
	"testing"
	"time"

	"filberthaven.example/claimer"
	"filberthaven.example/planner"
	"github.com/frankban/quicktest"
)

// After a takeover the whole backlog asks for advice at once, slow calls first.
// No queue may grow beyond its limit, and urgent calls find one that is short.
func TestBacklogOfAsks(t *testing.T) {
	c := quicktest.New(t)
	members := []claimer.Member{
		claimer.NewMember("a", "", ""), claimer.NewMember("b", "", ""), claimer.NewMember("c", "", ""),
		claimer.NewMember("d", "", ""), claimer.NewMember("self", "", ""),
	}
	k := newAsker()
	slow := planner.Action{Kind: planner.Ask, Cost: 750 * time.Millisecond}
	urgent := planner.Action{Kind: planner.Ask, Cost: 11 * time.Millisecond, Urgent: true}
	booked := 0
	for range 100 {
		if _, due, found := k.choose(members, "self", slow, 0); found {
			booked++
			c.Assert(due <= slowQueue+slow.Cost+askOverhead, quicktest.IsTrue)
		}
	}
	c.Assert(booked, quicktest.Equals, 3) // one for each VM that isn't kept for urgent queues
	for range 10 {
		_, due, found := k.choose(members, "self", urgent, 0)
		c.Assert(found, quicktest.IsTrue)
		c.Assert(due < urgentQueue, quicktest.IsTrue)
	}
}

// A VM whose call failed is left out for a while.
func TestFailedVM(t *testing.T) {
	c := quicktest.New(t)
	members := []claimer.Member{claimer.NewMember("a", "", "")}
	k := newAsker()
	k.failed("a", 0, 0)
	_, _, found := k.choose(members, "self", planner.Action{}, badTime-1)
	c.Assert(found, quicktest.IsFalse)
	_, _, found = k.choose(members, "self", planner.Action{}, badTime)
	c.Assert(found, quicktest.IsTrue)
}

// A VM that is gone stays registered for seconds. One call at a time finds out
// whether it is back, ever more rarely; 85 urgent calls a second used to hang there
// for a second each.
func TestGoneVM(t *testing.T) {
	c := quicktest.New(t)
	members := []claimer.Member{claimer.NewMember("gone", "", ""), claimer.NewMember("sound", "", "")}
	k := newAsker()
	urgent := planner.Action{Kind: planner.Ask, Cost: time.Millisecond, Urgent: true}
	out := map[time.Duration]int{} // calls to the VM that is gone, by when they were made
	hung := 0
	for now := time.Duration(0); now < 6*time.Second; now += 10 * time.Millisecond {
		for range out[now-urgentGrace] {
			k.failed("gone", now-urgentGrace, now)
		}
		member, _, found := k.choose(members, "self", urgent, now)
		c.Assert(found, quicktest.IsTrue)
		if member.ID() == "gone" {
			out[now]++
			hung++
		}
	}
	// Those of the first 0.4 s, then a probe after 2 s more; the next is due after 6 s.
	c.Assert(hung <= int(urgentGrace/(10*time.Millisecond))+2, quicktest.IsTrue, quicktest.Commentf("%d calls", hung))
	k.answered("gone")
	c.Assert(k.vm("gone").usable(6*time.Second), quicktest.IsTrue)
}
