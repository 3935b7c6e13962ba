package apportioner

import "time"

// fastHalfLife is the half-life of the faster average: some ten requests of a workspace with a high
// demand.
const fastHalfLife = 300 * time.Millisecond

// meter measures the rate of a workspace's requests, demanded or served, in tokens per second. Its
// zero value has measured nothing.
//
// Served requests are counted when their answers begin, not on admission: clients leave, endpoints
// fail, and an overloaded router still forwards requests whose clients have left. Others are
// bounded by a multiple of a starved workspace's service rate; the rate of admissions would be a
// third too high for that.
type meter struct {
	slow, fast float64
	at         time.Time
}

// add counts tokens.
func (m *meter) add(now time.Time, tokens float64) {
	m.decay(now)
	m.slow += asRate(tokens, halfLife)
	m.fast += asRate(tokens, fastHalfLife)
}

// rate returns the lower of both averages. A falling rate thus follows the faster one: others would
// otherwise keep the bound from the workspace's earlier rate.
func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	return min(m.slow, m.fast)
}

// fastRate returns the faster average.
func (m *meter) fastRate(now time.Time) float64 {
	m.decay(now)
	return m.fast
}

func (m *meter) decay(now time.Time) {
	elapsed := max(now.Sub(m.at), 0).Seconds()
	m.slow *= decayFactor(elapsed, halfLife)
	m.fast *= decayFactor(elapsed, fastHalfLife)
	m.at = now
}
