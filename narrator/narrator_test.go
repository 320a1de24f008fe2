package narrator

import (
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

const id = "5c0e7a21d94b36f8"

func TestCause(t *testing.T) {
	for _, test := range []struct{ name, cause, firstLog, secondLog string }{
		{
			"refused under load", "the work ahead of it could not be done in time, so it was refused",
			`2026-01-20T01:58:41.100Z [INFO]  filberthaven.conductor: job refused: job=` + id + ` reason="the work ahead can't be done in time" after=3s`,
			``,
		},
		{
			"refused while starts wait for the owner", "the starts ahead of it could not be ordered in time, so it was refused",
			`2026-01-20T01:58:41.100Z [INFO]  filberthaven.conductor: job refused: job=` + id + ` reason="the starts ahead can't be ordered in time" after=3s`,
			``,
		},
		{
			"late after a change of owner", "it completed; the fleet changed its owner meanwhile",
			"2026-01-20T01:58:41.100Z [INFO]  filberthaven.conductor: job accepted: job=" + id,
			"2026-01-20T01:58:44.000Z [INFO]  filberthaven.conductor: fleet taken over: term=9\n" +
				"2026-01-20T01:58:45.000Z [INFO]  filberthaven.conductor: job ended: job=" + id + " state=completed",
		},
		{
			"lost with its executor", "it completed; a run was lost with its executor",
			"2026-01-20T01:58:45.000Z [INFO]  filberthaven.conductor: job ended: job=" + id + " state=completed",
			"2026-01-20T01:58:43.000Z [INFO]  filberthaven.conductor: end: task=" + id + ".0.0.1 run=1 worker=i-1 how=lost",
		},
		{
			"no owner", "the entry VM reached no owner of the fleet",
			"2026-01-20T01:58:45.000Z [INFO]  filberthaven.receiver: request not passed on: method=POST path=/q/" + id + " sure=true",
			"2026-01-20T01:58:45.000Z [INFO]  filberthaven.conductor: job ended: job=other state=failed",
		},
		{
			"begun", "it runs, or its end was not reported yet",
			"2026-01-20T01:58:41.100Z [INFO]  filberthaven.conductor: start: task=" + id + ".0.0.0 run=1 worker=i-1 reason=room",
			"2026-01-20T01:58:41.200Z [INFO]  filberthaven.conductor: job begun: job=" + id + " worker=i-1",
		},
		{
			"another job begun", "its start was decided, but no line shows that a worker has begun it",
			"2026-01-20T01:58:41.100Z [INFO]  filberthaven.conductor: start: task=" + id + ".0.0.0 run=1 worker=i-1 reason=room",
			"2026-01-20T01:58:41.200Z [INFO]  filberthaven.conductor: job begun: job=other worker=i-1",
		},
		{
			"done in a log without begun jobs", "a run of it is done, and its end was not reported yet",
			"2026-01-20T01:58:41.100Z [INFO]  filberthaven.conductor: start: task=" + id + ".0.0.0 run=1 worker=i-1 reason=room",
			"2026-01-20T01:58:41.200Z [INFO]  filberthaven.conductor: end: task=" + id + ".0.0.0 run=1 worker=i-1 how=done",
		},
		{
			"withdrawn", "a start was withdrawn before its order was sent",
			"2026-01-20T01:58:41.100Z [INFO]  filberthaven.conductor: start: task=" + id + ".0.0.0 run=1 worker=i-1 reason=room",
			"2026-01-20T01:58:41.200Z [INFO]  filberthaven.conductor: start withdrawn: task=" + id + ".0.0.0 run=1 worker=i-1 fresh=true late=true wanted=true",
		},
		{
			"taken back and started again", "it completed; starts of some jobs were withdrawn meanwhile because the journal could not be written",
			"2026-01-20T01:58:41.100Z [INFO]  filberthaven.conductor: start: task=" + id + ".0.0.0 run=1 worker=i-1 reason=room\n" +
				"2026-01-20T01:58:41.200Z [INFO]  filberthaven.conductor: starts taken back: starts=3 error=unavailable",
			"2026-01-20T01:58:41.300Z [INFO]  filberthaven.conductor: start: task=" + id + ".0.0.0 run=2 worker=i-1 reason=room\n" +
				"2026-01-20T01:58:45.000Z [INFO]  filberthaven.conductor: job ended: job=" + id + " state=completed",
		},
		{
			"decided by serve", "the logs don't tell",
			"2026-01-20T01:58:41.100Z [INFO]  scheduler: Decided.: shard=a.0 decision=start task=" + id + "/0 worker=w-1 attempt=1 reason=room",
			"2026-01-20T01:58:41.200Z [INFO]  scheduler: Start reverted.: shard=a.0 task=" + id + "/0 worker=w-1 reason=\"worker not reached\"",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			timeline := New(id)
			c.Assert(timeline.Read(strings.NewReader(test.firstLog)), quicktest.IsNil)
			c.Assert(timeline.Read(strings.NewReader(test.secondLog)), quicktest.IsNil)
			c.Assert(timeline.Cause(), quicktest.Equals, test.cause)
		})
	}
}

// TestWrite checks that the lines of several logs are printed in order of time, and that
// lines of other jobs are omitted.
func TestWrite(t *testing.T) {
	c := quicktest.New(t)
	timeline := New(id)
	c.Assert(timeline.Read(strings.NewReader("2026-01-20T01:58:45.000Z b "+id+"\n2026-01-20T01:58:46.000Z other")), quicktest.IsNil)
	c.Assert(timeline.Read(strings.NewReader("2026-01-20T01:58:44.000Z a "+id)), quicktest.IsNil)
	var out strings.Builder
	c.Assert(timeline.Write(&out), quicktest.IsNil)
	c.Assert(out.String(), quicktest.Equals, "2026-01-20T01:58:44.000Z a "+id+"\n2026-01-20T01:58:45.000Z b "+id+"\n\ncause: the logs don't tell\n")
}
