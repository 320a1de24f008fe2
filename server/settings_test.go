package server

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"filberthaven.example/loader"
	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"
)

// TestSettingsFiles decodes the file vm.ini of each testdata/settings/*.txtar. The second
// file is errors.txt with the expected error, or an empty ok.txt for valid settings.
func TestSettingsFiles(t *testing.T) {
	paths, err := filepath.Glob("testdata/settings/*.txtar")
	c := qt.New(t)
	c.Assert(err, qt.IsNil)
	c.Assert(paths, qt.Not(qt.HasLen), 0)
	for _, path := range paths {
		c.Run(filepath.Base(path), func(c *qt.C) {
			archive, err := txtar.ParseFile(path)
			c.Assert(err, qt.IsNil)
			c.Assert(archive.Files, qt.HasLen, 2)
			_, err = decodeSettings(loader.NewFile("vm.ini", archive.Files[0].Data))
			want := string(archive.Files[1].Data)
			if archive.Files[1].Name == "ok.txt" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.IsNotNil)
			c.Assert(err.Error(), qt.Equals, strings.TrimSpace(want))
		})
	}
}

func TestNewSettings(t *testing.T) {
	c := qt.New(t)
	settings, err := NewSettings(WithCentre("a"), WithCentres(NewCentre("a", 2)), WithPlatform("http://127.0.0.1:1"))
	c.Assert(err, qt.IsNil)
	c.Assert(settings.Advertise(), qt.Equals, settings.Internal())
	c.Assert(settings.Centres()[0].Shards(), qt.DeepEquals, []string{"a.0", "a.1"})
	_, err = NewSettings(WithListen("0.0.0.0:80"))
	c.Assert(errors.Is(err, ErrPlaintext), qt.IsTrue)
}

func TestLoadSettingsNoFile(t *testing.T) {
	c := qt.New(t)
	_, err := LoadSettings(filepath.Join(c.TempDir(), "none.ini"))
	c.Assert(err, qt.ErrorMatches, `.*none\.ini.*`)
}

// FuzzSettings asserts that settings that decode without an error don't contradict each
// other.
func FuzzSettings(f *testing.F) {
	paths, err := filepath.Glob("testdata/settings/*.txtar")
	if err != nil {
		f.Fatal(err)
	}
	for _, path := range paths {
		archive, err := txtar.ParseFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(archive.Files[0].Data))
	}
	f.Fuzz(func(t *testing.T, text string) {
		settings, err := decodeSettings(loader.NewFile("vm.ini", []byte(text)))
		if err != nil {
			return
		}
		c := qt.New(t)
		c.Assert(settings.check(), qt.HasLen, 0)
		c.Assert(settings.ID(), qt.Not(qt.Equals), "")
		c.Assert(settings.DrainTimeout() > 0, qt.IsTrue)
	})
}
