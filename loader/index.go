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

// place is where a section begins in a file, and where its keys stand.
type place struct {
	kind, name string
	line       int
	keys       map[string]int // line of each key
}

// index finds the lines of sections and keys, which the INI library doesn't
// report. It refuses whatever the library would read over several lines.
func index(file File) ([]*place, Errors) {
	var places []*place
	var faults Errors
	refuse := func(line int, err error) {
		faults = append(faults, &Error{file: file.name, line: line, err: err})
	}
	if len(file.text) > FileLimit {
		refuse(0, fmt.Errorf("%w: more than %d bytes", ErrSyntax, FileLimit))
		return nil, faults
	}
	var current *place
	for i, text := range strings.Split(string(file.text), "\n") {
		line, text := i+1, strings.TrimSpace(text)
		switch {
		case !isPlain(text):
			refuse(line, fmt.Errorf("%w: control character or invalid UTF-8", ErrSyntax))
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			next, err := indexSection(text, line)
			if err != nil {
				refuse(line, err)
			}
			current = next
			places = append(places, next)
		case current == nil:
			refuse(line, fmt.Errorf("%w: key outside a section", ErrSyntax))
		default:
			if err := current.add(text, line); err != nil {
				refuse(line, err)
			}
		}
	}
	return places, faults
}

// indexSection reads a section's first line. The place that it returns takes
// the keys that follow even when the line is wrong.
func indexSection(text string, line int) (*place, error) {
	next := &place{line: line, keys: map[string]int{}}
	match := sectionPattern.FindStringSubmatch(text)
	if match == nil {
		return next, fmt.Errorf(`%w: want [kind] or [kind "name"]: %q`, ErrSyntax, text)
	}
	next.kind, next.name = match[1], match[2]
	return next, nil
}

// add notes the line of a key.
func (p *place) add(text string, line int) error {
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

// isPlain reports whether text is UTF-8 without control characters but tabs.
func isPlain(text string) bool {
	if !utf8.ValidString(text) {
		return false
	}
	return !strings.ContainsFunc(text, func(r rune) bool { return unicode.IsControl(r) && r != '\t' || r == '\ufeff' })
}
