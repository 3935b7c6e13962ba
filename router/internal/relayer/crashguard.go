package relayer

import (
	"context"
	"sync"
	"time"

	"shallotkeel.example/lib/isolator"
)

// crashGuard protects endpoints from requests that crash them. It shares the isolator among handlers,
// and requests with a suspect fingerprint wait in it while another one is on trial. The zero value is
// usable.
type crashGuard struct {
	lock       sync.Mutex
	isolator   isolator.Isolator
	trialEnded map[uint64]chan struct{} // by fingerprint; closed when its trial ends
}

// admit returns how a request may run, and for how long its fingerprint stays in quarantine. It waits
// while another request with the fingerprint is on trial, until the context ends.
func (g *crashGuard) admit(ctx context.Context, now func() time.Time, digest uint64) (isolator.Verdict, time.Duration, error) {
	for {
		verdict, remaining, ended := g.check(now(), digest)
		if verdict != isolator.Hold {
			return verdict, remaining, nil
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return isolator.Hold, 0, ctx.Err()
		}
	}
}

// check returns the isolator's verdict. If the request has to wait, the channel is closed at the end
// of the trial.
func (g *crashGuard) check(now time.Time, digest uint64) (isolator.Verdict, time.Duration, <-chan struct{}) {
	g.lock.Lock()
	defer g.lock.Unlock()
	verdict := g.isolator.Admit(now, digest)
	if verdict != isolator.Hold {
		return verdict, g.isolator.Remaining(now, digest), nil
	}
	if g.trialEnded == nil {
		g.trialEnded = make(map[uint64]chan struct{})
	}
	if g.trialEnded[digest] == nil {
		g.trialEnded[digest] = make(chan struct{})
	}
	return verdict, 0, g.trialEnded[digest]
}

// release ends a trial without a run, such as one whose request got no slot.
func (g *crashGuard) release(digest uint64) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.isolator.Release(digest)
	g.notifyWaiting(digest)
}

// start records that a request runs at the endpoint of a slot.
func (g *crashGuard) start(now time.Time, q *request, slot Slot) *isolator.Run {
	g.lock.Lock()
	defer g.lock.Unlock()
	endpoint := isolator.Endpoint{ID: slot.Endpoint(), Incarnation: slot.Incarnation()}
	return g.isolator.Start(now, q.fingerprint, endpoint, q.trial)
}

// end records how the request's run ended and returns the fingerprints to quarantine.
func (g *crashGuard) end(now time.Time, q *request, ending isolator.Outcome) []uint64 {
	g.lock.Lock()
	defer g.lock.Unlock()
	quarantined := g.isolator.End(now, q.run, ending)
	if q.trial {
		g.notifyWaiting(q.fingerprint)
	}
	return quarantined
}

// notifyWaiting wakes the requests that wait for the end of a fingerprint's trial. The lock must be
// held.
func (g *crashGuard) notifyWaiting(digest uint64) {
	if ended, found := g.trialEnded[digest]; found {
		close(ended)
		delete(g.trialEnded, digest)
	}
}

// suspects returns the number of suspect fingerprints.
func (g *crashGuard) suspects() int {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.isolator.Suspects()
}
