package loader

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Parser parses the text of a value.
type Parser[T any] func(text string) (T, error)

// Text returns the text unchanged.
func Text(text string) (string, error) { return text, nil }

// Word parses a name: up to 100 letters, digits, dots, hyphens and underscores, of
// which the first is a letter or digit.
func Word(text string) (string, error) {
	if !sectionPattern.MatchString(`[word "` + text + `"]`) {
		return "", fmt.Errorf("want letters, digits, dots, hyphens or underscores: %q", text)
	}
	return text, nil
}

// Int parses a whole number.
func Int(text string) (int, error) {
	value, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("want a whole number: %q", text)
	}
	return value, nil
}

// Float parses a finite number.
func Float(text string) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		return 0, fmt.Errorf("want a number: %q", text)
	}
	return value, nil
}

// Bool parses yes or no.
func Bool(text string) (bool, error) {
	switch text {
	case "yes":
		return true, nil
	case "no":
		return false, nil
	}
	return false, fmt.Errorf("want yes or no: %q", text)
}

// Duration parses a duration with units, such as 250ms or 1h30m.
func Duration(text string) (time.Duration, error) {
	value, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("want a duration such as 250ms or 1h30m: %q", text)
	}
	return value, nil
}

// Time parses an RFC 3339 time, such as 2026-10-01T06:00:00Z, and returns it in UTC.
func Time(text string) (time.Time, error) {
	value, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, fmt.Errorf("want a time such as 2026-10-01T06:00:00Z: %q", text)
	}
	return value.UTC(), nil
}

// sizeUnits are the units that Size tries in this order. B is last because the other units
// end in it.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// Size parses a size with its unit, B, KiB, MiB or GiB, and returns bytes.
func Size(text string) (int64, error) {
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err == nil && n >= 0 && n <= math.MaxInt64/unit.bytes {
			return n * unit.bytes, nil
		}
		break
	}
	return 0, fmt.Errorf("want a size such as 512KiB or 16MiB: %q", text)
}

// Address parses an IP number and a port, such as 10.0.0.7:7000 or [::1]:7000.
func Address(text string) (string, error) {
	host, port, err := net.SplitHostPort(text)
	if err == nil && net.ParseIP(host) != nil {
		if n, err := strconv.ParseUint(port, 10, 16); err == nil {
			return net.JoinHostPort(host, strconv.FormatUint(n, 10)), nil
		}
	}
	return "", fmt.Errorf("want an IP number and a port, such as 10.0.0.7:7000: %q", text)
}

// URL parses an http or https URL without query or fragment, and removes a slash at its
// end.
func URL(text string) (string, error) {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || parsed.RawQuery != "" || parsed.Fragment != "" ||
		parsed.Scheme != "http" && parsed.Scheme != "https" {
		return "", fmt.Errorf("want a URL such as http://10.0.0.2:8000: %q", text)
	}
	return strings.TrimSuffix(text, "/"), nil
}

// SHA256 parses a hash in hexadecimal digits and returns it in lower case.
func SHA256(text string) (string, error) {
	digits, err := hex.DecodeString(text)
	if err != nil || len(digits) != sha256.Size {
		return "", fmt.Errorf("want %d hexadecimal digits", 2*sha256.Size)
	}
	return hex.EncodeToString(digits), nil
}

// OneOf returns a parser that accepts only one of the words.
func OneOf(words ...string) Parser[string] {
	return func(text string) (string, error) {
		if !slices.Contains(words, text) {
			return "", fmt.Errorf("want %s: %q", strings.Join(words, " or "), text)
		}
		return text, nil
	}
}

// List returns a parser of values separated by commas, which refuses duplicates. An
// empty text is an empty list.
func List[T comparable](parse Parser[T]) Parser[[]T] {
	return func(text string) ([]T, error) {
		if strings.TrimSpace(text) == "" {
			return nil, nil
		}
		var values []T
		for part := range strings.SplitSeq(text, ",") {
			value, err := parse(strings.TrimSpace(part))
			if err != nil {
				return nil, err
			}
			if slices.Contains(values, value) {
				return nil, fmt.Errorf("%q stands twice in the list", strings.TrimSpace(part))
			}
			values = append(values, value)
		}
		return values, nil
	}
}

// Between returns a check that refuses values below low or above high.
func Between[T cmp.Ordered](low, high T) Check[T] {
	return func(value T) error {
		if value < low || value > high {
			return fmt.Errorf("want %v to %v: %v", low, high, value)
		}
		return nil
	}
}

// NotEmpty refuses an empty list.
func NotEmpty[T any](values []T) error {
	if len(values) == 0 {
		return errors.New("want at least one")
	}
	return nil
}
