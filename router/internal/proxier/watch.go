package proxier

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"shallotkeel.example/lib/balancer"
	"shallotkeel.example/lib/resolver"
)

// stallTimeout is how long an endpoint may send nothing before a request that can be
// resumed is moved to another endpoint. Clients abandon a stream after two seconds.
const stallTimeout = 1200 * time.Millisecond

// watch cancels an attempt whose endpoint no longer sends anything.
type watch struct {
	timer clockwork.Timer
	done  atomic.Bool
}

// watch starts a watch over a stream that can be resumed elsewhere. Other requests wait
// until their deadline: cancelling them would lose them.
//
// An endpoint that is only slow is not abandoned. Cancelling its streams would cause the
// same prompts to be prefilled elsewhere while all endpoints are busy, and a stream that cannot
// be resumed, because its attempts or the retry budget are used up, would be lost.
func (p *Proxier) watch(q *request, slot *balancer.Slot, cancel context.CancelCauseFunc) *watch {
	w := &watch{}
	if q.route.Kind != resolver.Stream || !q.route.Resumable || q.sends+1 >= q.route.Attempts {
		return w
	}
	w.timer = p.options.Clock.AfterFunc(stallTimeout, func() {
		now := p.options.Clock.Now()
		switch {
		case w.done.Load():
		case slot.EndpointSilent(now, stallTimeout) && p.options.Budget.Spend(now, q.service):
			q.retryPaid.Store(true)
			cancel(errStalled)
		default:
			w.timer.Reset(stallTimeout / 2)
		}
	})
	return w
}

func (w *watch) touch() {
	if w.timer != nil {
		w.timer.Reset(stallTimeout)
	}
}

func (w *watch) stop() {
	w.done.Store(true)
	if w.timer != nil {
		w.timer.Stop()
	}
}
