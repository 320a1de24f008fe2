package configurer

import (
	"slices"
	"time"

	"filberthaven.example/loader"
)

// values is what defaults set for the fleet, teams and services for themselves,
// and exceptions for their scope.
type values struct {
	share   optional[float64]       // weight when the fleet is full; above 0
	limit   optional[int64]         // thousandths of processors running
	slots   optional[int64]         // urgent requests in flight
	pending optional[int64]         // deferred jobs waiting
	timeout optional[time.Duration] // of an urgent request
	retries optional[float64]       // retries for each request, 0 to 1
}

// Bounds of values.
const (
	minShare   = 0.001
	maxShare   = 1e6
	minTimeout = time.Millisecond
	maxTimeout = time.Hour
)

// valueKey is one key of values: how it is read and written.
type valueKey struct {
	name  string
	parse func(v *values, text string) error
	text  func(v values) string // empty when not set
}

// valueKeys are all keys of values.
var valueKeys = []valueKey{
	key("share", func(v *values) *optional[float64] { return &v.share }, loader.Float, formatFloat, loader.Between(minShare, maxShare)),
	key("limit", func(v *values) *optional[int64] { return &v.limit }, parseProcessors, FormatProcessors),
	key("slots", func(v *values) *optional[int64] { return &v.slots }, parseCount, FormatCount),
	key("pending", func(v *values) *optional[int64] { return &v.pending }, parseCount, FormatCount),
	key("timeout", func(v *values) *optional[time.Duration] { return &v.timeout }, loader.Duration, time.Duration.String, loader.Between(minTimeout, maxTimeout)),
	key("retries", func(v *values) *optional[float64] { return &v.retries }, loader.Float, formatFloat, loader.Between(0.0, 1.0)),
}

// Keys that teams and services set for themselves.
var (
	teamKeys    = []string{"share", "limit", "slots", "pending", "timeout"}
	serviceKeys = []string{"timeout", "retries"}
)

func key[T any](name string, of func(*values) *optional[T], parse loader.Parser[T], format func(T) string, checks ...loader.Check[T]) valueKey {
	return valueKey{
		name: name,
		parse: func(v *values, text string) error {
			value, err := parse(text)
			for _, check := range checks {
				if err == nil {
					err = check(value)
				}
			}
			*of(v) = some(value)
			return err
		},
		text: func(v values) string {
			if value := of(&v); value.set {
				return format(value.value)
			}
			return ""
		},
	}
}

// decodeValues reads those keys of a section.
func decodeValues(s *loader.Section, names ...string) values {
	var v values
	for _, key := range valueKeys {
		if slices.Contains(names, key.name) {
			loader.Get(s, key.name, parseInto(&v, key), struct{}{})
		}
	}
	return v
}

// parseInto returns a parser that sets the key in v.
func parseInto(v *values, key valueKey) loader.Parser[struct{}] {
	return func(text string) (struct{}, error) { return struct{}{}, key.parse(v, text) }
}

// pairs returns the keys that are set.
func (v values) pairs() []loader.Pair {
	var pairs []loader.Pair
	for _, key := range valueKeys {
		if text := key.text(v); text != "" {
			pairs = append(pairs, loader.NewPair(key.name, text))
		}
	}
	return pairs
}

// allValueKeys returns the names of all keys.
func allValueKeys() []string {
	names := make([]string, len(valueKeys))
	for i, key := range valueKeys {
		names[i] = key.name
	}
	return names
}

// fleetValues are in force where neither defaults, nor an entity, nor an exception set a
// value.
var fleetValues = values{
	share:   some(1.0),
	limit:   some(Unlimited),
	slots:   some(Unlimited),
	pending: some(Unlimited),
	timeout: some(10 * time.Second),
	retries: some(0.1),
}
