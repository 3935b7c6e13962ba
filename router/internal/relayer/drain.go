package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrAborted is the kind of error that Drain returns if it aborted requests at the stop limit.
var ErrAborted = merry.Sentinel("requests were aborted at the stop limit")

// abortGrace is how long Drain waits, after the stop limit, for aborted requests to send their
// callers a final answer.
const abortGrace = 2 * time.Second

// drain is the planned stop of a Relayer. New requests are refused from its start. Requests that
// wait for their first slot are refused at half of the stop limit, so that requests with a slot have
// at least the other half to finish; a request granted a slot at the last moment would be aborted.
// Requests that still run at the limit are aborted.
type drain struct {
	lock     sync.Mutex
	stopping bool
	running  int
	empty    chan struct{} // closed when stopping and no request is in progress

	waitingRefused context.Context // ends when requests that wait for their first slot are refused
	refuseWaiting  context.CancelFunc
	aborted        context.Context // ends when running requests are aborted
	abort          context.CancelFunc
}

// init prepares the zero value for use.
func (d *drain) init() {
	d.empty = make(chan struct{})
	d.waitingRefused, d.refuseWaiting = context.WithCancel(context.Background())
	d.aborted, d.abort = context.WithCancel(context.Background())
}

// enter counts a request as in progress. It returns false if the router is stopping.
func (d *drain) enter() bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.stopping {
		return false
	}
	d.running++
	return true
}

// leave ends what a successful enter began.
func (d *drain) leave() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.running--
	d.closeIfEmpty()
}

// closeIfEmpty closes empty once the drain is stopping and no request is in progress. The lock must
// be held.
func (d *drain) closeIfEmpty() {
	if !d.stopping || d.running > 0 {
		return
	}
	select {
	case <-d.empty:
	default:
		close(d.empty)
	}
}

// begin starts the stop.
func (d *drain) begin() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.stopping = true
	d.closeIfEmpty()
}

// count returns the number of requests in progress.
func (d *drain) count() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.running
}

// Stopping reports whether new requests are refused; /readyz then reports that the router is not ready.
func (r *Relayer) Stopping() bool {
	r.drain.lock.Lock()
	defer r.drain.lock.Unlock()
	return r.drain.stopping
}

// Drain refuses new requests and waits until the requests in progress have finished or ctx ends.
// When ctx ends, it aborts the remaining requests, visibly to their callers, and returns an
// ErrAborted. A second call waits for the same stop.
func (r *Relayer) Drain(ctx context.Context) error {
	d := &r.drain
	d.begin()
	if deadline, limited := ctx.Deadline(); limited {
		timer := r.options.Clock.AfterFunc(deadline.Sub(r.options.Clock.Now())/2, d.refuseWaiting)
		defer timer.Stop()
	}
	select {
	case <-d.empty:
		return nil
	case <-ctx.Done():
	}
	remaining := d.count()
	d.refuseWaiting()
	d.abort()
	select {
	case <-d.empty:
	case <-r.options.Clock.After(abortGrace):
	}
	if remaining == 0 {
		return nil
	}
	return merry.Errorf("%w: %d; raise limits.stop_timeout above limits.request_timeout", ErrAborted, remaining)
}
