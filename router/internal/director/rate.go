package director

import (
	"sync"
	"time"
)

// rateSpan is the window over which requests are counted.
const rateSpan = time.Second

// rateMeter derives events per second from a cumulative counter. A burst shows at once: if the count of
// the unfinished window, taken as that of a full window, exceeds the previous rate, it is returned. The
// zero value is ready to use.
type rateMeter struct {
	mutex      sync.Mutex
	spanStart  time.Time
	startCount uint64  // counter at spanStart
	lastRate   float64 // events per second in the previous window
}

// update takes the current counter value and returns the rate per second.
func (r *rateMeter) update(now time.Time, count uint64) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.spanStart.IsZero() {
		r.spanStart, r.startCount = now, count
	}
	since := float64(count - r.startCount)
	if elapsed := now.Sub(r.spanStart); elapsed >= rateSpan {
		r.lastRate = since / elapsed.Seconds()
		r.spanStart, r.startCount = now, count
		return r.lastRate
	}
	return max(r.lastRate, since/rateSpan.Seconds())
}
