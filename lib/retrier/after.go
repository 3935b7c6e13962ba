package retrier

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrAfter says that a Retry-After is no number of seconds.
var ErrAfter = merry.Sentinel("Retry-After is no number of seconds")

// longestAfter is the longest pause that is believed: far beyond any that is meant, and
// short enough that sums with it cannot wrap.
const longestAfter = 24 * time.Hour

// After reads the value of a Retry-After header in seconds, which may have a fraction. A
// longer pause than a day counts as a day. The error is an ErrAfter.
func After(value string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, merry.Errorf("%w: %q; send for example 3 or 0.5", ErrAfter, value)
	}
	return time.Duration(min(seconds, longestAfter.Seconds()) * float64(time.Second)), nil
}
