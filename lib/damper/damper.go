// Package damper bounds how many lines of one kind a log gets in a second.
//
// What comes from outside may come by the thousand: a flood's refusals, heartbeats
// that cannot be read. A line for each would cost the processor time that the rest
// needs, and tell nothing that the first ones did not.
//
// Invariant: every line that is left out is counted in a later one.
package damper

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// DefaultMost is how many lines a second are let through. A flood brings 2,000
// refusals a second to one router.
const DefaultMost = 50

// Damper bounds the lines of one kind. Its zero value lets DefaultMost through. It
// is safe for concurrent use.
type Damper struct {
	// Most is how many lines a second are let through, DefaultMost if 0.
	Most int

	mutex   sync.Mutex
	second  time.Time
	logged  int
	omitted int
}

// Admit tells whether one more line is to be logged. The first one behind a second
// in which some were left out is preceded by their count.
func (d *Damper) Admit(now time.Time, log zerolog.Logger) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if second := now.Truncate(time.Second); !second.Equal(d.second) {
		if d.omitted > 0 {
			log.Info().Int("omitted", d.omitted).Time("second", d.second).Msg("lines were left out")
		}
		d.second, d.logged, d.omitted = second, 0, 0
	}
	most := d.Most
	if most == 0 {
		most = DefaultMost
	}
	if d.logged >= most {
		d.omitted++
		return false
	}
	d.logged++
	return true
}
