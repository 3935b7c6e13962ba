package proxier

import "shallotkeel.example/lib/balancer"

// countFetch counts a request that is sent to an engine with a fetch from another one.
func (m *Metrics) countFetch(slot *balancer.Slot) {
	if m == nil || !slot.Source.IsValid() {
		return
	}
	m.fetches.Inc()
	m.fetchTokens.Add(float64(slot.FetchTokens))
}

// loggedSource returns the source of the last attempt's fetch, empty if it had none.
func (q *request) loggedSource() string {
	if !q.fetchSource.IsValid() {
		return ""
	}
	return q.fetchSource.String()
}
