package admitter_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"filberthaven.example/admitter"
	qt "github.com/frankban/quicktest"
)

// requestTime is how long each request of a load runs.
const requestTime = 10 * time.Millisecond

// outcomes counts how the requests of a team ended: ran within their deadline, ran
// but ended late, or refused.
type outcomes struct {
	ran, late, refused int
	slowestRefusal     time.Duration
}

// sendLoad sends requests of each team at the team's rate per second, for the duration d.
// Each request runs for requestTime and has a deadline of two seconds.
func sendLoad(ctx context.Context, a *admitter.Admitter, d time.Duration, rates map[string]int) map[string]*outcomes {
	byTeam := map[string]*outcomes{}
	results := make(chan func())
	for team, rate := range rates {
		o := &outcomes{}
		byTeam[team] = o
		go func() {
			for range int(d.Seconds() * float64(rate)) {
				time.Sleep(time.Second / time.Duration(rate))
				go func() { results <- sendOne(ctx, a, team, o) }()
			}
		}()
	}
	for _, rate := range rates {
		for range int(d.Seconds() * float64(rate)) {
			(<-results)()
		}
	}
	return byTeam
}

// sendOne runs one request and returns a function that counts its outcome in o.
func sendOne(ctx context.Context, a *admitter.Admitter, team string, o *outcomes) func() {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	start := time.Now()
	done, err := a.Admit(ctx, team)
	if err != nil {
		elapsed := time.Since(start)
		return func() {
			o.refused++
			o.slowestRefusal = max(o.slowestRefusal, elapsed)
		}
	}
	time.Sleep(requestTime)
	done()
	if ctx.Err() != nil {
		return func() { o.late++ }
	}
	return func() { o.ran++ }
}

// newAdmitter returns an Admitter with a capacity of 1,000 requests of requestTime
// per second.
func newAdmitter(c *qt.C, options ...admitter.Option) *admitter.Admitter {
	options = append([]admitter.Option{admitter.WithLimit(func() int { return 10 })}, options...)
	a, err := admitter.New(options...)
	c.Assert(err, qt.IsNil)
	return a
}

func TestOverload(t *testing.T) {
	c := qt.New(t)
	synctest.Test(t, func(t *testing.T) {
		a := newAdmitter(c)
		overload := sendLoad(t.Context(), a, 10*time.Second, map[string]int{"cremona": 2000})["cremona"]
		c.Check(overload.late, qt.Equals, 0)
		c.Check(overload.ran >= 9500, qt.IsTrue, qt.Commentf("%d of 10000 possible ran at twice the capacity", overload.ran))
		c.Check(overload.ran+overload.refused, qt.Equals, 20000)
		c.Check(overload.slowestRefusal <= admitter.DefaultMaxWait+100*time.Millisecond, qt.IsTrue, qt.Commentf("a refusal took %v", overload.slowestRefusal))

		after := sendLoad(t.Context(), a, 2*time.Second, map[string]int{"cremona": 900})["cremona"]
		c.Check(after.ran, qt.Equals, 1800, qt.Commentf("after the overload"))
		running, waiting := a.Load()
		c.Check(running+waiting, qt.Equals, 0)
	})
}

func TestWeights(t *testing.T) {
	c := qt.New(t)
	synctest.Test(t, func(t *testing.T) {
		weights := map[string]float64{"large": 3, "small": 1}
		a := newAdmitter(c, admitter.WithWeight(func(team string) float64 { return weights[team] }))
		got := sendLoad(t.Context(), a, 10*time.Second, map[string]int{"large": 1500, "small": 1500})
		fraction := float64(got["large"].ran) / float64(got["large"].ran+got["small"].ran)
		c.Check(fraction > 0.73 && fraction < 0.77, qt.IsTrue, qt.Commentf("large got %.3f of the capacity, its fair share is 0.75", fraction))

		got = sendLoad(t.Context(), a, 10*time.Second, map[string]int{"large": 3000, "small": 200})
		c.Check(got["small"].refused, qt.Equals, 0, qt.Commentf("small sends less than its fair share"))
	})
}

func TestTeamLimit(t *testing.T) {
	c := qt.New(t)
	a := newAdmitter(c, admitter.WithTeamLimit(func(team string) int {
		if team == "cremona" {
			return 2
		}
		return -1
	}))
	done, err := a.Admit(t.Context(), "cremona")
	c.Assert(err, qt.IsNil)
	_, err = a.Admit(t.Context(), "cremona")
	c.Assert(err, qt.IsNil)
	_, err = a.Admit(t.Context(), "cremona")
	assertRefusal(c, err, admitter.TeamLimit, "limit")
	_, err = a.Admit(t.Context(), "mantova")
	c.Assert(err, qt.IsNil)
	done()
	_, err = a.Admit(t.Context(), "cremona")
	c.Assert(err, qt.IsNil)
}

func TestDeadlineWhileWaiting(t *testing.T) {
	c := qt.New(t)
	synctest.Test(t, func(t *testing.T) {
		a, err := admitter.New(admitter.WithLimit(func() int { return 1 }))
		c.Assert(err, qt.IsNil)
		done, err := a.Admit(t.Context(), "cremona")
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = a.Admit(ctx, "cremona")
		c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
		done()
		running, waiting := a.Load()
		c.Assert(running+waiting, qt.Equals, 0)
	})
}

func TestFullQueue(t *testing.T) {
	c := qt.New(t)
	synctest.Test(t, func(t *testing.T) {
		a, err := admitter.New(admitter.WithLimit(func() int { return 1 }), admitter.WithQueue(4, time.Hour))
		c.Assert(err, qt.IsNil)
		_, err = a.Admit(t.Context(), "large")
		c.Assert(err, qt.IsNil)
		refused := make(chan error, 10)
		enqueue := func(team string) {
			go func() {
				if _, err := a.Admit(t.Context(), team); err != nil {
					refused <- err
				}
			}()
			synctest.Wait()
		}
		for range 4 {
			enqueue("large")
		}
		c.Assert(refused, qt.HasLen, 0)
		enqueue("small") // Displaces a request of large.
		assertRefusal(c, <-refused, admitter.Overload, "overload")
		enqueue("large")
		assertRefusal(c, <-refused, admitter.Overload, "overload")
		_, waiting := a.Load()
		c.Assert(waiting, qt.Equals, 4)
	}) // Cancelling the context of the test ends the waiting requests.
}

// assertRefusal asserts that err is a refusal of the kind and code, with a delay
// before the next attempt unless it is permanent.
func assertRefusal(c *qt.C, err error, kind admitter.Kind, code string) {
	c.Helper()
	var refusal *admitter.RefusalError
	c.Assert(errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(refusal.Kind(), qt.Equals, kind)
	c.Assert(refusal.Code(), qt.Equals, code)
	c.Assert(refusal.RetryAfter() > 0, qt.Equals, kind != admitter.Permanent, qt.Commentf(fmt.Sprint(refusal.RetryAfter())))
}
