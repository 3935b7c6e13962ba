package director

import (
	"sync"
	"time"
)

// rateSpan is over which time requests are counted.
const rateSpan = time.Second

// rate is how many requests a second there are, from a count that rises. A burst shows at once,
// as the part of the span that is over is taken for the whole if it has more. Its zero value has
// seen none.
type rate struct {
	mutex  sync.Mutex
	begun  time.Time // of the span
	before uint64    // the count then
	last   float64   // in the span before
}

// take takes the count and returns the rate.
func (r *rate) take(now time.Time, count uint64) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.begun.IsZero() {
		r.begun, r.before = now, count
	}
	since := float64(count - r.before)
	if over := now.Sub(r.begun); over >= rateSpan {
		r.last = since / over.Seconds()
		r.begun, r.before = now, count
		return r.last
	}
	return max(r.last, since/rateSpan.Seconds())
}
