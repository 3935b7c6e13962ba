package server

import (
	"slices"
	"time"
)

// medianAge is for how long a median is told again. Routers report twice a second or
// more; worked out for each answer it would take time by the square of their number.
const medianAge = 50 * time.Millisecond

// median is the middle of what routers report of one thing that all of them estimate. One
// that errs, because it is late or cut off, does not move it. Its zero value is ready.
type median struct {
	at     time.Time
	value  uint32
	values []uint32 // used again each time
}

// of returns the median of what collect appends, 0 of nothing. Of an even number it is the
// lower of the two in the middle.
func (m *median) of(now time.Time, collect func(values []uint32) []uint32) uint32 {
	if !m.at.IsZero() && now.Sub(m.at) < medianAge {
		return m.value
	}
	m.at, m.value = now, 0
	m.values = collect(m.values[:0])
	if len(m.values) > 0 {
		slices.Sort(m.values)
		m.value = m.values[(len(m.values)-1)/2]
	}
	return m.value
}
