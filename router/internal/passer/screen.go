package passer

import (
	"net/http"
	"time"

	"shallotkeel.example/router/internal/screener"
)

// screenFor is how long requests on new connections are judged before the server takes
// them, since one was refused for want of room or share. In a flood that is many times a
// second.
const screenFor = time.Second

// Screens tells whether requests on new connections are to be judged by Screen.
func (p *Passer) Screens() bool {
	return p.options.Clock.Now().Sub(time.Unix(0, p.pressed.Load())) < screenFor
}

// press notes that a request was refused for want of room or share.
func (p *Passer) press(now time.Time) {
	p.pressed.Store(now.UnixNano())
}

// Screen returns the refusal of a request of which only the head has been read, nil if it
// is to be served. Refused are those for which the router has no room or their workspace
// no share. A refusal here takes less of a flooded router's time than one behind the server
// (BenchmarkRefusal of the screener).
func (p *Passer) Screen(h *http.Request) *screener.Refusal {
	now := p.options.Clock.Now()
	q := &request{http: h, received: now, table: p.options.News.Table()}
	if q.table == nil {
		return nil
	}
	q.in = p.options.Dialect.Read(h.Header)
	if !p.locate(q) || !p.identify(q) {
		return nil
	}
	refusal := p.screen(q)
	if refusal == nil {
		return nil
	}
	q.status, q.reason = refusal.Status, refusal.Reason
	refusal.Retry = p.comeBack(q, refusal.Retry)
	p.record(q)
	return refusal
}

// screen returns the refusal of a request, with the shortest pause for its client.
func (p *Passer) screen(q *request) *screener.Refusal {
	if p.busy(q) {
		q.refused = byRouter
		p.unheard(q)
		return &screener.Refusal{Status: http.StatusServiceUnavailable, Reason: tooMuch, Retry: p.roomPause(q.received)}
	}
	if !p.sharesEngines(q) {
		return nil
	}
	d, refused := p.options.Shares.WouldRefuse(q.received, q.workspace, float64(q.tokens()), q.late())
	if !refused {
		return nil
	}
	p.usedUp(q, d)
	return &screener.Refusal{Status: http.StatusTooManyRequests, Reason: noShare, Retry: max(d.RetryAfter, retrySoon)}
}

// unheard counts a request that the router has no room for, and what it asks of its
// workspace's share: the fleet must know that the workspace waits.
func (p *Passer) unheard(q *request) {
	p.forRoom.Add(1)
	if p.sharesEngines(q) {
		p.options.Shares.CountShed(q.received, q.workspace, float64(q.tokens()))
	}
}
