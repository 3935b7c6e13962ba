package passer

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// mostRefusals is how many refusals a second are logged one by one. A flood brings
// 2,000 a second to one router; a line for each would tell nothing that the first
// ones did not.
const mostRefusals = 50

// quietly bounds the lines about requests that were refused before anything was
// done for them. What is left out is counted in one line a second.
type quietly struct {
	mutex   sync.Mutex
	second  time.Time
	logged  int
	omitted int
}

// admit tells whether one more refusal is to be logged.
func (b *quietly) admit(now time.Time, log zerolog.Logger) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if second := now.Truncate(time.Second); !second.Equal(b.second) {
		if b.omitted > 0 {
			log.Info().Int("omitted", b.omitted).Time("second", b.second).Msg("refusals were not logged one by one")
		}
		b.second, b.logged, b.omitted = second, 0, 0
	}
	if b.logged >= mostRefusals {
		b.omitted++
		return false
	}
	b.logged++
	return true
}
