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
	k.failed("a", 0)
	_, _, found := k.choose(members, "self", planner.Action{}, badTime-1)
	c.Assert(found, quicktest.IsFalse)
	_, _, found = k.choose(members, "self", planner.Action{}, badTime)
	c.Assert(found, quicktest.IsTrue)
}
