package runner

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/frankban/quicktest"
)

const requiredSettings = `[vm]
id = a
centre = b
callers = 127.0.0.1:1
ready = 127.0.0.1:2
internal = 127.0.0.1:3
[platform]
store = 127.0.0.1:4
`

// TestPlanningSettings checks the switches of preemption and copies. One that were on by default, or read
// wrongly, would change the decisions of deployments that do not ask for it.
func TestPlanningSettings(t *testing.T) {
	c := quicktest.New(t)
	load := func(text string) (*Settings, error) {
		path := filepath.Join(t.TempDir(), "entry.ini")
		c.Assert(os.WriteFile(path, []byte(requiredSettings+text), 0o600), quicktest.IsNil)
		return LoadSettings(path)
	}
	s, err := load("")
	c.Assert(err, quicktest.IsNil)
	c.Assert(s.preempt || s.copies, quicktest.IsFalse)
	s, err = load("[planning]\npreempt = yes\n")
	c.Assert(err, quicktest.IsNil)
	c.Assert(s.preempt && !s.copies, quicktest.IsTrue)
	s, err = load("[planning]\ncopies = yes\n")
	c.Assert(err, quicktest.IsNil)
	c.Assert(s.copies && !s.preempt, quicktest.IsTrue)
	_, err = load("[planning]\ncopies = perhaps\n")
	c.Assert(err, quicktest.ErrorMatches, `(?s).*entry\.ini:10.*copies.*`)
}
