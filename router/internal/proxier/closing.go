package proxier

import "time"

// minClosingRatio is the ratio of requests refused for lack of router capacity from which connections of
// a workspace beyond its share are closed behind its answers.
const minClosingRatio = 0.25

// closesBehind reports whether the client's connection is closed behind the answer, so that the client
// connects again, mostly to another router. Only clients beyond their workspace's share are sent away,
// while this router refuses a large part of its requests. Each may come back here, and its connection
// then costs more processor time than the refusal that it saved, so that CloseRate bounds them.
func (p *Proxier) closesBehind(now time.Time, beyondShare bool) bool {
	if !beyondShare || p.options.CloseRate == nil || p.refusals.ratio(now) < minClosingRatio {
		return false
	}
	if !p.options.CloseRate.Available(now) {
		return false
	}
	p.options.CloseRate.Take(now, "")
	p.closedBehind.Add(1)
	return true
}

// ClosedBehind returns the number of connections closed behind answers because their clients exceed their
// workspace's share while the router refuses requests.
func (p *Proxier) ClosedBehind() uint64 {
	return p.closedBehind.Load()
}
