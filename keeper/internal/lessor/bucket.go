package lessor

import "time"

// BurstWindow is the time after which a bucket is full: its capacity is the rate times this
// window, at least one load.
const BurstWindow = 10 * time.Second

// bucket is a token bucket of permits for the loads of one service. It starts empty: a
// new leader does not know how many permits the previous one gave, and a full bucket
// would allow twice the rate of loads from the weight store around every leader change.
type bucket struct {
	tokens float64
	filled time.Time
}

// take returns how many of the wanted loads may begin, and takes as many tokens. The
// bucket fills at a rate of loads per minute.
func (b *bucket) take(now time.Time, rate float64, wanted int) int {
	elapsed := max(0, now.Sub(b.filled))
	b.filled = now
	capacity := max(1, rate*BurstWindow.Minutes())
	b.tokens = min(capacity, b.tokens+rate*elapsed.Minutes())
	permits := min(wanted, int(b.tokens))
	b.tokens -= float64(permits)
	return permits
}
