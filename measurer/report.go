package measurer

import (
	"time"

	"filberthaven.example/placer"
)

// Report holds the measurements of one call of Run.
type Report struct {
	Seed   uint64         `json:"seed"`
	Loads  []Load         `json:"loads"`
	Checks []Check        `json:"checks"`
	Nights []SizingResult `json:"nights"`
}

// Load holds the results of all policies for one workload.
type Load struct {
	Name     string   `json:"name"`
	Workers  int      `json:"workers"`
	Jobs     int      `json:"jobs"`
	Policies []Policy `json:"policies"`
}

// Policy holds the results of one policy for a workload.
type Policy struct {
	Name      string    `json:"name"`
	Waits     []Wait    `json:"waits"`
	Due       int       `json:"due"`       // deferred jobs with a deadline up to the end of the run
	Missed    float64   `json:"missed"`    // fraction of Due not done in time
	Work      float64   `json:"work"`      // core seconds of tasks that succeeded
	Good      float64   `json:"good"`      // core seconds of jobs done in time or without a deadline
	Used      float64   `json:"used"`      // mean fraction of all processors allocated
	Series    []float64 `json:"series"`    // fraction of all processors allocated over time, one value each 30 s
	Decisions int64     `json:"decisions"` // calls of the policy that made at least one decision
	P50       float64   `json:"p50"`       // microseconds per decision: quantile over these calls of the mean within a call
	P99       float64   `json:"p99"`       // microseconds per decision, likewise
}

// Wait is the time from arrival to the first start of the tasks of a class.
type Wait struct {
	Class string  `json:"class"`
	Tasks int64   `json:"tasks"`
	P50   float64 `json:"p50"` // seconds
	P99   float64 `json:"p99"` // seconds
	Max   float64 `json:"max"` // seconds
}

// Check compares a measured value with its target.
type Check struct {
	Name   string  `json:"name"`
	Figure float64 `json:"figure"`
	Target float64 `json:"target"`
	Least  bool    `json:"least"` // the target is a lower bound, else an upper bound
	Met    bool    `json:"met"`
	Note   string  `json:"note"`
}

func atLeast(name string, figure, target float64, note string) Check {
	return Check{Name: name, Figure: figure, Target: target, Least: true, Met: figure >= target, Note: note}
}

func atMost(name string, figure, target float64, note string) Check {
	return Check{Name: name, Figure: figure, Target: target, Met: figure <= target, Note: note}
}

// summary returns the results of a policy for the report.
func (t *tally) summary(name string) Policy {
	p := Policy{
		Name: name, Due: t.due, Missed: t.missedFraction(), Work: t.coreSeconds, Good: t.goodput, Used: mean(t.utilization), Series: t.utilization,
		Decisions: t.decisions.TotalCount(),
		P50:       microseconds(t.decisions.ValueAtQuantile(50)),
		P99:       microseconds(t.decisions.ValueAtQuantile(99)),
	}
	for class := placer.Urgent; class <= placer.BestEffort; class++ {
		h := t.waits[class]
		p.Waits = append(p.Waits, Wait{
			Class: class.String(), Tasks: h.TotalCount(),
			P50: seconds(h.ValueAtQuantile(50)), P99: seconds(h.ValueAtQuantile(99)), Max: seconds(h.Max()),
		})
	}
	return p
}

func microseconds(ns int64) float64 { return float64(ns) / float64(time.Microsecond) }

func seconds(ms int64) float64 { return float64(ms) / 1000 }
