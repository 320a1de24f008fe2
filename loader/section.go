package loader

import "fmt"

// Section is one section of a file.
type Section struct {
	decoder    *Decoder
	kind, name string // name is empty in [kind]
	file       string
	line       int // 0 when the section is absent from the files
	entries    map[string]*entry
	read       bool // a section that nothing reads is a fault
}

// entry is the value of one key.
type entry struct {
	value string
	line  int
	read  bool // a key that nothing reads is a fault
}

func newSection(d *Decoder, kind, name string) *Section {
	return &Section{decoder: d, kind: kind, name: name, entries: map[string]*entry{}}
}

// Kind returns the first word of the section's header.
func (s *Section) Kind() string { return s.kind }

// Name returns the name of a repeated section, or "".
func (s *Section) Name() string { return s.name }

// Header returns the section's first line.
func (s *Section) Header() string { return header(s.kind, s.name) }

// Has reports whether the key stands in the section.
func (s *Section) Has(key string) bool {
	_, known := s.entries[key]
	return known
}

// fault returns an error of the key, or of the section when key is empty.
func (s *Section) fault(key string, err error) *Error {
	fault := &Error{file: s.file, line: s.line, section: s.Header(), key: key, err: err}
	if entry, known := s.entries[key]; known {
		fault.line = entry.line
	}
	return fault
}

func (s *Section) refuse(key string, err error) {
	s.decoder.faults = append(s.decoder.faults, s.fault(key, err))
}

// Check refuses a value, or returns nil.
type Check[T any] func(T) error

// Get returns the value of the key, or fallback when it is absent. A value that
// doesn't parse or fails a check is a fault of the decoder; fallback is returned.
func Get[T any](s *Section, key string, parse Parser[T], fallback T, checks ...Check[T]) T {
	s.decoder.asked["["+s.kind+"] "+key] = true
	entry, known := s.entries[key]
	if !known {
		return fallback
	}
	entry.read = true
	value, err := parse(entry.value)
	for _, check := range checks {
		if err == nil {
			err = check(value)
		}
	}
	if err != nil {
		s.refuse(key, fmt.Errorf("%w: %w", ErrValue, err))
		return fallback
	}
	return value
}

// Require is Get for a key that has to be there and not be empty.
func Require[T any](s *Section, key string, parse Parser[T], checks ...Check[T]) T {
	var zero T
	s.decoder.asked["["+s.kind+"] "+key] = true
	entry, known := s.entries[key]
	if !known || entry.value == "" {
		if known {
			entry.read = true
		}
		s.refuse(key, ErrMissing)
		return zero
	}
	return Get(s, key, parse, zero, checks...)
}
