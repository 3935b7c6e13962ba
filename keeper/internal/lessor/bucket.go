package lessor

import "time"

// Burst is how much of its rate a bucket saves up; it saves at least one load.
const Burst = 10 * time.Second

// bucket holds permits for the loads of one service. It starts empty: a new
// leader does not know how many the last one gave, and a full one would let the
// weight store be asked twice as often around every change of leader.
type bucket struct {
	tokens float64
	filled time.Time
}

// take returns how many of the wanted loads may begin, at a rate of loads per
// minute.
func (b *bucket) take(now time.Time, rate float64, wanted int) int {
	passed := max(0, now.Sub(b.filled))
	b.filled = now
	most := max(1, rate*Burst.Minutes())
	b.tokens = min(most, b.tokens+rate*passed.Minutes())
	given := min(wanted, int(b.tokens))
	b.tokens -= float64(given)
	return given
}
