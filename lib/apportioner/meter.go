package apportioner

import "time"

// fastHalfLife is that of the shorter measure of what has begun: some ten requests of a
// workspace that asks for much.
const fastHalfLife = 300 * time.Millisecond

// meter measures, in tokens a second, what of a workspace's requests is asked for, or has begun to
// be answered. Its zero value has measured nothing.
//
// What was let in is not what has begun: clients leave, endpoints fail, and a router that is late sends
// on what nobody waits for any more. Others are held to a multiple of what a workspace gets
// that waits; with what it was let in for that was a third too much.
type meter struct {
	slow, fast float64
	at         time.Time
}

// add counts tokens.
func (m *meter) add(now time.Time, tokens float64) {
	m.fade(now)
	m.slow += asRate(tokens, halfLife)
	m.fast += asRate(tokens, fastHalfLife)
}

// rate returns what is measured. Where it falls it is what the shorter measure tells: others
// would go on with what the workspace got before.
func (m *meter) rate(now time.Time) float64 {
	m.fade(now)
	return min(m.slow, m.fast)
}

// latest returns what the shorter measure tells.
func (m *meter) latest(now time.Time) float64 {
	m.fade(now)
	return m.fast
}

func (m *meter) fade(now time.Time) {
	elapsed := max(now.Sub(m.at), 0).Seconds()
	m.slow *= fading(elapsed, halfLife)
	m.fast *= fading(elapsed, fastHalfLife)
	m.at = now
}
