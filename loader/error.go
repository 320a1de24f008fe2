package loader

import (
	"cmp"
	"errors"
	"slices"
	"strconv"
	"strings"
)

// Kinds of errors, for errors.Is.
var (
	// ErrSyntax means that a file can't be parsed, such as for a line that is neither
	// section, key nor comment, or a size above FileLimit.
	ErrSyntax = errors.New("syntax error")
	// ErrUnknownSection means that the format has no such section.
	ErrUnknownSection = errors.New("unknown section")
	// ErrUnknownKey means that the format has no such key in the section.
	ErrUnknownKey = errors.New("unknown key")
	// ErrDuplicate means that a section or key occurs twice.
	ErrDuplicate = errors.New("stands twice")
	// ErrMissing means that a required key is absent or empty.
	ErrMissing = errors.New("required key is missing")
	// ErrValue means that a value has the wrong form or is out of bounds.
	ErrValue = errors.New("bad value")
)

// Error is an error with its position in a file, if known.
type Error struct {
	file    string // empty when unknown
	line    int    // from 1; 0 when unknown
	section string // as in the file, with brackets; may be empty
	key     string // may be empty
	err     error  // never nil
}

// NewError returns an error in a key of a section, without a position in a file.
func NewError(kind, name, key string, err error) *Error {
	return &Error{section: header(kind, name), key: key, err: err}
}

// NewErrorAt returns an error with the position that another process has reported. The
// section is given with its brackets.
func NewErrorAt(file string, line int, section, key string, err error) *Error {
	return &Error{file: file, line: line, section: section, key: key, err: err}
}

// File returns the name of the file, empty when unknown.
func (e *Error) File() string { return e.file }

// Line returns the line from 1, or 0 when unknown.
func (e *Error) Line() int { return e.line }

// Section returns the section with its brackets, empty when unknown.
func (e *Error) Section() string { return e.section }

// Key returns the key, empty when the section as a whole is at fault.
func (e *Error) Key() string { return e.key }

// Unwrap returns the cause, without the position.
func (e *Error) Unwrap() error { return e.err }

// Error returns the text "file:line: [section] key: error", without unknown parts.
func (e *Error) Error() string {
	var b strings.Builder
	if e.file != "" {
		b.WriteString(e.file + ":")
		if e.line > 0 {
			b.WriteString(strconv.Itoa(e.line) + ":")
		}
		b.WriteByte(' ')
	}
	if e.section != "" {
		b.WriteString(e.section + " ")
	}
	if e.key != "" {
		b.WriteString(e.key + ": ")
	}
	b.WriteString(e.err.Error())
	return b.String()
}

// Errors are the errors in a set of files, sorted by file and line.
type Errors []*Error

// Error returns the errors, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors, for errors.Is and errors.As.
func (e Errors) Unwrap() []error {
	errs := make([]error, len(e))
	for i, err := range e {
		errs[i] = err
	}
	return errs
}

// sorted returns a copy of the errors, sorted by file and line.
func (e Errors) sorted() Errors {
	errs := slices.Clone(e)
	slices.SortStableFunc(errs, func(a, b *Error) int {
		return cmp.Or(cmp.Compare(a.file, b.file), cmp.Compare(a.line, b.line))
	})
	return errs
}

// header returns the first line of a section: [kind] or [kind "name"], or "" without
// a kind.
func header(kind, name string) string {
	if kind == "" {
		return ""
	}
	if name == "" {
		return "[" + kind + "]"
	}
	return "[" + kind + ` "` + name + `"]`
}
