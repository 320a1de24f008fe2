package configurer

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"filberthaven.example/loader"
)

// Difference is one key, or one section without keys, that differs between two
// documents.
type Difference struct {
	kind, name, key string // key is empty for a section without keys
	before, after   string // as written; empty when absent
	added, removed  bool   // the whole section
}

// Kind returns the kind of the section, such as "team".
func (d Difference) Kind() string { return d.kind }

// Name returns the name of the section, or "".
func (d Difference) Name() string { return d.name }

// Key returns the key, or "" for a section without keys.
func (d Difference) Key() string { return d.key }

// Before returns the former value, empty when absent.
func (d Difference) Before() string { return d.before }

// After returns the new value, empty when absent.
func (d Difference) After() string { return d.after }

// Added reports whether the whole section is new.
func (d Difference) Added() bool { return d.added }

// Removed reports whether the whole section goes.
func (d Difference) Removed() bool { return d.removed }

// Compare returns the differences between two documents, by section and key.
func Compare(before, after *Document) []Difference {
	old, now := sections(before), sections(after)
	headers := maps.Clone(old)
	maps.Copy(headers, now)
	var differences []Difference
	for _, header := range slices.SortedFunc(maps.Keys(headers), compareHeaders) {
		differences = append(differences, compareSections(header, old, now)...)
	}
	return differences
}

// sectionHeader names a section of a document.
type sectionHeader struct{ kind, name string }

func compareHeaders(a, b sectionHeader) int {
	if a.kind != b.kind {
		return strings.Compare(a.kind, b.kind)
	}
	return strings.Compare(a.name, b.name)
}

// sections returns the keys of all sections.
func sections(d *Document) map[sectionHeader]map[string]string {
	all := map[sectionHeader]map[string]string{}
	for _, block := range d.blocks() {
		keys := map[string]string{}
		for _, pair := range block.Pairs() {
			keys[pair.Key()] = pair.Value()
		}
		all[sectionHeader{block.Kind(), block.Name()}] = keys
	}
	return all
}

func compareSections(header sectionHeader, old, now map[sectionHeader]map[string]string) []Difference {
	before, had := old[header]
	after, has := now[header]
	whole := Difference{kind: header.kind, name: header.name, added: !had, removed: !has}
	keys := maps.Clone(before)
	if keys == nil {
		keys = map[string]string{}
	}
	maps.Copy(keys, after)
	var differences []Difference
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if before[key] != after[key] {
			next := whole
			next.key, next.before, next.after = key, before[key], after[key]
			differences = append(differences, next)
		}
	}
	if len(differences) == 0 && had != has {
		differences = append(differences, whole)
	}
	return differences
}

// FormatDifferences writes differences for people, one section after the other.
func FormatDifferences(differences []Difference) string {
	var b strings.Builder
	last := ""
	for _, d := range differences {
		header := strings.TrimSpace(string(loader.Encode([]loader.Block{loader.NewBlock(d.kind, d.name)})))
		if header != last {
			fmt.Fprintf(&b, "%s %s\n", d.sign(), header)
			last = header
		}
		switch {
		case d.key == "":
		case d.before == "":
			fmt.Fprintf(&b, "    + %s = %s\n", d.key, d.after)
		case d.after == "":
			fmt.Fprintf(&b, "    - %s = %s\n", d.key, d.before)
		default:
			fmt.Fprintf(&b, "    ~ %s = %s (was %s)\n", d.key, d.after, d.before)
		}
	}
	return b.String()
}

func (d Difference) sign() string {
	switch {
	case d.added:
		return "+"
	case d.removed:
		return "-"
	}
	return "~"
}
