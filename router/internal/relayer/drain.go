package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrCut is the kind of the error of a stop whose limit was too short.
var ErrCut = merry.Sentinel("requests were cut at the stop limit")

// abortPause is how long aborted requests get to tell their callers, once the
// stop limit is over.
const abortPause = 2 * time.Second

// drain is the planned stop of a relayer. New requests are refused from its
// begin. Requests that wait for their first slot are refused at half of the
// limit, so that those that got one have the other half to finish in; a request
// granted at the last moment would be cut. What still runs at the limit is cut.
type drain struct {
	lock     sync.Mutex
	stopping bool
	running  int
	empty    chan struct{} // closed when stopping and nothing runs

	closing context.Context // ends when waiting requests are refused
	close   context.CancelFunc
	aborted context.Context // ends when running requests are cut
	abort   context.CancelFunc
}

func (d *drain) init() {
	d.empty = make(chan struct{})
	d.closing, d.close = context.WithCancel(context.Background())
	d.aborted, d.abort = context.WithCancel(context.Background())
}

// enter counts a request in, unless the router stops.
func (d *drain) enter() bool {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.stopping {
		return false
	}
	d.running++
	return true
}

func (d *drain) leave() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.running--
	d.settle()
}

func (d *drain) settle() {
	if !d.stopping || d.running > 0 {
		return
	}
	select {
	case <-d.empty:
	default:
		close(d.empty)
	}
}

func (d *drain) begin() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.stopping = true
	d.settle()
}

func (d *drain) count() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.running
}

// Stopping tells whether new requests are refused; /readyz is then false.
func (r *Relayer) Stopping() bool {
	r.drain.lock.Lock()
	defer r.drain.lock.Unlock()
	return r.drain.stopping
}

// Drain refuses new requests and waits until those in progress have finished,
// or until ctx ends: then what is left is cut visibly, and the error is an
// ErrCut. A second call waits for the same stop.
func (r *Relayer) Drain(ctx context.Context) error {
	d := &r.drain
	d.begin()
	if deadline, limited := ctx.Deadline(); limited {
		timer := r.options.Clock.AfterFunc(deadline.Sub(r.options.Clock.Now())/2, d.close)
		defer timer.Stop()
	}
	select {
	case <-d.empty:
		return nil
	case <-ctx.Done():
	}
	cut := d.count()
	d.close()
	d.abort()
	select {
	case <-d.empty:
	case <-r.options.Clock.After(abortPause):
	}
	if cut == 0 {
		return nil
	}
	return merry.Errorf("%w: %d; raise limits.stop_timeout above limits.request_timeout", ErrCut, cut)
}
