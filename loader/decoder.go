package loader

import (
	"fmt"
	"iter"
	"maps"
	"slices"

	"gopkg.in/ini.v1"
)

// loadOptions make the INI library return the rest of a line as the value, with quotes
// and comment characters, and prevent child sections that inherit keys.
var loadOptions = ini.LoadOptions{
	IgnoreInlineComment:     true,
	IgnoreContinuation:      true,
	PreserveSurroundedQuote: true,
	KeyValueDelimiters:      "=",
	ChildSectionDelimiter:   "\n",
}

// sectionKey identifies a section.
type sectionKey struct{ kind, name string }

// Decoder returns the sections of a set of files and collects the errors in them. It is
// not safe for concurrent use.
type Decoder struct {
	sections  map[sectionKey]*Section
	order     []*Section // in the order of the files
	errs      Errors
	knownKeys map[string]bool // keys that the caller has asked for, such as "[team] share"
}

// NewDecoder returns a Decoder of the files. Err returns the errors in them.
func NewDecoder(files ...File) *Decoder {
	d := &Decoder{sections: map[sectionKey]*Section{}, knownKeys: map[string]bool{}}
	for _, file := range files {
		d.read(file)
	}
	return d
}

// read adds the sections of a file, or the errors if its syntax is wrong.
func (d *Decoder) read(file File) {
	sections, errs := index(file)
	d.errs = append(d.errs, errs...)
	if len(errs) > 0 {
		return
	}
	parsed, err := ini.LoadSources(loadOptions, file.text)
	if err != nil {
		d.errs = append(d.errs, &Error{file: file.name, err: fmt.Errorf("%w: %w", ErrSyntax, err)})
		return
	}
	for _, indexed := range sections {
		d.add(file, parsed, indexed)
	}
}

// add adds a section, or an error if the section is a duplicate.
func (d *Decoder) add(file File, parsed *ini.File, indexed *indexedSection) {
	key := sectionKey{indexed.kind, indexed.name}
	if first, known := d.sections[key]; known {
		d.errs = append(d.errs, &Error{
			file: file.name, line: indexed.line, section: header(indexed.kind, indexed.name),
			err: fmt.Errorf("%w, first at %s:%d", ErrDuplicate, first.file, first.line),
		})
		return
	}
	section := newSection(d, indexed.kind, indexed.name)
	section.file, section.line = file.name, indexed.line
	title := section.Header()
	values := parsed.Section(title[1 : len(title)-1])
	for name, line := range indexed.keys {
		section.entries[name] = &entry{value: values.Key(name).Value(), line: line}
	}
	d.sections[key] = section
	d.order = append(d.order, section)
}

// Section returns the section [kind], or an empty section if it is absent.
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

// AddError adds an error that is found after decoding, such as a reference to an absent
// section. The key is empty if the section as a whole is at fault.
func (d *Decoder) AddError(kind, name, key string, err error) {
	section, known := d.sections[sectionKey{kind, name}]
	if !known {
		section = newSection(d, kind, name)
	}
	section.addError(key, err)
}

// Unknown returns an error for each section and key in the files that has not been read.
func (d *Decoder) Unknown() Errors {
	var errs Errors
	for _, section := range d.order {
		if !section.read {
			errs = append(errs, section.newError("", ErrUnknownSection))
			continue
		}
		for name, entry := range section.entries {
			if !entry.read {
				errs = append(errs, section.newError(name, ErrUnknownKey))
			}
		}
	}
	return errs.sorted()
}

// KnownKeys returns the sorted keys that the caller has asked for, present or not, such as
// "[team] share". Once everything has been read these are the keys of the format.
func (d *Decoder) KnownKeys() []string { return slices.Sorted(maps.Keys(d.knownKeys)) }

// Errors returns the errors collected so far, without unknown sections and keys,
// sorted by file and line.
func (d *Decoder) Errors() Errors { return d.errs.sorted() }

// Err returns all errors, including unknown sections and keys, as Errors, or nil. Call
// it after everything has been read.
func (d *Decoder) Err() error {
	errs := append(d.Errors(), d.Unknown()...)
	if len(errs) == 0 {
		return nil
	}
	return errs.sorted()
}
