package configurer

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"filberthaven.example/loader"
)

// Unlimited is the amount of a limit that doesn't bind. Sums of some thousands of such
// amounts don't overflow.
const Unlimited int64 = 1 << 50

// noLimit is how a limit that doesn't bind is written.
const noLimit = "none"

// perProcessor is how many thousandths make a processor.
const perProcessor = 1000

// parseProcessors takes processors such as 2.5, or none, and returns thousandths.
func parseProcessors(text string) (int64, error) {
	if text == noLimit {
		return Unlimited, nil
	}
	value, err := loader.Float(text)
	if err != nil || value < 0 || value > 1e9 {
		return 0, fmt.Errorf("want processors such as 2.5, or none: %q", text)
	}
	return int64(math.Round(value * perProcessor)), nil
}

// FormatProcessors writes thousandths as processors, such as 2.5, or none.
func FormatProcessors(amount int64) string {
	if amount >= Unlimited {
		return noLimit
	}
	text := strconv.FormatFloat(float64(amount)/perProcessor, 'f', 3, 64)
	return strings.TrimRight(strings.TrimRight(text, "0"), ".")
}

// parseCount takes a whole number, or none.
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

// FormatCount writes a count, or none.
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
