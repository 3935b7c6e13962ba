// Package damper bounds the number of lines of one kind that are logged per second.
//
// Events that are caused from outside may come by the thousand: the refusals of a flood, or
// heartbeats that cannot be read. A line for each would cost the processor time that other work
// needs, and would add nothing to the first ones.
//
// Invariant: every suppressed line is counted in a later one.
package damper

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// DefaultLinesPerSecond is the default of Damper.LinesPerSecond. A flood causes 2,000 refusals per
// second at one router.
const DefaultLinesPerSecond = 50

// Damper bounds the lines of one kind. Its zero value permits DefaultLinesPerSecond. It is safe for
// concurrent use.
type Damper struct {
	// LinesPerSecond is the maximum number of lines per second, DefaultLinesPerSecond if 0.
	LinesPerSecond int

	mutex   sync.Mutex
	second  time.Time
	logged  int
	omitted int
}

// Admit reports whether one more line may be logged. The first call after a second in which lines
// were suppressed logs their number.
func (d *Damper) Admit(now time.Time, log zerolog.Logger) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if second := now.Truncate(time.Second); !second.Equal(d.second) {
		if d.omitted > 0 {
			log.Info().Int("omitted", d.omitted).Time("second", d.second).Msg("log lines suppressed by the rate limit")
		}
		d.second, d.logged, d.omitted = second, 0, 0
	}
	limit := d.LinesPerSecond
	if limit == 0 {
		limit = DefaultLinesPerSecond
	}
	if d.logged >= limit {
		d.omitted++
		return false
	}
	d.logged++
	return true
}
