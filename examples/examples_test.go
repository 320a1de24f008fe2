package examples_test

import (
	"path/filepath"
	"testing"
	"time"

	"filberthaven.example/configurer"
	"filberthaven.example/examples"
	"filberthaven.example/loader"
	"filberthaven.example/server"
	qt "github.com/frankban/quicktest"
)

// sizes are the expected sizes of the deployments.
var sizes = map[string]struct {
	entries    int   // entry VMs
	processors int64 // of all workers, in thousandths of a processor
}{
	"essiccatoi": {9, 50 * 16_000},
	"lychnos":    {7, 50 * 32_000},
}

func TestExamples(t *testing.T) {
	for _, name := range examples.Names() {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			folder, err := examples.Declarations(name)
			c.Assert(err, qt.IsNil)
			document, err := configurer.ParseFolder(folder)
			c.Assert(err, qt.IsNil)
			assertDocument(c, document, sizes[name].processors)
			assertSettings(c, name, document, sizes[name].entries)
		})
	}
}

// assertDocument checks the declarations of a deployment. It has three shards and six
// teams, and no team has a limit above the size of the fleet. Each service runs in three
// data centres and has 8 slots and 64 connections.
func assertDocument(c *qt.C, d *configurer.Document, processors int64) {
	c.Helper()
	c.Assert(d.Shards(), qt.HasLen, 3)
	now := d.At(time.Now())
	teams := 0
	for team := range d.Teams() {
		teams++
		c.Assert(now.Limit(team.Name()) <= processors, qt.IsTrue)
	}
	c.Assert(teams, qt.Equals, 6)
	for service := range d.Services() {
		c.Assert(service.Slots(), qt.Equals, 8)
		c.Assert(service.Connections(), qt.Equals, 64)
		c.Assert(service.Centres(), qt.HasLen, 3)
	}
}

// assertSettings checks that there is a settings file for each entry VM, and that each file
// is valid, names a declared data centre and has a unique id.
func assertSettings(c *qt.C, name string, d *configurer.Document, entries int) {
	c.Helper()
	folder, err := examples.Settings(name)
	c.Assert(err, qt.IsNil)
	files, err := loader.ReadFolder(folder)
	c.Assert(err, qt.IsNil)
	c.Assert(files, qt.HasLen, entries)
	ids := map[string]bool{}
	for _, file := range files {
		settings, err := server.LoadSettings(filepath.Join(name, "settings", file.Name()))
		c.Assert(err, qt.IsNil)
		_, known := d.Centre(settings.Centre())
		c.Assert(known, qt.IsTrue)
		ids[settings.ID()] = true
	}
	c.Assert(ids, qt.HasLen, entries)
}

func TestUnknownExample(t *testing.T) {
	_, err := examples.Declarations("nobody")
	qt.New(t).Assert(err, qt.ErrorIs, examples.ErrUnknownExample)
}
