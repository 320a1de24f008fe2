package configurer

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"filberthaven.example/loader"
)

// Unlimited is the amount that stands for no limit. It is far below the largest int64,
// so that the sum of some thousands of such amounts doesn't overflow.
const Unlimited int64 = 1 << 50

// noLimit is how Unlimited is written in declarations.
const noLimit = "none"

const thousandthsPerProcessor = 1000

// parseProcessors parses a number of processors, such as 2.5 or none, and returns it in
// thousandths.
func parseProcessors(text string) (int64, error) {
	if text == noLimit {
		return Unlimited, nil
	}
	value, err := loader.Float(text)
	if err != nil || value < 0 || value > 1e9 {
		return 0, fmt.Errorf("want processors such as 2.5, or none: %q", text)
	}
	return int64(math.Round(value * thousandthsPerProcessor)), nil
}

// FormatProcessors returns an amount in thousandths as a number of processors, such as
// 2.5 or none.
func FormatProcessors(amount int64) string {
	if amount >= Unlimited {
		return noLimit
	}
	text := strconv.FormatFloat(float64(amount)/thousandthsPerProcessor, 'f', 3, 64)
	return strings.TrimRight(strings.TrimRight(text, "0"), ".")
}

// parseCount parses a whole number, or none.
func parseCount(text string) (int64, error) {
	if text == noLimit {
		return Unlimited, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 || value >= Unlimited {
		return 0, fmt.Errorf("want a whole number, or none: %q", text)
	}
	return value, nil
}

// FormatCount returns the count as a whole number, or none if it is Unlimited.
func FormatCount(count int64) string {
	if count >= Unlimited {
		return noLimit
	}
	return strconv.FormatInt(count, 10)
}

func formatFloat(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }

func formatBool(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}
