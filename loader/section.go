package loader

import "fmt"

// Section is one section of a file. An absent section is represented by an empty one.
type Section struct {
	decoder    *Decoder
	kind, name string // name is empty in [kind]
	file       string
	line       int // 0 when the section is absent from the files
	entries    map[string]*entry
	read       bool // whether the caller has read it; if not, Unknown returns an error
}

// entry is the unparsed value of one key.
type entry struct {
	value string
	line  int
	read  bool // whether the caller has read it; if not, Unknown returns an error
}

func newSection(d *Decoder, kind, name string) *Section {
	return &Section{decoder: d, kind: kind, name: name, entries: map[string]*entry{}}
}

// Kind returns the first word of the section's header.
func (s *Section) Kind() string { return s.kind }

// Name returns the name of a repeated section, or "".
func (s *Section) Name() string { return s.name }

// Header returns the section's first line: [kind] or [kind "name"].
func (s *Section) Header() string { return header(s.kind, s.name) }

// Has reports whether the section has the key.
func (s *Section) Has(key string) bool {
	_, known := s.entries[key]
	return known
}

// newError returns an error in the key, or in the whole section if key is empty.
func (s *Section) newError(key string, err error) *Error {
	e := &Error{file: s.file, line: s.line, section: s.Header(), key: key, err: err}
	if entry, known := s.entries[key]; known {
		e.line = entry.line
	}
	return e
}

func (s *Section) addError(key string, err error) {
	s.decoder.errs = append(s.decoder.errs, s.newError(key, err))
}

// Check returns an error if a value is not allowed.
type Check[T any] func(T) error

// Get returns the value of the key, or fallback if the key is absent. If the value
// doesn't parse or fails a check, Get adds an error to the decoder and returns fallback.
func Get[T any](s *Section, key string, parse Parser[T], fallback T, checks ...Check[T]) T {
	s.decoder.knownKeys["["+s.kind+"] "+key] = true
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
		s.addError(key, fmt.Errorf("%w: %w", ErrValue, err))
		return fallback
	}
	return value
}

// Require is like Get for a key that must be present and not empty. If there is an error,
// it returns the zero value.
func Require[T any](s *Section, key string, parse Parser[T], checks ...Check[T]) T {
	var zero T
	s.decoder.knownKeys["["+s.kind+"] "+key] = true
	entry, known := s.entries[key]
	if !known || entry.value == "" {
		if known {
			entry.read = true
		}
		s.addError(key, ErrMissing)
		return zero
	}
	return Get(s, key, parse, zero, checks...)
}
