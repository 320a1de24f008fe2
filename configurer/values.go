package configurer

import (
	"slices"
	"time"

	"filberthaven.example/loader"
)

// values are settings that sections declare: defaults for the fleet, a team or service for
// itself, an exception for its scope.
type values struct {
	share   optional[float64]       // weight when the fleet is full; from minShare to maxShare
	limit   optional[int64]         // largest amount running, in thousandths of processors
	slots   optional[int64]         // largest number of urgent requests in flight
	pending optional[int64]         // largest number of pending deferred jobs
	timeout optional[time.Duration] // of an urgent request; from minTimeout to maxTimeout
	retries optional[float64]       // retries added to the budget by each request; from 0 to 1
}

// Bounds of a share and a timeout.
const (
	minShare   = 0.001
	maxShare   = 1e6
	minTimeout = time.Millisecond
	maxTimeout = time.Hour
)

// valueKey is a key that sets one field of values.
type valueKey struct {
	name  string
	parse func(v *values, text string) error // sets the field
	text  func(v values) string              // empty if the field is not set
}

// valueKeys holds the keys of all fields of values, in the order in which they are written.
var valueKeys = []valueKey{
	newValueKey("share", func(v *values) *optional[float64] { return &v.share }, loader.Float, formatFloat, loader.Between(minShare, maxShare)),
	newValueKey("limit", func(v *values) *optional[int64] { return &v.limit }, parseProcessors, FormatProcessors),
	newValueKey("slots", func(v *values) *optional[int64] { return &v.slots }, parseCount, FormatCount),
	newValueKey("pending", func(v *values) *optional[int64] { return &v.pending }, parseCount, FormatCount),
	newValueKey("timeout", func(v *values) *optional[time.Duration] { return &v.timeout }, loader.Duration, time.Duration.String, loader.Between(minTimeout, maxTimeout)),
	newValueKey("retries", func(v *values) *optional[float64] { return &v.retries }, loader.Float, formatFloat, loader.Between(0.0, 1.0)),
}

// Keys that teams and services may set for themselves.
var (
	teamKeys    = []string{"share", "limit", "slots", "pending", "timeout"}
	serviceKeys = []string{"timeout", "retries"}
)

// newValueKey returns the key of that name for the field. Checks run on the parsed value.
func newValueKey[T any](name string, field func(*values) *optional[T], parse loader.Parser[T], format func(T) string, checks ...loader.Check[T]) valueKey {
	return valueKey{
		name: name,
		parse: func(v *values, text string) error {
			value, err := parse(text)
			for _, check := range checks {
				if err == nil {
					err = check(value)
				}
			}
			*field(v) = some(value)
			return err
		},
		text: func(v values) string {
			if value := field(&v); value.set {
				return format(value.value)
			}
			return ""
		},
	}
}

// decodeValues returns the values of the section for the keys of those names.
func decodeValues(s *loader.Section, names ...string) values {
	var v values
	for _, key := range valueKeys {
		if slices.Contains(names, key.name) {
			loader.Get(s, key.name, parseInto(&v, key), struct{}{})
		}
	}
	return v
}

// parseInto returns a parser that sets the key's field in v.
func parseInto(v *values, key valueKey) loader.Parser[struct{}] {
	return func(text string) (struct{}, error) { return struct{}{}, key.parse(v, text) }
}

// pairs returns the keys that are set, with their values as written in INI.
func (v values) pairs() []loader.Pair {
	var pairs []loader.Pair
	for _, key := range valueKeys {
		if text := key.text(v); text != "" {
			pairs = append(pairs, loader.NewPair(key.name, text))
		}
	}
	return pairs
}

// valueKeyNames returns the names of all valueKeys.
func valueKeyNames() []string {
	names := make([]string, len(valueKeys))
	for i, key := range valueKeys {
		names[i] = key.name
	}
	return names
}

// builtinValues are in force where no exception, team, service or defaults section sets a
// value.
var builtinValues = values{
	share:   some(1.0),
	limit:   some(Unlimited),
	slots:   some(Unlimited),
	pending: some(Unlimited),
	timeout: some(10 * time.Second),
	retries: some(0.1),
}
