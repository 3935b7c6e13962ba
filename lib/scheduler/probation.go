package scheduler

import "time"

// Limits of probation.
const (
	probationFirst = 250 * time.Millisecond
	probationMost  = 30 * time.Second
	// cutsInRow and refusalsInRow are how many such endings without a success
	// between them put an endpoint on probation. One cut may be the fault of
	// the request.
	cutsInRow     = 3
	refusalsInRow = 2
)

// probation keeps work from an endpoint that fails: none for a time that
// doubles with each failure, then one request at a time until one succeeds.
// Without it, an endpoint that fails at once looks idle and draws every request
// of the pool into failing. One that asks for backoff gets none for as long as it
// wants, whatever its earlier requests still show.
type probation struct {
	failures int
	until    time.Time
	backoff  time.Time // end of the backoff that it has asked for
	probing  bool
	cuts     int
	refusals int
}

// fail counts a failure. Those that arrive while the endpoint is already kept
// free of work were sent before, and say nothing new.
func (p *probation) fail(now time.Time) {
	if now.Before(p.until) {
		return
	}
	wait := probationMost
	if p.failures < 7 {
		wait = min(wait, probationFirst<<p.failures)
	}
	p.failures++
	p.until = now.Add(wait)
	p.probing = true
}

func (p *probation) succeed() {
	*p = probation{backoff: p.backoff}
}

// backOff keeps all requests away until a time, as the endpoint asked.
func (p *probation) backOff(until time.Time) {
	if until.After(p.backoff) {
		p.backoff = until
	}
}

// opens returns when the endpoint gets a request again.
func (p *probation) opens() time.Time {
	if p.backoff.After(p.until) {
		return p.backoff
	}
	return p.until
}

// closed tells whether the endpoint gets no request at all.
func (p *probation) closed(now time.Time) bool {
	return now.Before(p.opens())
}

// end takes in how a request ended there.
func (p *probation) end(now time.Time, ending Ending) {
	switch ending {
	case Done:
		p.succeed()
	case Unreachable:
		p.fail(now)
	case Refused:
		p.refusals++
		if p.probing || p.refusals >= refusalsInRow {
			p.fail(now)
		}
	case Failed:
		p.cuts++
		if p.probing || p.cuts >= cutsInRow {
			p.fail(now)
		}
	case Cancelled, Declined:
	}
}
