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

// work is how long each request of a load runs.
const work = 10 * time.Millisecond

// tally counts how the requests of a team ended.
type tally struct {
	ran, late, refused int
	slowest            time.Duration // refusal
}

// load sends requests of each team at its rate per second, for the time given.
// Each runs for work and has a deadline of two seconds.
func load(ctx context.Context, a *admitter.Admitter, length time.Duration, rates map[string]int) map[string]*tally {
	tallies := map[string]*tally{}
	results := make(chan func())
	for team, rate := range rates {
		t := &tally{}
		tallies[team] = t
		go func() {
			for range int(length.Seconds() * float64(rate)) {
				time.Sleep(time.Second / time.Duration(rate))
				go func() { results <- one(ctx, a, team, t) }()
			}
		}()
	}
	for _, rate := range rates {
		for range int(length.Seconds() * float64(rate)) {
			(<-results)()
		}
	}
	return tallies
}

// one runs one request and returns what to note of it.
func one(ctx context.Context, a *admitter.Admitter, team string, t *tally) func() {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	start := time.Now()
	done, err := a.Admit(ctx, team)
	if err != nil {
		took := time.Since(start)
		return func() {
			t.refused++
			t.slowest = max(t.slowest, took)
		}
	}
	time.Sleep(work)
	done()
	if ctx.Err() != nil {
		return func() { t.late++ }
	}
	return func() { t.ran++ }
}

// newAdmitter returns an Admitter of capacity for 1,000 requests of a load each
// second.
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
		over := load(t.Context(), a, 10*time.Second, map[string]int{"cremona": 2000})["cremona"]
		c.Check(over.late, qt.Equals, 0)
		c.Check(over.ran >= 9500, qt.IsTrue, qt.Commentf("%d of 10000 possible ran at twice the capacity", over.ran))
		c.Check(over.ran+over.refused, qt.Equals, 20000)
		c.Check(over.slowest <= admitter.DefaultMaxWait+100*time.Millisecond, qt.IsTrue, qt.Commentf("a refusal took %v", over.slowest))

		after := load(t.Context(), a, 2*time.Second, map[string]int{"cremona": 900})["cremona"]
		c.Check(after.ran, qt.Equals, 1800, qt.Commentf("after the overload"))
		running, waiting := a.Load()
		c.Check(running+waiting, qt.Equals, 0)
	})
}

func TestShares(t *testing.T) {
	c := qt.New(t)
	synctest.Test(t, func(t *testing.T) {
		share := map[string]float64{"large": 3, "small": 1}
		a := newAdmitter(c, admitter.WithWeight(func(team string) float64 { return share[team] }))
		got := load(t.Context(), a, 10*time.Second, map[string]int{"large": 1500, "small": 1500})
		part := float64(got["large"].ran) / float64(got["large"].ran+got["small"].ran)
		c.Check(part > 0.73 && part < 0.77, qt.IsTrue, qt.Commentf("large got %.3f, its share is 0.75", part))

		got = load(t.Context(), a, 10*time.Second, map[string]int{"large": 3000, "small": 200})
		c.Check(got["small"].refused, qt.Equals, 0, qt.Commentf("small asks for less than its share"))
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
	first, err := a.Admit(t.Context(), "cremona")
	c.Assert(err, qt.IsNil)
	_, err = a.Admit(t.Context(), "cremona")
	c.Assert(err, qt.IsNil)
	_, err = a.Admit(t.Context(), "cremona")
	assertRefusal(c, err, admitter.TeamLimit, "limit")
	_, err = a.Admit(t.Context(), "mantova")
	c.Assert(err, qt.IsNil)
	first()
	_, err = a.Admit(t.Context(), "cremona")
	c.Assert(err, qt.IsNil)
}

func TestGivenUp(t *testing.T) {
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
		wait := func(team string) {
			go func() {
				if _, err := a.Admit(t.Context(), team); err != nil {
					refused <- err
				}
			}()
			synctest.Wait()
		}
		for range 4 {
			wait("large")
		}
		c.Assert(refused, qt.HasLen, 0)
		wait("small") // It takes the place of one of the others.
		assertRefusal(c, <-refused, admitter.Overload, "overload")
		wait("large")
		assertRefusal(c, <-refused, admitter.Overload, "overload")
		_, waiting := a.Load()
		c.Assert(waiting, qt.Equals, 4)
	}) // The context of the test ends those that wait.
}

// assertRefusal checks a refusal on arrival.
func assertRefusal(c *qt.C, err error, kind admitter.Kind, code string) {
	c.Helper()
	var refusal *admitter.RefusalError
	c.Assert(errors.As(err, &refusal), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(refusal.Kind(), qt.Equals, kind)
	c.Assert(refusal.Code(), qt.Equals, code)
	c.Assert(refusal.RetryAfter() > 0, qt.Equals, kind != admitter.Permanent, qt.Commentf(fmt.Sprint(refusal.RetryAfter())))
}
