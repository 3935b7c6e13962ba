package passer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/resolver"
)

// stall is how long an endpoint may send nothing before a request that may be
// resumed goes on elsewhere. Clients leave a stream after two seconds.
const stall = 1200 * time.Millisecond

// watch ends an attempt whose endpoint has gone dark.
type watch struct {
	timer clockwork.Timer
	done  atomic.Bool
}

// watch starts a watch over a stream that may go on elsewhere. Others wait for
// as long as their time lasts: ending them would lose them.
//
// An endpoint that is only slow is left alone. Ending its streams would make it
// read the same prompts elsewhere while all endpoints are busy, and a stream that
// cannot go on, because repeats are used up, would be lost.
func (p *Passer) watch(q *request, slot *balancer.Slot, cancel context.CancelCauseFunc) *watch {
	w := &watch{}
	if q.route.Kind != resolver.Stream || !q.route.Resumable || q.sends+1 >= q.route.Attempts {
		return w
	}
	w.timer = p.options.Clock.AfterFunc(stall, func() {
		now := p.options.Clock.Now()
		switch {
		case w.done.Load():
		case slot.EndpointSilent(now, stall) && p.options.Budget.Spend(now, q.service):
			q.prepaid.Store(true)
			cancel(errStalled)
		default:
			w.timer.Reset(stall / 2)
		}
	})
	return w
}

func (w *watch) touch() {
	if w.timer != nil {
		w.timer.Reset(stall)
	}
}

func (w *watch) stop() {
	w.done.Store(true)
	if w.timer != nil {
		w.timer.Stop()
	}
}
