package configurer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"filberthaven.example/loader"
)

// scope is what an exception applies to.
type scope struct {
	kind string // "team", "service" or "centre"
	name string // never empty
}

func (s scope) String() string { return s.kind + " " + s.name }

// scopeKeys holds the keys that an exception may set, by the kind of its scope.
var scopeKeys = map[string][]string{
	"team":    teamKeys,
	"service": serviceKeys,
	"centre":  serviceKeys,
}

// Exception overrides one value within its scope, for a written reason.
type Exception struct {
	name    string // never empty
	scope   scope
	key     string    // one of the scopeKeys of the scope's kind
	values  values    // only the value of key is set
	reason  string    // never empty
	author  string    // never empty
	expires time.Time // not active from then on; zero: never expires
}

// Name returns the name of the exception.
func (e Exception) Name() string { return e.name }

// Scope returns what the exception applies to, such as "team prenota".
func (e Exception) Scope() string { return e.scope.String() }

// Key returns the key whose value the exception overrides.
func (e Exception) Key() string { return e.key }

// Value returns the value as written in declarations.
func (e Exception) Value() string {
	for _, pair := range e.values.pairs() {
		return pair.Value()
	}
	return ""
}

// Reason returns the written reason.
func (e Exception) Reason() string { return e.reason }

// Author returns who declared the exception.
func (e Exception) Author() string { return e.author }

// Expires returns when the exception expires, or zero if it doesn't.
func (e Exception) Expires() time.Time { return e.expires }

// active reports whether the exception is in force at the time now.
func (e Exception) active(now time.Time) bool { return e.expires.IsZero() || now.Before(e.expires) }

func decodeException(s *loader.Section) Exception {
	e := Exception{
		name:    s.Name(),
		scope:   loader.Require(s, "scope", parseScope),
		key:     loader.Require(s, "key", loader.OneOf(valueKeyNames()...)),
		reason:  loader.Require(s, "reason", loader.Text),
		author:  loader.Require(s, "author", loader.Text),
		expires: loader.Get(s, "expires", loader.Time, time.Time{}),
	}
	loader.Require(s, "value", func(text string) (struct{}, error) {
		for _, key := range valueKeys {
			if key.name == e.key {
				return struct{}{}, key.parse(&e.values, text)
			}
		}
		return struct{}{}, nil // the bad key is a fault already
	})
	return e
}

// parseScope parses a kind and a name, such as "team prenota".
func parseScope(text string) (scope, error) {
	kind, name, _ := strings.Cut(text, " ")
	name, err := loader.Word(strings.TrimSpace(name))
	if err != nil || scopeKeys[kind] == nil {
		return scope{}, fmt.Errorf("want team NAME, service NAME or centre NAME: %q", text)
	}
	return scope{kind: kind, name: name}, nil
}

// permits reports whether exceptions of the scope may set the key.
func (s scope) permits(key string) bool { return slices.Contains(scopeKeys[s.kind], key) }

func (e Exception) block() loader.Block {
	return loader.NewBlock("exception", e.name,
		loader.NewPair("scope", e.scope.String()),
		loader.NewPair("key", e.key),
		loader.NewPair("value", e.Value()),
		loader.NewPair("reason", e.reason),
		loader.NewPair("author", e.author),
		loader.NewPair("expires", formatTime(e.expires)))
}
