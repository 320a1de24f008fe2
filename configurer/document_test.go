package configurer

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"filberthaven.example/loader"
	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/txtar"
)

// parseText parses declarations that must be valid.
func parseText(c *qt.C, text string) *Document {
	c.Helper()
	d, err := Parse(loader.NewFile("fleet.ini", []byte(text)))
	c.Assert(err, qt.IsNil)
	return d
}

// TestDocuments parses the declarations in each testdata/documents/*.txtar. The last file
// holds what is expected: errors.txt for declarations with faults, export.ini for others.
func TestDocuments(t *testing.T) {
	c := qt.New(t)
	paths, err := filepath.Glob("testdata/documents/*.txtar")
	c.Assert(err, qt.IsNil)
	c.Assert(len(paths) > 0, qt.IsTrue)
	for _, path := range paths {
		c.Run(filepath.Base(path), func(c *qt.C) {
			archive, err := txtar.ParseFile(path)
			c.Assert(err, qt.IsNil)
			var files []loader.File
			last := archive.Files[len(archive.Files)-1]
			for _, file := range archive.Files[:len(archive.Files)-1] {
				files = append(files, loader.NewFile(file.Name, file.Data))
			}
			d, err := Parse(files...)
			if last.Name == "errors.txt" {
				c.Assert(err, qt.IsNotNil)
				c.Assert(err.Error(), qt.Equals, strings.TrimSpace(string(last.Data)))
				return
			}
			c.Assert(err, qt.IsNil)
			assertExport(c, d, string(last.Data))
		})
	}
}

// assertExport checks the text of the document, and that parsing it gives an equal
// document.
func assertExport(c *qt.C, d *Document, want string) {
	c.Helper()
	c.Assert(string(d.Text()), qt.Equals, want)
	parsed, err := Parse(loader.NewFile("export.ini", d.Text()))
	c.Assert(err, qt.IsNil)
	c.Assert(Compare(d, parsed), qt.HasLen, 0)
}

const resolverText = `
[defaults]
limit = 100
timeout = 3s

[centre "a"]

[service "prenota"]
centres = a
timeout = 1s

[team "cremona"]
limit = 40

[team "mantova"]

[exception "harvest"]
scope = team cremona
key = limit
value = 60
reason = harvest
author = ada
expires = 2026-11-01T00:00:00Z

[exception "slow"]
scope = centre a
key = timeout
value = 2s
reason = long line
author = ada
`

func TestResolver(t *testing.T) {
	c := qt.New(t)
	d := parseText(c, resolverText)
	expiry := time.Date(2026, 11, 1, 0, 0, 0, 0, time.UTC)
	before, after := d.At(expiry.Add(-time.Second)), d.At(expiry)
	c.Assert(before.Limit("cremona"), qt.Equals, int64(60_000))
	c.Assert(after.Limit("cremona"), qt.Equals, int64(40_000))
	c.Assert(after.Limit("mantova"), qt.Equals, int64(100_000))
	c.Assert(after.Share("mantova"), qt.Equals, 1.0)
	c.Assert(after.Slots("mantova"), qt.Equals, Unlimited)
	c.Assert(after.Timeout("mantova", "prenota", "a"), qt.Equals, 2*time.Second)
	c.Assert(after.Timeout("mantova", "prenota", "b"), qt.Equals, time.Second)
	c.Assert(after.Timeout("mantova", "tariffe", "b"), qt.Equals, 3*time.Second)
}

func TestFormatProcessors(t *testing.T) {
	c := qt.New(t)
	for text, amount := range map[string]int64{"0": 0, "2.5": 2500, "400": 400_000, "0.001": 1, "none": Unlimited} {
		parsed, err := parseProcessors(text)
		c.Assert(err, qt.IsNil)
		c.Assert(parsed, qt.Equals, amount)
		c.Assert(FormatProcessors(amount), qt.Equals, text)
	}
}

// TestNewerVersion checks that a document with keys of a newer program version is refused in
// files, but decoded if it was accepted, with the unknown keys listed.
func TestNewerVersion(t *testing.T) {
	c := qt.New(t)
	text := "[centre \"a\"]\nheight = 3\n[zeppelin]\nlength = 1\n"
	_, err := Parse(loader.NewFile("fleet.ini", []byte(text)))
	c.Assert(err, qt.ErrorIs, loader.ErrUnknownKey)
	d, err := parseAccepted([]byte(text))
	c.Assert(err, qt.IsNil)
	c.Assert(d.Shards(), qt.DeepEquals, []string{"a.0"})
	c.Assert(d.unknown, qt.HasLen, 2)
}

// FuzzDocument checks that the text of a valid document parses to an equal document.
func FuzzDocument(f *testing.F) {
	paths, err := filepath.Glob("testdata/documents/*.txtar")
	if err != nil {
		f.Fatal(err)
	}
	for _, path := range paths {
		archive, err := txtar.ParseFile(path)
		if err != nil {
			f.Fatal(err)
		}
		for _, file := range archive.Files {
			f.Add(string(file.Data))
		}
	}
	f.Fuzz(func(t *testing.T, text string) {
		d, err := Parse(loader.NewFile("fuzz.ini", []byte(text)))
		if err != nil {
			return
		}
		assertExport(qt.New(t), d, string(d.Text()))
	})
}
