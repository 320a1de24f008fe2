package measurer

import (
	"time"

	"filberthaven.example/placer"
)

// Report is what a call of Run measured.
type Report struct {
	Seed   uint64         `json:"seed"`
	Loads  []Load         `json:"loads"`
	Checks []Check        `json:"checks"`
	Nights []SizingResult `json:"nights"`
}

// Load is what the policies made of one workload.
type Load struct {
	Name     string   `json:"name"`
	Workers  int      `json:"workers"`
	Jobs     int      `json:"jobs"`
	Policies []Policy `json:"policies"`
}

// Policy is what one policy made of a workload.
type Policy struct {
	Name      string    `json:"name"`
	Waits     []Wait    `json:"waits"`
	Due       int       `json:"due"`       // deferred jobs with a deadline before the end
	Missed    float64   `json:"missed"`    // part of these not done in time
	Work      float64   `json:"work"`      // core seconds finished
	Good      float64   `json:"good"`      // core seconds of jobs done in time
	Used      float64   `json:"used"`      // mean part of all processors held
	Series    []float64 `json:"series"`    // the same over time, one value each 30 s
	Decisions int64     `json:"decisions"` // calls that decided something
	P50       float64   `json:"p50"`       // microseconds for one decision
	P99       float64   `json:"p99"`
}

// Wait is the time from arrival to the first start of the tasks of a class.
type Wait struct {
	Class string  `json:"class"`
	Tasks int64   `json:"tasks"`
	P50   float64 `json:"p50"` // seconds
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

// Check is a figure against its target.
type Check struct {
	Name   string  `json:"name"`
	Figure float64 `json:"figure"`
	Target float64 `json:"target"`
	Least  bool    `json:"least"` // the target is the least that is right, else the most
	Met    bool    `json:"met"`
	Note   string  `json:"note"`
}

func atLeast(name string, figure, target float64, note string) Check {
	return Check{Name: name, Figure: figure, Target: target, Least: true, Met: figure >= target, Note: note}
}

func atMost(name string, figure, target float64, note string) Check {
	return Check{Name: name, Figure: figure, Target: target, Met: figure <= target, Note: note}
}

// summary turns a tally into what is reported.
func (t *tally) summary(name string) Policy {
	p := Policy{
		Name: name, Due: t.due, Missed: t.missedPart(), Work: t.work, Good: t.good, Used: mean(t.used), Series: t.used,
		Decisions: t.decisions.TotalCount(),
		P50:       micros(t.decisions.ValueAtQuantile(50)),
		P99:       micros(t.decisions.ValueAtQuantile(99)),
	}
	for class := placer.Urgent; class <= placer.BestEffort; class++ {
		h := t.waits[class]
		p.Waits = append(p.Waits, Wait{
			Class: class.String(), Tasks: h.TotalCount(),
			P50: secondsOf(h.ValueAtQuantile(50)), P99: secondsOf(h.ValueAtQuantile(99)), Max: secondsOf(h.Max()),
		})
	}
	return p
}

func micros(ns int64) float64 { return float64(ns) / float64(time.Microsecond) }

func secondsOf(ms int64) float64 { return float64(ms) / 1000 }
