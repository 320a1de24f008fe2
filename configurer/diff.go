package configurer

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"filberthaven.example/loader"
)

// Difference is a key, or a section without keys, that differs between two documents.
type Difference struct {
	kind, name, key string // name is empty if the section has none; key if it has no keys
	before, after   string // values as written in INI; empty if absent
	added, removed  bool   // whether the whole section is added or removed
}

// Kind returns the kind of the section, such as "team".
func (d Difference) Kind() string { return d.kind }

// Name returns the name of the section, or "".
func (d Difference) Name() string { return d.name }

// Key returns the key, or "" for a section without keys.
func (d Difference) Key() string { return d.key }

// Before returns the value in the document before, or "" if it is absent.
func (d Difference) Before() string { return d.before }

// After returns the value in the document after, or "" if it is absent.
func (d Difference) After() string { return d.after }

// Added reports whether the whole section is added.
func (d Difference) Added() bool { return d.added }

// Removed reports whether the whole section is removed.
func (d Difference) Removed() bool { return d.removed }

// Compare returns the differences between two documents, sorted by section and key.
func Compare(before, after *Document) []Difference {
	oldSections, newSections := sections(before), sections(after)
	headers := maps.Clone(oldSections)
	maps.Copy(headers, newSections)
	var differences []Difference
	for _, header := range slices.SortedFunc(maps.Keys(headers), compareHeaders) {
		differences = append(differences, compareSections(header, oldSections, newSections)...)
	}
	return differences
}

// sectionHeader identifies a section of a document.
type sectionHeader struct{ kind, name string }

func compareHeaders(a, b sectionHeader) int {
	if a.kind != b.kind {
		return strings.Compare(a.kind, b.kind)
	}
	return strings.Compare(a.name, b.name)
}

// sections returns the keys and values of each section.
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

func compareSections(header sectionHeader, oldSections, newSections map[sectionHeader]map[string]string) []Difference {
	before, inOld := oldSections[header]
	after, inNew := newSections[header]
	section := Difference{kind: header.kind, name: header.name, added: !inOld, removed: !inNew}
	keys := maps.Clone(before)
	if keys == nil {
		keys = map[string]string{}
	}
	maps.Copy(keys, after)
	var differences []Difference
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if before[key] != after[key] {
			difference := section
			difference.key, difference.before, difference.after = key, before[key], after[key]
			differences = append(differences, difference)
		}
	}
	if len(differences) == 0 && inOld != inNew {
		differences = append(differences, section)
	}
	return differences
}

// FormatDifferences returns the differences as text for operators, grouped by section.
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
