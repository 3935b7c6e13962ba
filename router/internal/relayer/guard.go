package relayer

import (
	"context"
	"sync"
	"time"

	"shallotkeel.example/lib/isolator"
)

// guard shares the isolator among handlers and lets copies of a suspect wait
// for the end of its trial. The zero value is usable.
type guard struct {
	lock     sync.Mutex
	isolator isolator.Isolator
	changed  map[uint64]chan struct{} // by fingerprint, closed when its trial ends
}

// admit says how a request may run. It waits while another copy is on trial.
func (g *guard) admit(ctx context.Context, now func() time.Time, digest uint64) (isolator.Verdict, time.Duration, error) {
	for {
		verdict, left, ended := g.ask(now(), digest)
		if verdict != isolator.Hold {
			return verdict, left, nil
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return isolator.Hold, 0, ctx.Err()
		}
	}
}

func (g *guard) ask(now time.Time, digest uint64) (isolator.Verdict, time.Duration, <-chan struct{}) {
	g.lock.Lock()
	defer g.lock.Unlock()
	verdict := g.isolator.Admit(now, digest)
	if verdict != isolator.Hold {
		return verdict, g.isolator.Left(now, digest), nil
	}
	if g.changed == nil {
		g.changed = make(map[uint64]chan struct{})
	}
	if g.changed[digest] == nil {
		g.changed[digest] = make(chan struct{})
	}
	return verdict, 0, g.changed[digest]
}

// release ends a trial that did not take place.
func (g *guard) release(digest uint64) {
	g.lock.Lock()
	defer g.lock.Unlock()
	g.isolator.Release(digest)
	g.wake(digest)
}

// start notes that a request runs.
func (g *guard) start(now time.Time, q *request, slot Slot) *isolator.Run {
	g.lock.Lock()
	defer g.lock.Unlock()
	endpoint := isolator.Endpoint{ID: slot.Endpoint(), Incarnation: slot.Incarnation()}
	return g.isolator.Start(now, q.fingerprint, endpoint, q.trial)
}

// end notes how a run ended and returns the fingerprints to be quarantined.
func (g *guard) end(now time.Time, q *request, ending isolator.Ending) []uint64 {
	g.lock.Lock()
	defer g.lock.Unlock()
	guilty := g.isolator.End(now, q.run, ending)
	if q.trial {
		g.wake(q.fingerprint)
	}
	return guilty
}

func (g *guard) wake(digest uint64) {
	if ended, found := g.changed[digest]; found {
		close(ended)
		delete(g.changed, digest)
	}
}

func (g *guard) suspects() int {
	g.lock.Lock()
	defer g.lock.Unlock()
	return g.isolator.Suspects()
}
