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
	s, err := load("")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, s.planning(), quicktest.HasLen, 0)
	for key, field := range map[string]func(*Settings) bool{
		"runtimes": func(s *Settings) bool { return s.runTimes }, "speeds": func(s *Settings) bool { return s.speeds },
		"spread": func(s *Settings) bool { return s.spread }, "backfill": func(s *Settings) bool { return s.backfill },
		"preempt": func(s *Settings) bool { return s.preempt }, "copies": func(s *Settings) bool { return s.copies },
	} {
		for value, options := range map[string]int{"no": 0, "yes": 1} {
			s, err := load("[planning]\n" + key + " = " + value + "\n")
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Check(t, field(s), quicktest.Equals, value == "yes", quicktest.Commentf("%s = %s", key, value))
			quicktest.Check(t, s.planning(), quicktest.HasLen, options)
		}
	}
	for _, key := range []string{"runtimes", "speeds", "spread", "backfill", "preempt", "copies"} {
		_, err := load("[planning]\n" + key + " = maybe\n")
		quicktest.Check(t, err, quicktest.ErrorMatches, `(?s).*entry.ini:10.*`+key+`.*maybe.*`)
	}
}
