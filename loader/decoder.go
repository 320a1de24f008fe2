package loader

import (
	"fmt"
	"iter"
	"maps"
	"slices"

	"gopkg.in/ini.v1"
)

// options make a value exactly the rest of its line.
var options = ini.LoadOptions{
	IgnoreInlineComment:     true,
	IgnoreContinuation:      true,
	PreserveSurroundedQuote: true,
	KeyValueDelimiters:      "=",
	ChildSectionDelimiter:   "\n",
}

// sectionKey names a section.
type sectionKey struct{ kind, name string }

// Decoder gives out the sections of some files and collects their faults.
// It is not safe for concurrent use.
type Decoder struct {
	sections map[sectionKey]*Section
	order    []*Section // as they stand in the files
	faults   Errors
	asked    map[string]bool // headers of kinds with the keys asked for
}

// NewDecoder reads the files. Faults are kept for Err.
func NewDecoder(files ...File) *Decoder {
	d := &Decoder{sections: map[sectionKey]*Section{}, asked: map[string]bool{}}
	for _, file := range files {
		d.read(file)
	}
	return d
}

func (d *Decoder) read(file File) {
	places, faults := index(file)
	d.faults = append(d.faults, faults...)
	if len(faults) > 0 {
		return
	}
	parsed, err := ini.LoadSources(options, file.text)
	if err != nil {
		d.faults = append(d.faults, &Error{file: file.name, err: fmt.Errorf("%w: %w", ErrSyntax, err)})
		return
	}
	for _, place := range places {
		d.add(file, parsed, place)
	}
}

// add takes in one section, unless it stands twice.
func (d *Decoder) add(file File, parsed *ini.File, place *place) {
	key := sectionKey{place.kind, place.name}
	if first, known := d.sections[key]; known {
		d.faults = append(d.faults, &Error{
			file: file.name, line: place.line, section: header(place.kind, place.name),
			err: fmt.Errorf("%w, first at %s:%d", ErrDuplicate, first.file, first.line),
		})
		return
	}
	section := newSection(d, place.kind, place.name)
	section.file, section.line = file.name, place.line
	title := section.Header()
	values := parsed.Section(title[1 : len(title)-1])
	for name, line := range place.keys {
		section.entries[name] = &entry{value: values.Key(name).Value(), line: line}
	}
	d.sections[key] = section
	d.order = append(d.order, section)
}

// Section returns the section [kind], empty when it is absent.
func (d *Decoder) Section(kind string) *Section {
	section, known := d.sections[sectionKey{kind: kind}]
	if !known {
		section = newSection(d, kind, "")
	}
	section.read = true
	return section
}

// Sections returns the sections [kind "name"] in their order in the files.
func (d *Decoder) Sections(kind string) iter.Seq[*Section] {
	return func(yield func(*Section) bool) {
		for _, section := range d.order {
			if section.kind != kind || section.name == "" {
				continue
			}
			section.read = true
			if !yield(section) {
				return
			}
		}
	}
}

// AddError adds a fault found after decoding, such as a reference to a section that is
// absent. The key may be empty.
func (d *Decoder) AddError(kind, name, key string, err error) {
	section, known := d.sections[sectionKey{kind, name}]
	if !known {
		section = newSection(d, kind, name)
	}
	section.refuse(key, err)
}

// Unknown returns the sections and keys that nothing has read so far.
func (d *Decoder) Unknown() Errors {
	var faults Errors
	for _, section := range d.order {
		if !section.read {
			faults = append(faults, section.fault("", ErrUnknownSection))
			continue
		}
		for name, entry := range section.entries {
			if !entry.read {
				faults = append(faults, section.fault(name, ErrUnknownKey))
			}
		}
	}
	return faults.sorted()
}

// KnownKeys returns the keys that were asked for, such as "[team] share", by name. It tells
// what a format knows.
func (d *Decoder) KnownKeys() []string { return slices.Sorted(maps.Keys(d.asked)) }

// Faults returns the faults collected so far, without the unknown sections and
// keys, by file and line.
func (d *Decoder) Faults() Errors { return d.faults.sorted() }

// Err returns all faults and unknown sections and keys as Errors, or nil. It is called after
// everything has been read.
func (d *Decoder) Err() error {
	faults := append(d.Faults(), d.Unknown()...)
	if len(faults) == 0 {
		return nil
	}
	return faults.sorted()
}
