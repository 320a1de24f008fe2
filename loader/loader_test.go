package loader_test

import (
	"errors"
	"testing"
	"time"

	"filberthaven.example/loader"
	qt "github.com/frankban/quicktest"
)

// decode decodes a sample format, with a fleet section and repeated team sections.
func decode(text string) (names []string, shares []float64, err error) {
	d := loader.NewDecoder(loader.NewFile("teams.ini", []byte(text)))
	fleet := d.Section("fleet")
	loader.Get(fleet, "timeout", loader.Duration, time.Second, loader.Between(time.Millisecond, time.Hour))
	loader.Get(fleet, "hours", loader.List(loader.Int), nil)
	for s := range d.Sections("team") {
		names = append(names, s.Name())
		shares = append(shares, loader.Require(s, "share", loader.Float, loader.Between(0.1, 100.0)))
		loader.Get(s, "note", loader.Text, "")
	}
	return names, shares, d.Err()
}

func TestDecode(t *testing.T) {
	c := qt.New(t)
	names, shares, err := decode("# teams\n[fleet]\ntimeout = 2s\n\n[team \"prenota\"]\nshare = 2.5\nnote = ticket #12; by hand \"x\"\n[team \"tariffe\"]\nshare=1\n")
	c.Assert(err, qt.IsNil)
	c.Assert(names, qt.DeepEquals, []string{"prenota", "tariffe"})
	c.Assert(shares, qt.DeepEquals, []float64{2.5, 1})
}

func TestErrors(t *testing.T) {
	tests := []struct {
		name, text, want string
		kind             error
	}{
		{"bad value", "[team \"a\"]\n\nshare = much\n", `teams.ini:3: [team "a"] share: bad value: want a number: "much"`, loader.ErrValue},
		{"out of bounds", "[team \"a\"]\nshare = 101\n", `teams.ini:2: [team "a"] share: bad value: want 0.1 to 100: 101`, loader.ErrValue},
		{"missing", "\n[team \"a\"]\n", `teams.ini:2: [team "a"] share: required key is missing`, loader.ErrMissing},
		{"empty", "[team \"a\"]\nshare =\n", `teams.ini:2: [team "a"] share: required key is missing`, loader.ErrMissing},
		{"unknown key", "[fleet]\nhurs = 1\n", "teams.ini:2: [fleet] hurs: unknown key", loader.ErrUnknownKey},
		{"unknown section", "[fleat]\n", "teams.ini:1: [fleat] unknown section", loader.ErrUnknownSection},
		{"duplicate section", "[fleet]\n[fleet]\n", "teams.ini:2: [fleet] stands twice, first at teams.ini:1", loader.ErrDuplicate},
		{"duplicate key", "[fleet]\ntimeout = 1s\ntimeout = 2s\n", "teams.ini:3: [fleet] timeout: stands twice", loader.ErrDuplicate},
		{"duplicate value in a list", "[fleet]\nhours = 1, 2, 1\n", `teams.ini:2: [fleet] hours: bad value: "1" stands twice in the list`, loader.ErrValue},
		{"key outside a section", "share = 1\n", "teams.ini:1: syntax error: key outside a section", loader.ErrSyntax},
		{"no delimiter", "[fleet]\nshare\n", `teams.ini:2: syntax error: want key = value: "share"`, loader.ErrSyntax},
		{"header", "[team prenota]\n", `teams.ini:1: syntax error: want [kind] or [kind "name"]: "[team prenota]"`, loader.ErrSyntax},
		{"value over several lines", "[fleet]\nnote = \"\"\"a\nb\"\"\"\n", "teams.ini:2: syntax error: a value takes one line\nteams.ini:3: syntax error: want key = value: \"b\\\"\\\"\\\"\"", loader.ErrSyntax},
		{
			"all errors of a file", "[team \"a\"]\nshare = x\n[fleet]\ntimeout = 1\n",
			"teams.ini:2: [team \"a\"] share: bad value: want a number: \"x\"\nteams.ini:4: [fleet] timeout: bad value: want a duration such as 250ms or 1h30m: \"1\"", loader.ErrValue,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, _, err := decode(test.text)
			c.Assert(err, qt.ErrorIs, test.kind)
			c.Assert(err.Error(), qt.Equals, test.want)
		})
	}
}

func TestAddError(t *testing.T) {
	c := qt.New(t)
	d := loader.NewDecoder(loader.NewFile("q.ini", []byte("[queue \"a\"]\nteam = b\n")))
	for s := range d.Sections("queue") {
		loader.Get(s, "team", loader.Word, "")
	}
	c.Assert(d.Err(), qt.IsNil)
	d.AddError("queue", "a", "team", errors.New("no such team"))
	c.Assert(d.Err().Error(), qt.Equals, `q.ini:2: [queue "a"] team: no such team`)
}

func TestValues(t *testing.T) {
	c := qt.New(t)
	size, err := loader.Size("16MiB")
	c.Assert(err, qt.IsNil)
	c.Assert(size, qt.Equals, int64(16<<20))
	address, err := loader.Address("[::1]:07000")
	c.Assert(err, qt.IsNil)
	c.Assert(address, qt.Equals, "[::1]:7000")
	refused := map[string]error{}
	_, refused["size without unit"] = loader.Size("16")
	_, refused["size too large"] = loader.Size("99999999999GiB")
	_, refused["address with a name"] = loader.Address("localhost:80")
	_, refused["address with a large port"] = loader.Address("127.0.0.1:70000")
	_, refused["URL without scheme"] = loader.URL("10.0.0.1:80")
	_, refused["not a number"] = loader.Float("NaN")
	_, refused["bool"] = loader.Bool("true")
	_, refused["word"] = loader.OneOf("in", "out")("lost")
	for name, err := range refused {
		c.Run(name, func(c *qt.C) { c.Assert(err, qt.IsNotNil) })
	}
}

// FuzzDecode checks that a decoder does not panic, and that encoding and decoding what it
// has read changes nothing.
func FuzzDecode(f *testing.F) {
	f.Add("[team \"a\"]\nshare = 1\n; comment\n[fleet]\ntimeout=1s\n")
	f.Add("[fleet]\nnote = `a\n")
	f.Add("[fleet]\nnote = a \\\nshare = %(x)s\n")
	f.Fuzz(func(t *testing.T, text string) {
		c := qt.New(t)
		d := loader.NewDecoder(loader.NewFile("f.ini", []byte(text)))
		if len(d.Errors()) > 0 {
			return
		}
		blocks := read(d)
		c.Assert(d.Errors(), qt.HasLen, 0)
		redecoded := loader.NewDecoder(loader.NewFile("g.ini", loader.Encode(blocks)))
		c.Assert(redecoded.Errors(), qt.HasLen, 0)
		c.Assert(loader.Encode(read(redecoded)), qt.DeepEquals, loader.Encode(blocks))
	})
}

// read returns the fleet and team sections with the keys share and note.
func read(d *loader.Decoder) []loader.Block {
	var blocks []loader.Block
	sections := []*loader.Section{d.Section("fleet")}
	for s := range d.Sections("team") {
		sections = append(sections, s)
	}
	for _, s := range sections {
		share := loader.Get(s, "share", loader.Text, "")
		note := loader.Get(s, "note", loader.Text, "")
		blocks = append(blocks, loader.NewBlock(s.Kind(), s.Name(), loader.NewPair("share", share), loader.NewPair("note", note)))
	}
	return blocks
}
