package loader

import (
	"fmt"
	"regexp"
	"strings"
	"unicode"
	"unicode/utf8"
)

var (
	sectionPattern = regexp.MustCompile(`^\[([a-z]+)(?: "([A-Za-z0-9][A-Za-z0-9._-]{0,99})")?\]$`)
	keyPattern     = regexp.MustCompile(`^[a-z]+$`)
)

// indexedSection is a section of a file with the line numbers of its header and keys.
type indexedSection struct {
	kind, name string
	line       int
	keys       map[string]int // line by key
}

// index returns the sections with the line numbers of their keys, because the INI library
// doesn't report them. It refuses values that the library would read over several lines.
func index(file File) ([]*indexedSection, Errors) {
	var sections []*indexedSection
	var errs Errors
	addError := func(line int, err error) {
		errs = append(errs, &Error{file: file.name, line: line, err: err})
	}
	if len(file.text) > FileLimit {
		addError(0, fmt.Errorf("%w: more than %d bytes", ErrSyntax, FileLimit))
		return nil, errs
	}
	var current *indexedSection
	for i, text := range strings.Split(string(file.text), "\n") {
		line, text := i+1, strings.TrimSpace(text)
		switch {
		case !isPlain(text):
			addError(line, fmt.Errorf("%w: control character or invalid UTF-8", ErrSyntax))
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			next, err := parseHeader(text, line)
			if err != nil {
				addError(line, err)
			}
			current = next
			sections = append(sections, next)
		case current == nil:
			addError(line, fmt.Errorf("%w: key outside a section", ErrSyntax))
		default:
			if err := current.addKey(text, line); err != nil {
				addError(line, err)
			}
		}
	}
	return sections, errs
}

// parseHeader parses the header of a section. On an error it returns a section without
// a kind, so that the lines of the keys below it are still checked.
func parseHeader(text string, line int) (*indexedSection, error) {
	next := &indexedSection{line: line, keys: map[string]int{}}
	match := sectionPattern.FindStringSubmatch(text)
	if match == nil {
		return next, fmt.Errorf(`%w: want [kind] or [kind "name"]: %q`, ErrSyntax, text)
	}
	next.kind, next.name = match[1], match[2]
	return next, nil
}

// addKey parses a line with a key and its value, and records the line number.
func (p *indexedSection) addKey(text string, line int) error {
	key, value, found := strings.Cut(text, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	if !found || !keyPattern.MatchString(key) {
		return fmt.Errorf("%w: want key = value: %q", ErrSyntax, text)
	}
	if strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`") {
		return fmt.Errorf("%w: a value takes one line", ErrSyntax)
	}
	if _, known := p.keys[key]; known {
		return fmt.Errorf("%s %s: %w", header(p.kind, p.name), key, ErrDuplicate)
	}
	p.keys[key] = line
	return nil
}

// isPlain reports whether text is valid UTF-8 without a byte order mark and without
// control characters other than tabs.
func isPlain(text string) bool {
	if !utf8.ValidString(text) {
		return false
	}
	return !strings.ContainsFunc(text, func(r rune) bool { return unicode.IsControl(r) && r != '\t' || r == '\ufeff' })
}
