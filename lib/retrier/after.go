package retrier

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrRetryAfter is wrapped by the error for a Retry-After value that is not a
// non-negative, finite number of seconds.
var ErrRetryAfter = merry.Sentinel("Retry-After is no number of seconds")

// maxRetryAfter caps the pause: it is far longer than any reasonable pause, and
// short enough that sums of times and pauses do not overflow.
const maxRetryAfter = 24 * time.Hour

// ParseRetryAfter parses the value of a Retry-After header in seconds, which may
// have a fraction. A pause longer than a day is reduced to a day. Errors wrap
// ErrRetryAfter.
func ParseRetryAfter(value string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, merry.Errorf("%w: %q; send for example 3 or 0.5", ErrRetryAfter, value)
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)), nil
}
