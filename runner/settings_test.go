package runner

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/frankban/quicktest"
)

// TestPlanningSettings guards against planning that is switched on where the settings do not
// call for it, and against a wrong value that is not found.
func TestPlanningSettings(t *testing.T) {
	const required = "[vm]\nid = a\ncentre = c\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\ninternal = 127.0.0.1:3\n[platform]\nstore = 127.0.0.1:4\n"
	load := func(section string) (*Settings, error) {
		path := filepath.Join(t.TempDir(), "entry.ini")
		quicktest.Assert(t, os.WriteFile(path, []byte(required+section), 0o600), quicktest.IsNil)
		return LoadSettings(path)
	}
	for section, options := range map[string]int{"": 0, "[planning]\n": 0, "[planning]\nruntimes = no\n": 0, "[planning]\nruntimes = yes\n": 1, "[planning]\nbackfill = yes\nspeeds = yes\nspread = yes\nruntimes = no\npreempt = yes\ncopies = yes\n": 5} {
		s, err := load(section)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, s.planning(), quicktest.HasLen, options, quicktest.Commentf("%q", section))
	}
	for _, key := range []string{"runtimes", "speeds", "spread", "backfill", "preempt", "copies"} {
		_, err := load("[planning]\n" + key + " = maybe\n")
		quicktest.Check(t, err, quicktest.ErrorMatches, `(?s).*entry.ini:10.*`+key+`.*maybe.*`)
	}
}
