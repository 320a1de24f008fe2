package measurer

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"filberthaven.example/placer"
	qt "github.com/frankban/quicktest"
)

// small is a load that runs within a second.
func small(seed uint64) *load {
	m := newMaker("small", seed, 20*time.Minute)
	m.addWorkers(10, placer.NewResources(16_000, 64<<10, 0))
	m.addTeams(3)
	m.fill(services, 0.1, 0, time.Minute)
	m.fill(confirms, 0.01, 0, 15*time.Minute)
	m.fill(tariffs, 0.9, 0, 15*time.Minute)
	return m.load
}

func measure(c *qt.C, l *load, seed uint64) *tally {
	c.Helper()
	t, err := tallyOf(l, seed)
	c.Assert(err, qt.IsNil)
	return t
}

func TestEngine(t *testing.T) {
	c := qt.New(t)
	c.Run("equal seeds give equal work", func(c *qt.C) {
		a, b := measure(c, small(1), 1), measure(c, small(1), 1)
		c.Assert(a.work > 0, qt.IsTrue)
		c.Assert(a.used, qt.DeepEquals, b.used)
		c.Assert(measure(c, small(2), 1).used, qt.Not(qt.DeepEquals), a.used)
	})
	c.Run("no policy holds more than there is", func(c *qt.C) {
		for _, make := range []func(*load) *policy{fifo, oracle} {
			l := small(1)
			for _, part := range newEngine(l, make(l)).run().used {
				c.Assert(part >= 0 && part <= 1, qt.IsTrue)
			}
		}
	})
	c.Run("broken workers are quarantined and the work is done", func(c *qt.C) {
		l := small(1)
		l.broken["w0"] = true
		whole, hurt := measure(c, small(1), 1), measure(c, l, 1)
		c.Assert(hurt.work > leastBroken*whole.work, qt.IsTrue)
	})
	c.Run("every task that starts has waited from its arrival", func(c *qt.C) {
		total := measure(c, small(1), 1)
		c.Assert(total.waits[placer.Urgent].TotalCount() > 0, qt.IsTrue)
		c.Assert(secondsOf(total.waits[placer.Urgent].ValueAtQuantile(99)) <= mostUrgent, qt.IsTrue)
	})
}

func TestPacking(t *testing.T) {
	c := qt.New(t)
	check, err := packOnce(1)
	c.Assert(err, qt.IsNil)
	c.Assert(check.Figure >= leastPacking, qt.IsTrue, qt.Commentf("%+v", check))
}

func TestNight(t *testing.T) {
	c := qt.New(t)
	plain, err := runNight("threshold", 1, threshold(0.9, 0.6, 0.2))
	c.Assert(err, qt.IsNil)
	forward, err := runNight("feed forward", 1, feedForward)
	c.Assert(err, qt.IsNil)
	c.Assert(forward.Hours < plain.Hours, qt.IsTrue, qt.Commentf("%+v and %+v", forward, plain))
	c.Assert(forward.Missed <= 1-certainty, qt.IsTrue)
}

func TestReport(t *testing.T) {
	c := qt.New(t)
	_, err := Run(WithLoads("nothing"))
	c.Assert(err, qt.ErrorIs, ErrUnknownLoad)
	report := Report{Seed: 7, Loads: []Load{{Name: "small", Policies: []Policy{measure(c, small(1), 1).summary("placer")}}}}
	report.Checks = []Check{atLeast("kept", 0.5, 0.9, ""), atMost("held", 0.5, 0.9, "")}
	c.Assert(report.Checks[0].Met, qt.IsFalse)
	c.Assert(report.Checks[1].Met, qt.IsTrue)
	var html bytes.Buffer
	c.Assert(report.HTML(&html), qt.IsNil)
	c.Assert(html.String(), qt.Contains, "<polyline")
	c.Assert(strings.Contains(html.String(), "http"), qt.IsFalse)
	text, err := json.Marshal(report)
	c.Assert(err, qt.IsNil)
	var back Report
	c.Assert(json.Unmarshal(text, &back), qt.IsNil)
	c.Assert(back, qt.DeepEquals, report)
}
