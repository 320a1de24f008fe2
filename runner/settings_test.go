package runner

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/frankban/quicktest"
)

// TestBackfillSetting guards against a switch that has no effect, is on by default, or takes a
// value that means neither yes nor no.
func TestBackfillSetting(t *testing.T) {
	const required = "[vm]\nid = a\ncentre = c\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\ninternal = 127.0.0.1:3\n[platform]\nstore = 127.0.0.1:4\n"
	load := func(planning string) (*Settings, error) {
		path := filepath.Join(t.TempDir(), "entry.ini")
		quicktest.Assert(t, os.WriteFile(path, []byte(required+planning), 0o600), quicktest.IsNil)
		return LoadSettings(path)
	}
	for planning, want := range map[string]bool{"": false, "[planning]\nbackfill = no\n": false, "[planning]\nbackfill = yes\n": true} {
		s, err := load(planning)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, s.backfill, quicktest.Equals, want)
	}
	_, err := load("[planning]\nbackfill = maybe\n")
	quicktest.Assert(t, err, quicktest.ErrorMatches, `(?s).*entry.ini:10.*backfill.*maybe.*`)
}
