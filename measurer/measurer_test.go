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

// smallLoad returns a load that runs within a second.
func smallLoad(seed uint64) *load {
	b := newLoadBuilder("small", seed, 20*time.Minute)
	b.addWorkers(10, placer.NewResources(16_000, 64<<10, 0))
	b.addTeams(3)
	b.addJobs(services, 0.1, 0, time.Minute)
	b.addJobs(confirms, 0.01, 0, 15*time.Minute)
	b.addJobs(tariffs, 0.9, 0, 15*time.Minute)
	return b.load
}

func runPlacer(c *qt.C, l *load, seed uint64) *tally {
	c.Helper()
	t, err := runPlacerPolicy(l, seed)
	c.Assert(err, qt.IsNil)
	return t
}

func TestEngine(t *testing.T) {
	c := qt.New(t)
	c.Run("equal seeds give equal utilization", func(c *qt.C) {
		a, b := runPlacer(c, smallLoad(1), 1), runPlacer(c, smallLoad(1), 1)
		c.Assert(a.coreSeconds > 0, qt.IsTrue)
		c.Assert(a.utilization, qt.DeepEquals, b.utilization)
		c.Assert(runPlacer(c, smallLoad(2), 1).utilization, qt.Not(qt.DeepEquals), a.utilization)
	})
	c.Run("no baseline allocates more than the capacity", func(c *qt.C) {
		for _, make := range []func(*load) *policy{fifo, oracle} {
			l := smallLoad(1)
			for _, fraction := range newEngine(l, make(l)).run().utilization {
				c.Assert(fraction >= 0 && fraction <= 1, qt.IsTrue)
			}
		}
	})
	c.Run("most work is done despite a broken worker", func(c *qt.C) {
		l := smallLoad(1)
		l.broken["w0"] = true
		healthy, degraded := runPlacer(c, smallLoad(1), 1), runPlacer(c, l, 1)
		c.Assert(degraded.coreSeconds > minBrokenWork*healthy.coreSeconds, qt.IsTrue)
	})
	c.Run("urgent tasks start in time", func(c *qt.C) {
		result := runPlacer(c, smallLoad(1), 1)
		c.Assert(result.waits[placer.Urgent].TotalCount() > 0, qt.IsTrue)
		c.Assert(seconds(result.waits[placer.Urgent].ValueAtQuantile(99)) <= maxUrgentWait, qt.IsTrue)
	})
}

func TestPacking(t *testing.T) {
	c := qt.New(t)
	check, err := measurePacking(1)
	c.Assert(err, qt.IsNil)
	c.Assert(check.Figure >= minPacking, qt.IsTrue, qt.Commentf("%+v", check))
}

func TestNight(t *testing.T) {
	c := qt.New(t)
	reactive, err := runNight("threshold", 1, threshold(0.9, 0.6, 0.2))
	c.Assert(err, qt.IsNil)
	predictive, err := runNight("feed forward", 1, feedForward)
	c.Assert(err, qt.IsNil)
	c.Assert(predictive.Hours < reactive.Hours, qt.IsTrue, qt.Commentf("%+v and %+v", predictive, reactive))
	c.Assert(predictive.Missed <= 1-confidence, qt.IsTrue)
}

func TestReport(t *testing.T) {
	c := qt.New(t)
	_, err := Run(WithLoads("nothing"))
	c.Assert(err, qt.ErrorIs, ErrUnknownLoad)
	report := Report{Seed: 7, Loads: []Load{{Name: "small", Policies: []Policy{runPlacer(c, smallLoad(1), 1).summary("placer")}}}}
	report.Checks = []Check{atLeast("kept", 0.5, 0.9, ""), atMost("held", 0.5, 0.9, "")}
	c.Assert(report.Checks[0].Met, qt.IsFalse)
	c.Assert(report.Checks[1].Met, qt.IsTrue)
	var html bytes.Buffer
	c.Assert(report.HTML(&html), qt.IsNil)
	c.Assert(html.String(), qt.Contains, "<polyline")
	c.Assert(strings.Contains(html.String(), "http"), qt.IsFalse)
	data, err := json.Marshal(report)
	c.Assert(err, qt.IsNil)
	var decoded Report
	c.Assert(json.Unmarshal(data, &decoded), qt.IsNil)
	c.Assert(decoded, qt.DeepEquals, report)
}
