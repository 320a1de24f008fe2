package narrator

import (
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// TestDecidedStartIsNotRunning checks that a start that was decided and withdrawn is not
// explained as a running job.
func TestDecidedStartIsNotRunning(t *testing.T) {
	const start = "2026-01-20T01:58:41.100Z [INFO]  filberthaven.conductor: start: task=" + id + ".0.0.0 run=1 worker=i-1 reason=room\n"
	for name, log := range map[string]string{
		"decided": start,
		"withdrawn": start +
			"2026-01-20T01:58:41.200Z [INFO]  filberthaven.conductor: start withdrawn: task=" + id + ".0.0.0 run=1 worker=i-1 fresh=false late=false wanted=true\n",
		"taken back": start +
			"2026-01-20T01:58:41.200Z [INFO]  filberthaven.conductor: starts taken back: starts=1 error=unavailable\n",
	} {
		t.Run(name, func(t *testing.T) {
			timeline := New(id)
			quicktest.Assert(t, timeline.Read(strings.NewReader(log)), quicktest.IsNil)
			quicktest.Assert(t, timeline.Cause(), quicktest.Not(quicktest.Contains), "it runs")
		})
	}
}

// TestCrashIsExplained checks that a job that failed since a task of it crashes its executors
// is not explained as one that used up its attempts.
func TestCrashIsExplained(t *testing.T) {
	timeline := New(id)
	log := "2026-01-20T01:58:41.100Z [INFO]  filberthaven.conductor: worker crashed: task=" + id + ".0.0.0 run=2 suspect=true proven=true\n" +
		"2026-01-20T01:58:41.200Z [INFO]  filberthaven.conductor: job ended: job=" + id + " state=failed\n"
	quicktest.Assert(t, timeline.Read(strings.NewReader(log)), quicktest.IsNil)
	quicktest.Assert(t, timeline.Cause(), quicktest.Contains, "crashed the executors")
	quicktest.Assert(t, timeline.Cause(), quicktest.Not(quicktest.Contains), "attempts")
}
